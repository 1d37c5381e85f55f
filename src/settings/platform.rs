//! Parsing and validation of the platform's settings file.

use std::net::{SocketAddr, SocketAddrV4};

use super::error::{FieldError, SettingsError, MIN_SOCKETS, MIN_TXN_OPS};
use super::{wire, Objective, OperatorSettings, Peer, Settings, Team};
use salttiller_records::units::{self, Micros};
use salttiller_records::QuotaAmount;

/// Maximum duration that is accepted, in seconds.
const MAX_SECONDS: f64 = 1e7;
/// Exclusive upper bound of amounts of CPUs and GPUs.
const MAX_AMOUNT_EXCLUSIVE: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Parses the text of the platform's file. `file` is the path that error messages show.
pub(super) fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let parsed: wire::File = serde_json::from_str(text).map_err(|cause| SettingsError::Json {
        file: file.into(),
        cause,
    })?;
    Validator { file }.settings(parsed)
}

/// Validates the fields of a file and converts them into settings.
struct Validator<'a> {
    /// Path as given, which error messages show.
    file: &'a str,
}

impl Validator<'_> {
    fn settings(&self, file: wire::File) -> Result<Settings, SettingsError> {
        self.check_name(&file.name)?;
        let peers = self.peers(&file)?;
        let deployment = file.deployment;
        let teams = self.teams(&deployment.teams)?;
        let workers = &deployment.workers;
        let (worker_lease, cancellation_deadline) =
            self.lease_and_cancellation_deadline(workers)?;
        self.check_minimum_limits(&deployment)?;
        let http_addr = self.address("front", &file.http_addr)?;
        let peer_addr = self.address("mesh_addr", &file.peer_addr)?;
        let cloud_addr = self.address("outside.cloud", &file.services.cloud_addr)?;
        let state_store_addr = self.address("outside.state", &file.services.state_store_addr)?;
        let heartbeat_interval =
            self.duration("facts.workers.report_s", workers.heartbeat_interval)?;
        let gang_start_timeout =
            self.duration("facts.workers.gang_wait_s", workers.gang_start_timeout)?;
        let gang_peer_timeout =
            self.duration("facts.workers.gang_peer_s", workers.gang_peer_timeout)?;
        let store = self.store_limits(&deployment.state_store)?;
        let cloud_request_rate = self.rate("facts.cloud.rps", deployment.cloud.request_rate)?;
        Ok(Settings {
            name: file.name,
            zone: file.zone,
            http_addr,
            peer_addr,
            peers,
            cloud_addr,
            state_store_addr,
            zones: deployment.zones,
            teams,
            objectives: deployment.objectives.into_iter().map(objective).collect(),
            heartbeat_interval,
            worker_lease,
            gang_start_timeout,
            gang_peer_timeout,
            cancellation_deadline,
            store_request_rate: store.request_rate,
            store_write_rate: store.write_rate,
            min_store_write_rate: store.min_write_rate,
            max_value_bytes: store.max_value_bytes,
            max_txn_ops: store.max_txn_ops,
            cloud_request_rate,
            cloud_list_lag: units::from_seconds(deployment.cloud.inventory_lag_seconds),
            max_sockets: deployment.process_limits.max_sockets,
            memory_mb: deployment.process_limits.memory_mb,
            max_clock_error: units::from_seconds(deployment.max_clock_error_ms / MILLIS_PER_SECOND),
            operator: OperatorSettings::default(),
        })
    }

    fn check_name(&self, name: &str) -> Result<(), SettingsError> {
        if name.is_empty() || name.contains(['/', ' ']) {
            return Err(self.error("host_name", FieldError::InvalidName));
        }
        Ok(())
    }

    fn peers(&self, file: &wire::File) -> Result<Vec<Peer>, SettingsError> {
        let peer = |(index, peer): (usize, &wire::Peer)| {
            if peer.name == file.name || peer.name.is_empty() {
                let field = format!("others.{index}.host_name");
                return Err(self.error(&field, FieldError::InvalidPeerName));
            }
            Ok(Peer {
                name: peer.name.clone(),
                zone: peer.zone.clone(),
                addr: self.address(&format!("others.{index}.addr"), &peer.addr)?,
            })
        };
        file.peers.iter().enumerate().map(peer).collect()
    }

    fn teams(&self, teams: &[wire::Team]) -> Result<Vec<Team>, SettingsError> {
        let team = |(index, team): (usize, &wire::Team)| {
            let field = format!("facts.teams.{index}");
            let limit = self.quota(&field, team.max_cpus, team.max_gpus);
            Ok(Team {
                name: team.name.clone(),
                guarantee: self.quota(&field, team.guaranteed_cpus, team.guaranteed_gpus)?,
                // A limit of zero would prevent all jobs of the team, so it means no limit.
                limit: Some(limit?).filter(|limit| *limit != QuotaAmount::default()),
            })
        };
        teams.iter().enumerate().map(team).collect()
    }

    /// Returns the workers' lease and the cancellation deadline.
    fn lease_and_cancellation_deadline(
        &self,
        workers: &wire::Workers,
    ) -> Result<(Micros, Micros), SettingsError> {
        let field = "facts.workers.cancel_s";
        let lease = self.duration("facts.workers.lease_s", workers.lease)?;
        let deadline = self.duration(field, workers.cancellation_deadline)?;
        if deadline <= lease + units::SECOND {
            return Err(self.error(field, FieldError::CancellationDeadlineTooShort));
        }
        Ok((lease, deadline))
    }

    /// Checks that the limits on transactions and sockets are high enough for a controller.
    fn check_minimum_limits(&self, deployment: &wire::Deployment) -> Result<(), SettingsError> {
        let store = &deployment.state_store;
        let upcoming = store.upcoming.as_ref();
        for (field, ops) in [
            ("facts.state.txn_ops", Some(store.max_txn_ops)),
            (
                "facts.state.next.txn_ops",
                upcoming.and_then(|limits| limits.max_txn_ops),
            ),
        ] {
            if ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
                return Err(self.error(field, FieldError::TooFewTxnOps));
            }
        }
        if deployment.process_limits.max_sockets < MIN_SOCKETS {
            return Err(self.error("facts.quota.fd_limit", FieldError::TooFewSockets));
        }
        Ok(())
    }

    /// Returns the limits of the state service. Records must fit the upcoming limits from the
    /// start, because these limits take effect without notice, and existing records must be
    /// rewritten under them.
    fn store_limits(&self, store: &wire::StateStore) -> Result<StoreLimits, SettingsError> {
        let none = wire::UpcomingStateStore::default();
        let upcoming = store.upcoming.as_ref().unwrap_or(&none);
        let request_rate = self.rate("facts.state.rps", store.request_rate)?;
        let write_rate = self.rate("facts.state.write_rps", store.write_rate)?;
        let max_value_kb = self.rate("facts.state.value_kb", store.max_value_kb)?;
        let upcoming_value_kb = match upcoming.max_value_kb {
            Some(kb) => self.rate("facts.state.next.value_kb", kb)?,
            None => f64::MAX,
        };
        let min_write_rate = match upcoming.write_rate {
            Some(rate) => self
                .rate("facts.state.next.write_rps", rate)?
                .min(write_rate),
            None => write_rate,
        };
        Ok(StoreLimits {
            request_rate,
            write_rate,
            min_write_rate,
            max_value_bytes: (max_value_kb.min(upcoming_value_kb) * BYTES_PER_KB) as usize,
            max_txn_ops: store
                .max_txn_ops
                .min(upcoming.max_txn_ops.unwrap_or(usize::MAX)),
        })
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse::<SocketAddrV4>()
            .map(SocketAddr::V4)
            .map_err(|_| self.error(field, FieldError::NotAnAddress(text.into())))
    }

    fn duration(&self, field: &str, seconds: f64) -> Result<Micros, SettingsError> {
        if seconds.is_finite() && seconds > 0.0 && seconds <= MAX_SECONDS {
            Ok(units::from_seconds(seconds))
        } else {
            Err(self.error(field, FieldError::NotADuration(seconds)))
        }
    }

    fn rate(&self, field: &str, rate: f64) -> Result<f64, SettingsError> {
        if rate.is_finite() && rate > 0.0 {
            Ok(rate)
        } else {
            Err(self.error(field, FieldError::NotARate(rate)))
        }
    }

    fn quota(&self, field: &str, cpus: f64, gpus: f64) -> Result<QuotaAmount, SettingsError> {
        let is_amount =
            |amount: f64| amount.is_finite() && (0.0..MAX_AMOUNT_EXCLUSIVE).contains(&amount);
        if !is_amount(cpus) || !is_amount(gpus) {
            return Err(self.error(field, FieldError::NotAnAmount));
        }
        Ok(QuotaAmount {
            cpus: units::round_down_to_millionths(cpus),
            gpus: units::round_down_to_millionths(gpus),
        })
    }

    fn error(&self, field: &str, cause: FieldError) -> SettingsError {
        SettingsError::Field {
            file: self.file.into(),
            field: field.into(),
            cause,
        }
    }
}

/// Limits of the state service that comply with both the present and the upcoming limits.
struct StoreLimits {
    request_rate: f64,
    write_rate: f64,
    min_write_rate: f64,
    max_value_bytes: usize,
    max_txn_ops: usize,
}

fn objective(objective: wire::Objective) -> Objective {
    Objective {
        kind: objective.kind,
        class: objective.class,
        threshold: objective.threshold_seconds.map(units::from_seconds),
        target: objective.target.unwrap_or(0.0),
    }
}
