//! Settings of the controller.
//!
//! The settings come from the platform's JSON file and an optional INI file of the operators.
//! Both files are read once when the controller starts, and the settings do not change afterwards.

mod error;
mod operator;
mod platform;
mod wire;

use std::net::SocketAddr;
use std::path::Path;

pub use error::{FieldError, SettingsError};
pub use operator::{parse_number, parse_operator_settings, OperatorSettings};
use salttiller_records::units::{self, Micros};
use salttiller_records::QuotaAmount;

/// Duration of an owner's lease, in tenths of the difference between the cancellation deadline and
/// the workers' lease.
const OWNER_LEASE_TENTHS: u64 = 6;
/// Maximum duration of an owner's lease.
const MAX_OWNER_LEASE: Micros = 20 * units::SECOND;

/// A peer, which is another controller of the deployment.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Host name, which is also the name of the peer's home region.
    pub name: String,
    /// Zone of the peer.
    pub zone: String,
    /// Address at which the peer accepts connections from other controllers.
    pub addr: SocketAddr,
}

/// A team with its guaranteed quota and its limit, both in millionths.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name of the team, as used in job submissions.
    pub name: String,
    /// Guaranteed CPUs and GPUs.
    pub guarantee: QuotaAmount,
    /// Maximum number of CPUs and GPUs in use at any time; `None` means no limit.
    pub limit: Option<QuotaAmount>,
}

/// A service-level objective for a class of jobs or for all jobs.
#[derive(Debug, Clone)]
pub struct Objective {
    /// Metric of the objective: `wait`, `finished`, `deadline`, `guarantee` or others.
    pub kind: String,
    /// Class of jobs to which the objective applies; `None` means all classes.
    pub class: Option<String>,
    /// Time within which a job meets the objective.
    pub threshold: Option<Micros>,
    /// Share of jobs that should meet the objective, from 0 to 1.
    pub target: f64,
}

/// Complete settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this controller and of its home region.
    pub name: String,
    /// Zone of this controller.
    pub zone: String,
    /// Listening address for users, workers and health checks.
    pub http_addr: SocketAddr,
    /// Listening address for the peers.
    pub peer_addr: SocketAddr,
    /// Peers of this controller.
    pub peers: Vec<Peer>,
    /// Address of the cloud API.
    pub cloud_addr: SocketAddr,
    /// Address of the state service.
    pub state_store_addr: SocketAddr,
    /// Zones of the platform.
    pub zones: Vec<String>,
    /// Teams, in the order of the settings file.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Interval of the workers' heartbeats.
    pub heartbeat_interval: Micros,
    /// Duration of a worker's lease. A worker kills its tasks if it receives no response for this
    /// time.
    pub worker_lease: Micros,
    /// Time for which the tasks of a gang wait for each other at the start.
    pub gang_start_timeout: Micros,
    /// Time within which the tasks of a gang detect the loss of one of them.
    pub gang_peer_timeout: Micros,
    /// Time after a cancellation within which all tasks of the job must have ended.
    pub cancellation_deadline: Micros,
    /// Requests per second to the state service, summed over all controllers.
    pub store_request_rate: f64,
    /// Writes per second to the state service, summed over all controllers.
    pub store_write_rate: f64,
    /// Lower of the present and upcoming limits on writes per second to the state service.
    pub min_store_write_rate: f64,
    /// Maximum size of a value in the state service, in bytes: the lower of the present and
    /// upcoming limits.
    pub max_value_bytes: usize,
    /// Maximum number of changes per transaction of the state service: the lower of the present and
    /// upcoming limits.
    pub max_txn_ops: usize,
    /// Requests per second to the cloud API.
    pub cloud_request_rate: f64,
    /// Usual lag of the cloud's machine list.
    pub cloud_list_lag: Micros,
    /// Maximum number of sockets of the process.
    pub max_sockets: usize,
    /// Memory limit of the process in MB; 0 means unspecified.
    pub memory_mb: f64,
    /// Maximum error of the wall clock.
    pub max_clock_error: Micros,
    /// Settings of the operators.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Loads the platform's file and, if given, the operators' INI file.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read, or contains an invalid value.
    pub fn load(path: &Path, ini: Option<&Path>) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let mut settings = Settings::parse(&path.display().to_string(), &text)?;
        if let Some(ini) = ini {
            let file = ini.display().to_string();
            settings.operator = parse_operator_settings(&file, &read(ini)?, settings.operator)?;
        }
        Ok(settings)
    }

    /// Parses the text of the platform's file. `file` is the path that error messages show.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON of the expected form, or contains an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        platform::parse(file, text)
    }

    /// Number of regions, which equals the number of controllers.
    pub fn region_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Names of all regions, sorted so that every controller uses the same order.
    pub fn regions(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        names.push(self.name.clone());
        names.sort();
        names
    }

    /// Duration of an owner's lease. If an owner doesn't receive a cancellation, its own lease and
    /// then its workers' leases must still expire before the cancellation deadline. The duration
    /// plus `lease_s` and a margin therefore stays below `cancel_s`.
    pub fn owner_lease_duration(&self) -> Micros {
        let available = self.cancellation_deadline - self.worker_lease;
        (available * OWNER_LEASE_TENTHS / 10).min(MAX_OWNER_LEASE)
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        file: path.display().to_string(),
        cause,
    })
}

#[cfg(test)]
#[allow(missing_docs)]
pub mod tests;
