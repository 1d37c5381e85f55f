//! What the daemon is told at the start: the platform's JSON file and, if the
//! operators have one, their INI.

mod operator;
mod wire;

pub use operator::{parse_operator_settings, OperatorSettings};
use salttiller_records::QuotaAmount;

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use salttiller_records::units::{self, Micros};

/// What is wrong with the settings; each names the file and the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// Path as given.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The file is not of the expected form.
    #[error("{file}: {cause}")]
    Form {
        /// Path as given.
        file: String,
        /// What the parser said.
        cause: String,
    },
    /// A field has a value that can't be used.
    #[error("{file}: {field}: {cause}")]
    Field {
        /// Path as given.
        file: String,
        /// Dotted name of the field.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Another controller.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Host name, which is also the name of its own region.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its mesh address.
    pub addr: SocketAddr,
}

/// A team's guarantee and limit, in millionths.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name as jobs give it.
    pub name: String,
    /// Guaranteed processors and cards.
    pub guarantee: QuotaAmount,
    /// Most processors and cards at any time; `None`: no limit.
    pub limit: Option<QuotaAmount>,
}

/// What the users expect of a class of jobs.
#[derive(Debug, Clone)]
pub struct Objective {
    /// Which figure: wait, finished, deadline, guarantee and others.
    pub kind: String,
    /// Class of jobs, if it is about one.
    pub class: Option<String>,
    /// Time bound.
    pub threshold: Option<Micros>,
    /// Share that should make it.
    pub target: f64,
}

/// Everything the daemon is told.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This controller's name, and its region's.
    pub name: String,
    /// This controller's zone.
    pub zone: String,
    /// Where users, workers and health checks come in.
    pub http_addr: SocketAddr,
    /// Where the other controllers come in.
    pub peer_addr: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// The cloud.
    pub cloud_addr: SocketAddr,
    /// The state service.
    pub state_store_addr: SocketAddr,
    /// Zones of the platform.
    pub zones: Vec<String>,
    /// Teams in the order given.
    pub teams: Vec<Team>,
    /// AlertMonitor.
    pub objectives: Vec<Objective>,
    /// Workers' report interval.
    pub heartbeat_interval: Micros,
    /// Workers' lease.
    pub worker_lease: Micros,
    /// How long a gang's tasks wait for each other.
    pub gang_start_timeout: Micros,
    /// How soon a gang's tasks notice a lost one.
    pub gang_peer_timeout: Micros,
    /// How soon a cancelled job's tasks must be gone.
    pub cancellation_deadline: Micros,
    /// State service: requests a second, over all controllers.
    pub store_request_rate: f64,
    /// State service: changes a second, over all controllers.
    pub store_write_rate: f64,
    /// The least that its rate of changes may become.
    pub min_store_write_rate: f64,
    /// State service: most bytes of a value.
    pub max_value_bytes: usize,
    /// State service: most changes of a transaction.
    pub max_txn_ops: usize,
    /// Cloud: calls a second.
    pub cloud_request_rate: f64,
    /// Cloud: how late the list of machines may usually be.
    pub cloud_list_lag: Micros,
    /// Most sockets.
    pub max_sockets: usize,
    /// Memory in MB; 0: not said.
    pub memory_mb: f64,
    /// Bound on the error of the time of day.
    pub max_clock_error: Micros,
    /// Operators' own settings.
    pub operator: OperatorSettings,
}

/// No limits to come.
const NO_CHANGE: wire::NextState = wire::NextState {
    write_rps: None,
    value_kb: None,
    txn_ops: None,
};

