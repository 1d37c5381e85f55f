//! The record of a job.

use std::rc::Rc;

use serde::{Deserialize, Serialize, Serializer};

use crate::model::{JobSpec, RangeSet};
use crate::units::Micros;

/// Stage of a job's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// The job is neither done nor cancelled.
    #[serde(rename = "o")]
    Open,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// The user cancelled the job.
    #[serde(rename = "c")]
    Cancelled,
}

/// A range of a job's tasks that are bound to the same region. Stored as `[first, end, region]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String)", into = "(u32, u32, String)")]
pub struct TaskRange {
    /// Number of the first task.
    pub first: u32,
    /// Number after that of the last task.
    pub end: u32,
    /// Name of the region. Empty if the tasks are bound to no region.
    pub region: String,
}

impl TaskRange {
    /// Returns the range of the tasks from `first` to `end`, excluding `end`, bound to `region`.
    #[must_use]
    pub fn new(first: u32, end: u32, region: impl Into<String>) -> Self {
        TaskRange {
            first,
            end,
            region: region.into(),
        }
    }

    /// Whether the tasks are bound to no region.
    #[must_use]
    pub fn is_unbound(&self) -> bool {
        self.region.is_empty()
    }
}

impl From<(u32, u32, String)> for TaskRange {
    fn from((first, end, region): (u32, u32, String)) -> Self {
        TaskRange { first, end, region }
    }
}

impl From<TaskRange> for (u32, u32, String) {
    fn from(range: TaskRange) -> Self {
        (range.first, range.end, range.region)
    }
}

/// `job/ID`: a job. The record of a done or cancelled job omits the fields that are no longer
/// needed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Stage of the job.
    #[serde(rename = "st")]
    pub stage: JobStage,
    /// Spec as submitted; in a controller's replica of the store, the effective spec of a job with
    /// dependencies or dependents. The spec of a cancelled job is kept
    /// because its tasks may still count against the team's limit. The spec of a done job is
    /// removed.
    #[serde(
        rename = "j",
        default,
        skip_serializing_if = "Option::is_none",
        serialize_with = "serialize_stored_spec"
    )]
    pub spec: Option<Rc<JobSpec>>,
    /// Regions that the tasks are bound to. Empty if the job is not bound yet.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub task_ranges: Vec<TaskRange>,
    /// Start attempt that all parts of a multi-region gang share, and their common zone if they
    /// must run in one zone. `None` for any other job.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub multi_region: Option<MultiRegionAttempt>,
    /// Wall-clock time at which the end of a done job was recorded. The times of its dependents
    /// count from this time, regardless of which controller is the leader.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Micros>,
}

/// Serializes the spec as submitted. The values that a controller's replica derives from other
/// records are never stored.
#[expect(clippy::ref_option, reason = "serde passes the field's own type")]
fn serialize_stored_spec<S: Serializer>(
    spec: &Option<Rc<JobSpec>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match spec {
        Some(spec) => spec
            .stored_spec
            .as_ref()
            .unwrap_or(spec)
            .serialize(serializer),
        None => serializer.serialize_none(),
    }
}

/// Start attempt of a multi-region gang, common to all of its parts. Stored as `[attempt, zone]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<String>)", into = "(u64, Option<String>)")]
pub struct MultiRegionAttempt {
    /// Attempt number of all tasks of the gang.
    pub attempt: u64,
    /// Zone of all tasks, if they must run in one zone.
    pub zone: Option<String>,
}

impl From<(u64, Option<String>)> for MultiRegionAttempt {
    fn from((attempt, zone): (u64, Option<String>)) -> Self {
        MultiRegionAttempt { attempt, zone }
    }
}

impl From<MultiRegionAttempt> for (u64, Option<String>) {
    fn from(common: MultiRegionAttempt) -> Self {
        (common.attempt, common.zone)
    }
}

impl JobRecord {
    /// Returns the record of the cancelled job: its tasks are bound to no region and its spec is
    /// kept.
    #[must_use]
    pub fn cancelled(&self) -> Self {
        JobRecord {
            stage: JobStage::Cancelled,
            spec: self.spec.clone(),
            task_ranges: Vec::new(),
            multi_region: None,
            ended_at: None,
        }
    }

    /// Returns the tasks that are bound to a region.
    #[must_use]
    pub fn tasks_of(&self, region: &str) -> RangeSet {
        let mut tasks = RangeSet::default();
        for range in self
            .task_ranges
            .iter()
            .filter(|range| range.region == region)
        {
            tasks.insert_range(range.first, range.end);
        }
        tasks
    }

    /// Returns the spec if the job is open.
    #[must_use]
    pub fn open_spec(&self) -> Option<&Rc<JobSpec>> {
        if self.stage == JobStage::Open {
            self.spec.as_ref()
        } else {
            None
        }
    }
}
