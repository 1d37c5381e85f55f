//! Data-loss hold: restricted operation from the time at which the state service lost records
//! until operators decide how to continue.
//!
//! During a hold, regions are owned under the usual leases and fencing tokens, so that one
//! controller is responsible for each region, and workers' leases are renewed. No task is started
//! or reaped and no machine is rented or released; only tasks of jobs that are known to be
//! cancelled are stopped. Users receive the final job states on record; all other requests are
//! refused. The hold has a record of its own, so that every controller takes part in it, also after
//! a restart, until an operator's decision is added to the record. See docs/recovery.md.
//!
//! This module begins and ends the hold and maintains its record. `kept_regions` acquires regions
//! during a hold, `requests` answers workers and users, `evidence` detects lost records from
//! heartbeats, and `cancellations` tells peers about cancellations whose records were lost.

mod cancellations;
mod evidence;
mod kept_regions;
mod requests;

use std::collections::BTreeSet;

use salttiller_records::key::Key;
use salttiller_records::record::{value, DataLossHoldRecord};
use salttiller_records::units::{add_drift, Micros, SECOND};
use salttiller_recovery::{Finding, LossDetector};

use super::cluster_state::random_id;
use super::commits::PendingCommit;
use super::region_ownership::Acquisition;
use super::{Controller, MAX_STEP_INTERVAL};
use crate::alerts::conditions::Condition;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::Net;
use crate::state_store::replica::Replica;
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};
use cancellations::LostCancellations;
use kept_regions::KeptRegions;

/// Margin added to a former owner's authority for clock differences and responses in transit.
const AUTHORITY_MARGIN: Micros = SECOND;

/// A hold in force.
#[derive(Debug)]
struct DataLossHold {
    finding: Finding,
    since: Micros,
    /// Replica of the records before the loss.
    replica_before_loss: Replica,
    /// Regions that this controller owned when the hold began.
    owned_before: BTreeSet<String>,
    kept: KeptRegions,
    lost_cancellations: LostCancellations,
    /// Id of the incident that this hold belongs to, drawn by this controller or read from the
    /// hold's record.
    incident: u64,
    /// State of the transaction that writes the hold's record.
    record_acquisition: Option<Acquisition>,
}

/// Detection of lost records, and the hold that follows it.
#[derive(Debug, Default)]
pub(super) struct DataLossProtection {
    /// `None` if detection is disabled in the settings.
    detection: Option<LossDetector>,
    hold: Option<Box<DataLossHold>>,
}

impl DataLossProtection {
    /// Starts the detection of lost records. `heartbeat_interval` is the workers' interval between
    /// heartbeats.
    /// Returns the time from which the records count as verified.
    pub(super) fn start_detection(&mut self, now: Micros, heartbeat_interval: Micros) -> Micros {
        let detector = LossDetector::new(now, heartbeat_interval);
        let verified_at = detector.verified_at();
        self.detection = Some(detector);
        verified_at
    }

    /// Whether a hold is in force.
    pub(super) fn is_hold_active(&self) -> bool {
        self.hold.is_some()
    }

    /// Returns the alert condition of a hold, if one is in force.
    pub(super) fn condition(&self) -> Option<Condition> {
        let hold = self.hold.as_ref()?;
        let seen = hold.finding.to_string();
        Some(Condition::DataLoss { seen })
    }
}

impl<N: Net> Controller<N> {
    /// Begins a hold if detection is enabled.
    pub(super) fn begin_hold(&mut self, finding: Finding) {
        if self.data_loss.detection.is_none() {
            return;
        }
        let now = self.cluster.now;
        let owned_before = self.ownership.take_owned_before_loss(now);
        // A controller that begins the hold because of the hold's record also reads all records
        // again: its replica may mix the lost history with changes of the history that replaced it.
        let mut events = Vec::new();
        let replica_before_loss = self.cluster.state_store.discard_history(&mut events);
        self.on_state_store_events(events);
        if let Some(hold) = &mut self.data_loss.hold {
            // Records were lost again during the hold. The replica from before the first loss is
            // the more complete one and is kept.
            log::warn!("records lost again within the hold: {finding}");
            hold.kept.clear();
            hold.lost_cancellations.search_again();
            return;
        }
        log::warn!("data-loss hold begins, the state service lost records: {finding}");
        self.step_down("the state service lost records");
        self.cluster.renew_incarnation();
        self.ownership.on_hold_began();
        let token = replica_before_loss
            .token
            .as_ref()
            .map_or(0, |token| token.value);
        self.data_loss.hold = Some(Box::new(DataLossHold {
            finding,
            since: now,
            replica_before_loss,
            owned_before,
            kept: KeptRegions::new(token),
            lost_cancellations: LostCancellations::default(),
            incident: random_id(),
            record_acquisition: None,
        }));
    }

