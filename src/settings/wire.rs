//! JSON form of the platform's settings file. The serde attributes map the field names of the
//! file to the names that the code uses.

use serde::Deserialize;

/// Top level of the settings file.
#[derive(Deserialize)]
pub(super) struct File {
    #[serde(rename = "host_name")]
    pub(super) name: String,
    #[serde(rename = "area")]
    pub(super) zone: String,
    #[serde(rename = "front")]
    pub(super) http_addr: String,
    #[serde(rename = "mesh_addr")]
    pub(super) peer_addr: String,
    #[serde(default, rename = "others")]
    pub(super) peers: Vec<Peer>,
    #[serde(rename = "outside")]
    pub(super) services: Services,
    #[serde(rename = "facts")]
    pub(super) deployment: Deployment,
}

/// A peer, which is another controller of the deployment.
#[derive(Deserialize)]
pub(super) struct Peer {
    #[serde(rename = "host_name")]
    pub(super) name: String,
    #[serde(rename = "area")]
    pub(super) zone: String,
    pub(super) addr: String,
}

/// Addresses of the external services that a controller uses.
#[derive(Deserialize)]
pub(super) struct Services {
    #[serde(rename = "cloud")]
    pub(super) cloud_addr: String,
    #[serde(rename = "state")]
    pub(super) state_store_addr: String,
}

/// Settings that all controllers of a deployment share.
#[derive(Deserialize)]
pub(super) struct Deployment {
    #[serde(default)]
    pub(super) zones: Vec<String>,
    pub(super) teams: Vec<Team>,
    #[serde(default)]
    pub(super) objectives: Vec<Objective>,
    pub(super) workers: Workers,
    #[serde(rename = "state")]
    pub(super) state_store: StateStore,
    pub(super) cloud: Cloud,
    #[serde(rename = "quota")]
    pub(super) process_limits: ProcessLimits,
    #[serde(default, rename = "clock_off_ms")]
    pub(super) max_clock_error_ms: f64,
}

/// A team with its guaranteed quota and its limits.
#[derive(Deserialize)]
pub(super) struct Team {
    pub(super) name: String,
    #[serde(default, rename = "cpus")]
    pub(super) guaranteed_cpus: f64,
    #[serde(default, rename = "cpus_max")]
    pub(super) max_cpus: f64,
    #[serde(default, rename = "gpus")]
    pub(super) guaranteed_gpus: f64,
    #[serde(default, rename = "gpus_max")]
    pub(super) max_gpus: f64,
}

/// A service-level objective.
#[derive(Deserialize)]
pub(super) struct Objective {
    pub(super) kind: String,
    pub(super) class: Option<String>,
    #[serde(rename = "within_s")]
    pub(super) threshold_seconds: Option<f64>,
    #[serde(rename = "share")]
    pub(super) target: Option<f64>,
}

/// Timing parameters of workers, in seconds.
#[derive(Deserialize)]
pub(super) struct Workers {
    #[serde(rename = "report_s")]
    pub(super) heartbeat_interval: f64,
    #[serde(rename = "lease_s")]
    pub(super) lease: f64,
    #[serde(rename = "gang_wait_s")]
    pub(super) gang_start_timeout: f64,
    #[serde(rename = "gang_peer_s")]
    pub(super) gang_peer_timeout: f64,
    #[serde(rename = "cancel_s")]
    pub(super) cancellation_deadline: f64,
}

/// Limits of the state service.
#[derive(Deserialize)]
pub(super) struct StateStore {
    #[serde(rename = "rps")]
    pub(super) request_rate: f64,
    #[serde(rename = "write_rps")]
    pub(super) write_rate: f64,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub(super) max_txn_ops: usize,
    /// Limits that will take effect at some later time.
    #[serde(default, rename = "next")]
    pub(super) upcoming: Option<UpcomingStateStore>,
}

/// Limits of the state service that will take effect at some later time. A missing limit stays as
/// it is.
#[derive(Deserialize, Default)]
pub(super) struct UpcomingStateStore {
    #[serde(rename = "write_rps")]
    pub(super) write_rate: Option<f64>,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub(super) max_txn_ops: Option<usize>,
}

/// Limits of the cloud API.
#[derive(Deserialize)]
pub(super) struct Cloud {
    #[serde(rename = "rps")]
    pub(super) request_rate: f64,
    #[serde(rename = "list_lag_s")]
    pub(super) inventory_lag_seconds: f64,
}

/// Limits of a controller's process.
#[derive(Deserialize)]
pub(super) struct ProcessLimits {
    #[serde(default, rename = "ram_mb")]
    pub(super) memory_mb: f64,
    #[serde(rename = "fd_limit")]
    pub(super) max_sockets: usize,
}
