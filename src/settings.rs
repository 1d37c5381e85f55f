//! What the controller is configured with: the platform's JSON file and, if the operators have
//! one, their INI file. Read once at the start; nothing changes them afterwards.

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

/// Share of the time between the workers' lease and the deadline of a cancellation that an
/// owner's lease takes, in tenths.
const OWNER_LEASE_TENTHS: u64 = 6;
/// The longest life of an owner's lease.
const MAX_OWNER_LEASE: Micros = 20 * units::SECOND;

/// Another controller.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Host name, which is also the name of its own region.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address at which it accepts other controllers.
    pub addr: SocketAddr,
}

/// A team's guarantee and limit, in millionths.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name as jobs give it.
    pub name: String,
    /// Guaranteed processors and cards.
    pub guarantee: QuotaAmount,
    /// Most processors and cards in use at any time; `None`: no limit.
    pub limit: Option<QuotaAmount>,
}

/// A service level objective: what the users expect of a class of jobs.
#[derive(Debug, Clone)]
pub struct Objective {
    /// Which metric: wait, finished, deadline, guarantee and others.
    pub kind: String,
    /// Class of jobs, if it is about one; else all.
    pub class: Option<String>,
    /// Time within which a job meets it.
    pub threshold: Option<Micros>,
    /// Share of jobs that should meet it.
    pub target: f64,
}

/// Everything a controller is configured with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This controller's name, and its region's.
    pub name: String,
    /// This controller's zone.
    pub zone: String,
    /// Address for users, workers and health checks.
    pub http_addr: SocketAddr,
    /// Address for the other controllers.
    pub peer_addr: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud's interface.
    pub cloud_addr: SocketAddr,
    /// Address of the state store.
    pub state_store_addr: SocketAddr,
    /// Zones of the platform.
    pub zones: Vec<String>,
    /// Teams, in the order given.
    pub teams: Vec<Team>,
    /// AlertMonitor.
    pub objectives: Vec<Objective>,
    /// Interval of the workers' heartbeats.
    pub heartbeat_interval: Micros,
    /// Life of a worker's lease: without a response for so long it kills its tasks.
    pub worker_lease: Micros,
    /// How long the tasks of a gang wait for each other.
    pub gang_start_timeout: Micros,
    /// How soon the tasks of a gang notice that one was lost.
    pub gang_peer_timeout: Micros,
    /// How soon after a cancellation the job's tasks must be gone.
    pub cancellation_deadline: Micros,
    /// State store: requests a second, over all controllers.
    pub store_request_rate: f64,
    /// State store: changes a second, over all controllers.
    pub store_write_rate: f64,
    /// State store: the least that its rate of changes may become.
    pub min_store_write_rate: f64,
    /// State store: most bytes of a value, by present and upcoming limits.
    pub max_value_bytes: usize,
    /// State store: most changes of a transaction, by present and upcoming limits.
    pub max_txn_ops: usize,
    /// Cloud: calls a second.
    pub cloud_request_rate: f64,
    /// Cloud: how far the inventory usually lags behind.
    pub cloud_list_lag: Micros,
    /// Most sockets of the process.
    pub max_sockets: usize,
    /// Memory of the process in MB; 0: not given.
    pub memory_mb: f64,
    /// Bound on the error of the time of day.
    pub max_clock_error: Micros,
    /// Operators' own settings.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads the platform's file and, if given, the operators' INI file.
    ///
    /// # Errors
    /// A file can't be read, or holds a value that can't be used.
    pub fn load(path: &Path, ini: Option<&Path>) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let mut settings = Settings::parse(&path.display().to_string(), &text)?;
        if let Some(ini) = ini {
            let file = ini.display().to_string();
            settings.operator = parse_operator_settings(&file, &read(ini)?, settings.operator)?;
        }
        Ok(settings)
    }

    /// Reads the platform's file from its text; `file` is for messages.
    ///
    /// # Errors
    /// Not JSON of the expected form, or a value that can't be used.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        platform::parse(file, text)
    }

    /// How many controllers, and so regions, there are.
    pub fn region_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// All regions' names, in one order everywhere.
    pub fn regions(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        names.push(self.name.clone());
        names.sort();
        names
    }

    /// The life of an owner's lease. A cancellation that an owner never hears of
    /// must still be carried out in time by its workers' leases running out:
    /// life + `lease_s` + margin stays below `cancel_s`.
    pub fn owner_lease_life(&self) -> Micros {
        let between = self.cancellation_deadline - self.worker_lease;
        (between * OWNER_LEASE_TENTHS / 10).min(MAX_OWNER_LEASE)
    }

    /// A team by name.
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
