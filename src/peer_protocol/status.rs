//! Status page of a controller, which is sent in response to [`Message::StatusRequest`] and printed
//! as JSON. The attributes `serde(rename)` keep the names in JSON stable.
//!
//! [`Message::StatusRequest`]: super::Message::StatusRequest

#![allow(missing_docs)] // rkyv's derives generate items without doc comments

use rkyv::{Archive, Deserialize, Serialize};

/// Status page of a controller.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Default, serde::Serialize)]
pub struct Status {
    /// Name of the controller.
    pub name: String,
    /// Incarnation of the controller's process.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Time until the controller's authority ends, in microseconds.
    #[serde(rename = "authority_us")]
    pub authority_remaining_us: u64,
    /// Whether the controller's replica was recently up to date with the state service.
    #[serde(rename = "fresh")]
    pub reads_recent: bool,
    /// Status of each region.
    pub regions: Vec<RegionStatus>,
    /// Number of pending tasks by class.
    #[serde(rename = "waiting")]
    pub pending_tasks: Vec<(String, u32)>,
    /// Status of each objective.
    #[serde(rename = "aims")]
    pub objectives: Vec<ObjectiveStatus>,
    /// Most recent alerts.
    #[serde(rename = "signals")]
    pub alerts: Vec<String>,
}

/// Status of a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct RegionStatus {
    /// Region.
    pub region: String,
    /// Recorded owner of the region.
    pub owner: Option<String>,
    /// The owner's fencing token.
    pub token: u64,
    /// Whether all machines were reconciled, according to the last report.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Number of recorded machines.
    pub machines: u32,
    /// Number of machines that were ready for placement, according to the last report.
    #[serde(rename = "live")]
    pub ready_machines: u32,
    /// Number of pending tasks, according to the last report.
    #[serde(rename = "waiting")]
    pub pending_tasks: u32,
}

/// Status of a service-level objective.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct ObjectiveStatus {
    /// Name of the objective.
    #[serde(rename = "aim")]
    pub objective: String,
    /// Number of jobs in the window that met the objective.
    pub met: u32,
    /// Number of jobs in the window.
    #[serde(rename = "all")]
    pub total: u32,
    /// Target share of jobs that meet the objective.
    #[serde(rename = "share")]
    pub target: f64,
    /// Whether the objective is breached.
    #[serde(rename = "behind")]
    pub breached: bool,
}
