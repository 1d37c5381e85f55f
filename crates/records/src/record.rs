//! The records that the state service keeps for the controllers.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::amount::QuotaAmount;
use crate::model::{JobSpec, RangeSet};
use crate::units::Micros;

/// `leader`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name.
    pub holder: String,
    /// Which run of its process.
    pub run: u64,
}

/// `region/R`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRecord {
    /// Host name.
    pub owner: String,
    /// Which run of its process.
    pub run: u64,
    /// The token with which it commands.
    pub token: u64,
    /// Set while its owner holds: the incident, see [`DataLossHoldRecord`]. Versions before 0.6 know
    /// no such field.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub held: Option<u64>,
}

/// A machine as the records show it: either one `machine/NAME` of its own, as
/// versions before 0.2 wrote it, or a place in a lot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Region, for life.
    pub region: String,
    /// Type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Set by the owner before it sends the first start: a machine without it
    /// has never been given a task by anyone.
    #[serde(rename = "opened", default)]
    pub activated: bool,
    /// The lot it is in, and its place there.
    #[serde(skip)]
    pub batch_position: Option<(Rc<str>, usize)>,
}

/// `lot/ID`: machines of one type, zone and kind that were rented together and
/// are dealt together. One record for many: a record a machine would cost
/// more changes than the state service takes when thousands come at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineBatchRecord {
    /// Region, for life.
    #[serde(rename = "r")]
    pub region: String,
    /// Type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Names; an empty one was a machine that is proved gone. Places never shift,
    /// since the roll counts by them.
    #[serde(rename = "m")]
    pub machines: Vec<String>,
}

/// `roll/REGION/N`: by lot, a bitmap of the machines that were opened. Written by
/// the region's owner before it sends the first start to a machine: one that isn't
/// in it has never been given a task by anyone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ActivationRecord(pub BTreeMap<String, String>);

/// Most machines of a lot: what one rental returns at the most.
pub const MAX_BATCH: usize = 50;
/// Most lots of one roll record, so that it stays below 2 KB.
pub const MAX_ACTIVATION_BATCHES: usize = 40;

/// Where a job stands, for good or for now.
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
    pub fn new(first: u32, end: u32, region: impl Into<String>) -> Self {
        TaskRange {
            first,
            end,
            region: region.into(),
        }
    }

    /// Whether no region holds these tasks.
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

/// `job/ID`. Once over, what nobody needs any more is left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// JobStage.
    #[serde(rename = "st")]
    pub stage: JobStage,
    /// The submission; kept for cancelled jobs too, whose tasks may still
    /// count against the team's limit, dropped for done ones.
    #[serde(
        rename = "j",
        default,
        skip_serializing_if = "Option::is_none",
        serialize_with = "as_recorded"
    )]
    pub spec: Option<Rc<JobSpec>>,
    /// Which regions hold which tasks; empty: not bound yet.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub task_ranges: Vec<TaskRange>,
    /// Of a gang over several regions: the attempt that all parts start under,
    /// and the zone that all keep to if they must be together.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub multi_region: Option<MultiRegionAttempt>,
    /// Of a done job: the time of day at which that was put on record. Jobs that need it
    /// count their times from there, under every leader alike.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Micros>,
}

/// Writes a submission as it came: what the replica derives from other records is
/// never put on record.
fn as_recorded<S: serde::Serializer>(spec: &Option<Rc<JobSpec>>, s: S) -> Result<S::Ok, S::Error> {
    match spec {
        Some(j) => j.stored_spec.as_ref().unwrap_or(j).serialize(s),
        None => s.serialize_none(),
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
    fn from(joint: MultiRegionAttempt) -> Self {
        (joint.attempt, joint.zone)
    }
}

impl JobRecord {
    /// The record once it is cancelled: bound to nobody, the submission kept.
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
    pub fn tasks_of(&self, region: &str) -> RangeSet {
        let mut s = RangeSet::default();
        for range in self.task_ranges.iter().filter(|r| r.region == region) {
            s.add(range.first, range.end);
        }
        s
    }

    /// The submission of a job that is not over.
    pub fn open_spec(&self) -> Option<&Rc<JobSpec>> {
        if self.stage == JobStage::Open {
            self.spec.as_ref()
        } else {
            None
        }
    }
}

/// `quota/TEAM`: how a team's limit is shared out among the regions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuotaRecord {
    /// Each region's share. Regions without one have no entry.
    pub shares: BTreeMap<String, QuotaAmount>,
}

/// `hold`: controllers found that the state service lost records, and hold until operators
/// decide. Versions before 0.6 pass it over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataLossHoldRecord {
    /// Tells one loss from another: a random number.
    pub incident: u64,
    /// Host name of the controller that found it.
    pub by: String,
    /// Time of day at which it did.
    pub at: Micros,
    /// What it saw.
    pub seen: String,
    /// Set when operators decided to go on with what there is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<AcceptedLoss>,
}

/// An operator's decision to go on with the records that there are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedLoss {
    /// Who.
    pub by: String,
    /// Time of day.
    pub at: Micros,
    /// Why.
    pub why: String,
}

/// A record as a value for the state service.
pub fn value<T: Serialize>(record: &T) -> Value {
    // Our records are plain maps of text and numbers: this can't fail.
    serde_json::to_value(record).unwrap_or(Value::Null)
}
