//! The status page of a controller, as it is sent to whoever asks for it and printed as JSON.
//! The names in JSON are those of serde's `rename`.

#![allow(missing_docs)] // rkyv's derives make items that can't carry any

use rkyv::{Archive, Deserialize, Serialize};

/// The status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Default, serde::Serialize)]
pub struct Status {
    /// Host name.
    pub name: String,
    /// Incarnation of its process.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The leader, if one is known.
    pub leader: Option<String>,
    /// Time until its authority ends, in microseconds.
    #[serde(rename = "authority_us")]
    pub authority_remaining_us: u64,
    /// Whether its reads of the state store are recent.
    #[serde(rename = "fresh")]
    pub reads_recent: bool,
    /// Regions.
    pub regions: Vec<RegionStatus>,
    /// Pending tasks by class.
    #[serde(rename = "waiting")]
    pub pending_tasks: Vec<(String, u32)>,
    /// AlertMonitor.
    #[serde(rename = "aims")]
    pub objectives: Vec<ObjectiveStatus>,
    /// The last alerts.
    #[serde(rename = "signals")]
    pub alerts: Vec<String>,
}

/// A region on the status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct RegionStatus {
    /// Region.
    pub region: String,
    /// Owner on record.
    pub owner: Option<String>,
    /// The owner's fencing token.
    pub token: u64,
    /// Whether all machines are reconciled, as last reported.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Machines on record.
    pub machines: u32,
    /// Machines that are ready for placement, as last reported.
    #[serde(rename = "live")]
    pub ready_machines: u32,
    /// Pending tasks.
    #[serde(rename = "waiting")]
    pub pending_tasks: u32,
}

/// An objective on the status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct ObjectiveStatus {
    /// The objective.
    #[serde(rename = "aim")]
    pub objective: String,
    /// Jobs in the window that met it.
    pub met: u32,
    /// Jobs in the window.
    #[serde(rename = "all")]
    pub total: u32,
    /// The share of jobs that should meet it.
    #[serde(rename = "share")]
    pub target: f64,
    /// Whether it is breached.
    #[serde(rename = "behind")]
    pub breached: bool,
}