impl Settings {
    /// Reads the platform's file and, if given, the operators' INI.
    pub fn load(path: &Path, ini: Option<&Path>) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let mut s = Settings::parse(&path.display().to_string(), &text)?;
        if let Some(ini) = ini {
            s.operator =
                parse_operator_settings(&ini.display().to_string(), &read(ini)?, s.operator)?;
        }
        Ok(s)
    }

    /// Reads the platform's file from its text; `file` is for messages.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let f: wire::File = serde_json::from_str(text).map_err(|e| SettingsError::Form {
            file: file.into(),
            cause: e.to_string(),
        })?;
        let bad = |field: &str, cause: &str| SettingsError::Field {
            file: file.into(),
            field: field.into(),
            cause: cause.into(),
        };
        let addr = |field: &str, text: &str| -> Result<SocketAddr, SettingsError> {
            text.parse::<SocketAddrV4>()
                .map(SocketAddr::V4)
                .map_err(|_| {
                    bad(
                        field,
                        &format!("\"{text}\" is not an IPv4 address with port"),
                    )
                })
        };
        let span = |field: &str, s: f64| -> Result<Micros, SettingsError> {
            if s.is_finite() && s > 0.0 && s <= 1e7 {
                Ok(units::secs(s))
            } else {
                Err(bad(
                    field,
                    &format!("{s} is not a positive number of seconds"),
                ))
            }
        };
        let rate = |field: &str, r: f64| -> Result<f64, SettingsError> {
            if r.is_finite() && r > 0.0 {
                Ok(r)
            } else {
                Err(bad(field, &format!("{r} is not a positive rate")))
            }
        };
        let amount = |field: &str, cpus: f64, gpus: f64| -> Result<QuotaAmount, SettingsError> {
            if [cpus, gpus]
                .iter()
                .all(|x| x.is_finite() && *x >= 0.0 && *x < 1e9)
            {
                Ok(QuotaAmount {
                    cpus: units::room(cpus),
                    gpus: units::room(gpus),
                })
            } else {
                Err(bad(field, "not an amount"))
            }
        };
        if f.host_name.is_empty() || f.host_name.contains(['/', ' ']) {
            return Err(bad("host_name", "empty, or with a space or slash"));
        }
        let mut peers = Vec::new();
        for (i, o) in f.others.iter().enumerate() {
            if o.host_name == f.host_name || o.host_name.is_empty() {
                return Err(bad(&format!("others.{i}.host_name"), "empty or our own"));
            }
            peers.push(Peer {
                name: o.host_name.clone(),
                zone: o.area.clone(),
                addr: addr(&format!("others.{i}.addr"), &o.addr)?,
            });
        }
        let mut teams = Vec::new();
        for (i, t) in f.facts.teams.iter().enumerate() {
            let field = format!("facts.teams.{i}");
            teams.push(Team {
                name: t.name.clone(),
                guarantee: amount(&field, t.cpus, t.gpus)?,
                // A limit that would let nothing run at all is none.
                limit: Some(amount(&field, t.cpus_max, t.gpus_max)?)
                    .filter(|limit| *limit != QuotaAmount::default()),
            });
        }
        let w = &f.facts.workers;
        let s = &f.facts.state;
        let lease = span("facts.workers.lease_s", w.lease_s)?;
        let cancel = span("facts.workers.cancel_s", w.cancel_s)?;
        if cancel <= lease + units::SECOND {
            return Err(bad(
                "facts.workers.cancel_s",
                "must exceed lease_s by more than a second: no safe lease fits between",
            ));
        }
        let next = s.next.as_ref().unwrap_or(&NO_CHANGE);
        for (field, ops) in [
            ("facts.state.txn_ops", Some(s.txn_ops)),
            ("facts.state.next.txn_ops", next.txn_ops),
        ] {
            if ops.is_some_and(|n| n < 4) {
                return Err(bad(field, "fewer than 4 changes a transaction"));
            }
        }
        if f.facts.quota.fd_limit < 32 {
            return Err(bad("facts.quota.fd_limit", "fewer than 32 sockets"));
        }
        Ok(Settings {
            name: f.host_name,
            zone: f.area,
            http_addr: addr("front", &f.front)?,
            peer_addr: addr("mesh_addr", &f.mesh_addr)?,
            peers,
            cloud_addr: addr("outside.cloud", &f.outside.cloud)?,
            state_store_addr: addr("outside.state", &f.outside.state)?,
            zones: f.facts.zones,
            teams,
            objectives: f
                .facts
                .objectives
                .into_iter()
                .map(|o| Objective {
                    kind: o.kind,
                    class: o.class,
                    threshold: o.within_s.map(units::secs),
                    target: o.share.unwrap_or(0.0),
                })
                .collect(),
            heartbeat_interval: span("facts.workers.report_s", w.report_s)?,
            worker_lease: lease,
            gang_start_timeout: span("facts.workers.gang_wait_s", w.gang_wait_s)?,
            gang_peer_timeout: span("facts.workers.gang_peer_s", w.gang_peer_s)?,
            cancellation_deadline: cancel,
            store_request_rate: rate("facts.state.rps", s.rps)?,
            store_write_rate: rate("facts.state.write_rps", s.write_rps)?,
            // What is written from the start fits the limits to come, too: they come
            // without notice, and what is on record then must be rewritten under them.
            max_value_bytes: (rate("facts.state.value_kb", s.value_kb)?.min(match next.value_kb {
                Some(kb) => rate("facts.state.next.value_kb", kb)?,
                None => f64::MAX,
            }) * 1024.0) as usize,
            max_txn_ops: s.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
            min_store_write_rate: match next.write_rps {
                Some(w) => rate("facts.state.next.write_rps", w)?.min(s.write_rps),
                None => s.write_rps,
            },
            cloud_request_rate: rate("facts.cloud.rps", f.facts.cloud.rps)?,
            cloud_list_lag: units::secs(f.facts.cloud.list_lag_s),
            max_sockets: f.facts.quota.fd_limit,
            memory_mb: f.facts.quota.ram_mb,
            max_clock_error: units::secs(f.facts.clock_off_ms / 1000.0),
            operator: OperatorSettings::default(),
        })
    }

    /// How many controllers, and so regions, there are.
    pub fn region_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// All regions' names, in one order everywhere.
    pub fn regions(&self) -> Vec<String> {
        let mut v: Vec<String> = self.peers.iter().map(|p| p.name.clone()).collect();
        v.push(self.name.clone());
        v.sort();
        v
    }

    /// The life of an owner's lease. A cancellation that an owner never hears of
    /// must still be carried out in time by its workers' leases running out:
    /// life + `lease_s` + margin stays below `cancel_s`.
    pub fn owner_lease_life(&self) -> Micros {
        ((self.cancellation_deadline - self.worker_lease) * 6 / 10).min(20 * units::SECOND)
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
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
