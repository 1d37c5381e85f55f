//! The platform's settings file as it is on the wire.

use super::Deserialize;

#[derive(Deserialize)]
pub struct File {
    pub host_name: String,
    pub area: String,
    pub front: String,
    pub mesh_addr: String,
    #[serde(default)]
    pub others: Vec<Other>,
    pub outside: Outside,
    pub facts: Facts,
}

#[derive(Deserialize)]
pub struct Other {
    pub host_name: String,
    pub area: String,
    pub addr: String,
}

#[derive(Deserialize)]
pub struct Outside {
    pub cloud: String,
    pub state: String,
}

#[derive(Deserialize)]
pub struct Facts {
    #[serde(default)]
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub quota: Quota,
    #[serde(default)]
    pub clock_off_ms: f64,
}

#[derive(Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
    pub share: Option<f64>,
}

#[derive(Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The limits that it will have from some moment on; any part may lack.
    #[serde(default)]
    pub next: Option<NextState>,
}

#[derive(Deserialize)]
pub struct NextState {
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

#[derive(Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Deserialize)]
pub struct Quota {
    #[serde(default)]
    pub ram_mb: f64,
    pub fd_limit: usize,
}
