//! The records that the controllers store in the state service. Their stored forms are published:
//! the names and the order of the stored fields must not change when a Rust item is renamed.

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

/// Converts a record to a value of the state service.
#[must_use]
pub fn value<T: Serialize>(record: &T) -> Value {
    // Records consist of maps, text and numbers, so their conversion can't fail.
    serde_json::to_value(record).unwrap_or(Value::Null)
}
