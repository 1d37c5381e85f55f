//! Records of who leads and who owns a region.

use serde::{Deserialize, Serialize};

/// `leader`: who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name.
    pub holder: String,
    /// Which run of its process.
    pub run: u64,
}

/// `region/REGION`: who owns a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRecord {
    /// Host name.
    pub owner: String,
    /// Which run of its process.
    pub run: u64,
    /// The fencing token of its commands.
    pub token: u64,
    /// Set while its owner holds because records were lost: the incident, see
    /// [`DataLossHoldRecord`](super::DataLossHoldRecord). Versions before 0.6 know no such
    /// field.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub data_loss_incident: Option<u64>,
}
