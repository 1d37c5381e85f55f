//! Wire format (MessagePack) of user requests and responses. Names of the protocol that differ from
//! those of the code occur only in this module.

use std::fmt;

use serde::{Deserialize, Serialize};

use salttiller_records::model::{JobKind, Priority};

/// Submission in its wire format.
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

/// State of a job in its wire format.
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

/// Field of a submission, displayed by its name in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionField {
    /// Job id.
    Id,
    /// Team of the job.
    Team,
    /// Kind of the job.
    Kind,
    /// Priority of the job.
    Priority,
    /// Number of tasks.
    TaskCount,
    /// CPUs of a task.
    Cpus,
    /// Accelerators of a task.
    Gpus,
    /// Memory of a task.
    Memory,
    /// Size of the image of a task.
    ImageSize,
    /// Machine types on which a task may run.
    AllowedTypes,
    /// Zone in which all tasks must run.
    Zone,
    /// Whether the tasks must be spread over zones.
    SpreadZones,
    /// Estimated run time of a task.
    EstimatedRunTime,
    /// Time between checkpoints.
    CheckpointInterval,
    /// Duration of a checkpoint.
    CheckpointTime,
    /// Deadline of the job, as time from the submission.
    Deadline,
    /// Jobs that must be done before the job's tasks start.
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

/// Returns the job kind with this name in the protocol.
pub(super) fn job_kind(name: &str) -> Option<JobKind> {
    match name {
        "batch" => Some(JobKind::Array),
        "gang" => Some(JobKind::Gang),
        "standing" => Some(JobKind::Service),
        _ => None,
    }
}

/// Returns the priority with this name in the protocol.
pub(super) fn priority(name: &str) -> Option<Priority> {
    match name {
        "critical" => Some(Priority::Production),
        "urgent" => Some(Priority::High),
        "standard" => Some(Priority::Normal),
        "low" => Some(Priority::Low),
        _ => None,
    }
}
