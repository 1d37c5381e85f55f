//! The users' protocol in MessagePack: the only place where its own words occur.

use std::fmt;

use serde::{Deserialize, Serialize};

use salttiller_records::model::{JobKind, Priority};

/// A submission as users send it.
#[derive(Deserialize)]
pub(super) struct Submission {
    #[serde(rename = "nameId")]
    pub(super) id: String,
    #[serde(rename = "crop")]
    pub(super) class: String,
    #[serde(rename = "crew")]
    pub(super) team: String,
    #[serde(rename = "furrow")]
    pub(super) kind: String,
    #[serde(rename = "rank")]
    pub(super) priority: String,
    #[serde(rename = "sheaves")]
    pub(super) task_count: u64,
    #[serde(rename = "cores")]
    pub(super) cpus: f64,
    #[serde(rename = "cards")]
    pub(super) gpus: f64,
    #[serde(rename = "memoryGb")]
    pub(super) memory_gb: f64,
    #[serde(rename = "seed")]
    pub(super) image: String,
    #[serde(rename = "sizeGb")]
    pub(super) image_size_gb: f64,
    #[serde(default, rename = "plots")]
    pub(super) allowed_types: Option<Vec<String>>,
    #[serde(default, rename = "field")]
    pub(super) zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub(super) single_zone: bool,
    #[serde(rename = "spread")]
    pub(super) spread_zones: bool,
    #[serde(rename = "fallow")]
    pub(super) allows_spot: bool,
    #[serde(rename = "growthS")]
    pub(super) estimated_run_seconds: f64,
    #[serde(rename = "stookS")]
    pub(super) checkpoint_interval_seconds: f64,
    #[serde(rename = "bindS")]
    pub(super) checkpoint_seconds: f64,
    #[serde(default, rename = "harvestS")]
    pub(super) deadline_seconds: Option<f64>,
    #[serde(default, rename = "trails")]
    pub(super) dependencies: Option<Vec<String>>,
}

/// A job's state as users read it.
#[derive(Serialize)]
pub(super) struct JobState<'a> {
    #[serde(rename = "nameId")]
    pub(super) id: &'a str,
    pub(super) stage: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) running: Option<u32>,
}

/// A field of a submission; displayed by the name that users know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionField {
    /// Id of the job.
    Id,
    /// Team.
    Team,
    /// Kind of the job.
    Kind,
    /// Priority.
    Priority,
    /// Number of tasks.
    TaskCount,
    /// Processors of a task.
    Cpus,
    /// Cards of a task.
    Gpus,
    /// Memory of a task.
    Memory,
    /// Size of the image.
    ImageSize,
    /// Machine types that a task may run on.
    AllowedTypes,
    /// Zone in which the job must run.
    Zone,
    /// Whether its tasks are to be spread over zones.
    SpreadZones,
    /// Estimated run time of a task.
    EstimatedRunTime,
    /// Time between checkpoints.
    CheckpointInterval,
    /// Time that a checkpoint takes.
    CheckpointTime,
    /// Deadline.
    Deadline,
    /// Jobs that must be done before.
    Dependencies,
}

impl fmt::Display for SubmissionField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SubmissionField::Id => "nameId",
            SubmissionField::Team => "crew",
            SubmissionField::Kind => "furrow",
            SubmissionField::Priority => "rank",
            SubmissionField::TaskCount => "sheaves",
            SubmissionField::Cpus => "cores",
            SubmissionField::Gpus => "cards",
            SubmissionField::Memory => "memoryGb",
            SubmissionField::ImageSize => "sizeGb",
            SubmissionField::AllowedTypes => "plots",
            SubmissionField::Zone => "field",
            SubmissionField::SpreadZones => "spread",
            SubmissionField::EstimatedRunTime => "growthS",
            SubmissionField::CheckpointInterval => "stookS",
            SubmissionField::CheckpointTime => "bindS",
            SubmissionField::Deadline => "harvestS",
            SubmissionField::Dependencies => "trails",
        })
    }
}

/// A job's kind by its name on the wire.
pub(super) fn job_kind(name: &str) -> Option<JobKind> {
    match name {
        "batch" => Some(JobKind::Array),
        "gang" => Some(JobKind::Gang),
        "standing" => Some(JobKind::Service),
        _ => None,
    }
}

/// A priority by its name on the wire.
pub(super) fn priority(name: &str) -> Option<Priority> {
    match name {
        "critical" => Some(Priority::Production),
        "urgent" => Some(Priority::High),
        "standard" => Some(Priority::Normal),
        "low" => Some(Priority::Low),
        _ => None,
    }
}
