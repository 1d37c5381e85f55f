//! The record of a job.

use std::rc::Rc;

use serde::{Deserialize, Serialize, Serializer};

use crate::model::{JobSpec, RangeSet};
use crate::units::Micros;

/// Stage of a job's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// Not over.
    #[serde(rename = "o")]
    Open,
    /// All tasks done.
    #[serde(rename = "d")]
    Done,
    /// Its user asked to cancel it.
    #[serde(rename = "c")]
    Cancelled,
}

/// Consecutive tasks of a job that are bound to one region. Stored as `[first, end, region]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String)", into = "(u32, u32, String)")]
pub struct TaskRange {
    /// First task.
    pub first: u32,
    /// One past the last.
    pub end: u32,
    /// Region; empty: bound to none.
    pub region: String,
}

impl TaskRange {
    /// The tasks from `first` up to, not including, `end`, bound to a region.
    #[must_use]
    pub fn new(first: u32, end: u32, region: impl Into<String>) -> Self {
        TaskRange {
            first,
            end,
            region: region.into(),
        }
    }

    /// Whether these tasks are bound to no region.
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

/// `job/ID`. Once the job is over, what is not needed any more is left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Stage.
    #[serde(rename = "st")]
    pub stage: JobStage,
    /// The spec as submitted; in the replica the effective spec. Kept for cancelled jobs
    /// too, whose tasks may still count against the team's limit; dropped for done ones.
    #[serde(
        rename = "j",
        default,
        skip_serializing_if = "Option::is_none",
        serialize_with = "serialize_stored_spec"
    )]
    pub spec: Option<Rc<JobSpec>>,
    /// Which regions the tasks are bound to; empty: not bound yet.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub task_ranges: Vec<TaskRange>,
    /// Of a gang over several regions: the attempt that all parts start under, and the zone
    /// of all if they must be in one.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub multi_region: Option<MultiRegionAttempt>,
    /// Of a done job: the time of day at which that was recorded. Jobs that need it count
    /// their times from there, whoever leads.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Micros>,
}

/// Writes a spec as submitted: what the replica derives from other records is never
/// stored.
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

/// What the parts of a gang over several regions have in common. Stored as `[attempt, zone]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<String>)", into = "(u64, Option<String>)")]
pub struct MultiRegionAttempt {
    /// Attempt number that every task of the gang starts under.
    pub attempt: u64,
    /// Zone, if all tasks must be in one.
    pub zone: Option<String>,
}

impl From<(u64, Option<String>)> for MultiRegionAttempt {
    fn from((attempt, zone): (u64, Option<String>)) -> Self {
        MultiRegionAttempt { attempt, zone }
    }
}

impl From<MultiRegionAttempt> for (u64, Option<String>) {
    fn from(gang: MultiRegionAttempt) -> Self {
        (gang.attempt, gang.zone)
    }
}

impl JobRecord {
    /// The record of the job once it is cancelled: bound to no region, the spec kept.
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

    /// The tasks bound to a region.
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

    /// The spec of a job that is not over.
    #[must_use]
    pub fn open_spec(&self) -> Option<&Rc<JobSpec>> {
        if self.stage == JobStage::Open {
            self.spec.as_ref()
        } else {
            None
        }
    }
}
