//! Records of the leader and of the owners of regions.

use serde::{Deserialize, Serialize};

/// `leader`: the current leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name of the leader.
    pub holder: String,
    /// Incarnation of the leader's process.
    pub run: u64,
}

/// `region/REGION`: the owner of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRecord {
    /// Host name of the owner.
    pub owner: String,
    /// Incarnation of the owner's process.
    pub run: u64,
    /// Fencing token of the owner's commands.
    pub token: u64,
    /// Id of the incident while the owner is in a data-loss hold; see
    /// [`DataLossHoldRecord`](super::DataLossHoldRecord). Versions before 0.6 do not know this
    /// field.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub data_loss_incident: Option<u64>,
}