    /// Begins or ends a hold according to the hold's record.
    pub(super) fn apply_hold_record(&mut self) {
        if self.data_loss.detection.is_none() || !self.cluster.state_store.is_loaded() {
            return;
        }
        let Some(record) = &self.cluster.state_store.replica.data_loss_hold else {
            return;
        };
        let incident = record.value.incident;
        let is_accepted = record.value.accepted.is_some();
        let current = self.data_loss.hold.as_ref().map(|hold| hold.incident);
        match current {
            None if !is_accepted => {
                let finding = Finding::FoundByPeer {
                    by: record.value.by.clone(),
                    seen: record.value.seen.clone(),
                };
                self.begin_hold(finding);
                self.join_incident(incident);
            }
            Some(_) if !is_accepted => self.join_incident(incident),
            Some(current) if current == incident => self.end_hold(),
            // A process that starts soon after the decision delays task starts like the controllers
            // that were in the hold.
            None if self.cluster.starts_after.is_none() => {
                if self.is_decision_recent() {
                    self.delay_task_starts();
                } else {
                    self.cluster.starts_after = Some(0);
                }
            }
            _ => {}
        }
    }

    /// Sets the incident of the hold in force to the recorded one.
    fn join_incident(&mut self, incident: u64) {
        if let Some(hold) = &mut self.data_loss.hold {
            hold.incident = incident;
        }
    }

    fn end_hold(&mut self) {
        log::warn!("data-loss hold ends, operators decided to go on with the records there are");
        self.data_loss.hold = None;
        self.delay_task_starts();
        self.ownership.on_hold_ended();
    }

    /// Delays task starts after the operators' decision on lost records.
    ///
    /// Guards against starting a second copy of a task that runs on a machine whose record was
    /// lost: reconciliation doesn't wait for that machine. The controller that renewed the
    /// machine's lease during the hold continues until it reads the decision or loses its
    /// authority. One worker lease later, no task runs on the machine.
    fn delay_task_starts(&mut self) {
        if is_disabled(Safeguard::UnrecordedMachines) {
            return;
        }
        let authority = add_drift(self.cluster.settings.owner_lease_duration());
        let worker_lease = add_drift(self.cluster.settings.worker_lease);
        self.cluster.starts_after =
            Some(self.cluster.now + authority + worker_lease + AUTHORITY_MARGIN);
    }

    /// Maintains the hold's record and acquires regions. Returns the time of the next call.
    pub(super) fn manage_hold(&mut self) -> Micros {
        let next = self.cluster.now + MAX_STEP_INTERVAL;
        if !self.cluster.state_store.is_loaded() {
            return next;
        }
        self.commit_hold_record();
        self.announce_lost_cancellations();
        self.drop_lost_kept_regions();
        if self.has_undecided_hold_record() {
            for region in self.cluster.settings.regions() {
                self.acquire_region_in_hold(region);
            }
        }
        next
    }

    /// Whether there is a record of a hold without an operator's decision.
    fn has_undecided_hold_record(&self) -> bool {
        let record = self.cluster.state_store.replica.data_loss_hold.as_ref();
        record.is_some_and(|record| record.value.accepted.is_none())
    }

    fn commit_hold_record(&mut self) {
        let is_on_record = self.has_undecided_hold_record();
        let replica = &self.cluster.state_store.replica;
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        let acquisition = hold.record_acquisition;
        if is_on_record || acquisition.is_some_and(|a| a.is_pending(replica.revision)) {
            return;
        }
        let record = DataLossHoldRecord {
            incident: hold.incident,
            by: self.cluster.settings.name.clone(),
            at: self.net.wall_clock_now(),
            seen: hold.finding.to_string(),
            accepted: None,
        };
        let key = Key::DataLossHold;
        let transaction = Transaction {
            conditions: vec![(key.clone(), replica.version(&key))],
            changes: vec![(key, Some(value(&record)))],
            lease: None,
        };
        hold.record_acquisition = Some(Acquisition::Committing);
        let pending = PendingCommit::DataLossHoldRecord;
        self.commit(transaction, CommitPriority::Urgent, None, pending);
    }

    /// Handles the end of the commit of the hold's record.
    pub(super) fn on_hold_record_committed(&mut self, outcome: &CommitOutcome) {
        if let Some(hold) = &mut self.data_loss.hold {
            hold.record_acquisition = Some(Acquisition::after(outcome));
        }
    }
}
