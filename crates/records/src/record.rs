//! The records that the state service keeps for the controllers. Their forms are published:
//! field names and order of what is stored stay as they are, whatever the names here.

mod data_loss_hold;
mod job;
mod machine;
mod ownership;
mod quota;

use serde::Serialize;
use serde_json::Value;

pub use data_loss_hold::{AcceptedLoss, DataLossHoldRecord};
pub use job::{JobRecord, JobStage, MultiRegionAttempt, TaskRange};
pub use machine::{
    ActivationRecord, BatchPosition, MachineBatchRecord, MachineRecord, MAX_ACTIVATION_BATCHES,
    MAX_BATCH,
};
pub use ownership::{LeaderRecord, RegionRecord};
pub use quota::QuotaRecord;

/// A record as a value for the state service.
#[must_use]
pub fn value<T: Serialize>(record: &T) -> Value {
    // Our records are plain maps of text and numbers: this can't fail.
    serde_json::to_value(record).unwrap_or(Value::Null)
}
