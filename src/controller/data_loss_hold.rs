//! Data-loss hold: the state service lost records, and operators have not decided yet.
//!
//! Regions are kept under the usual leases and fencing tokens, so that one controller is
//! responsible for each, and workers' leases are renewed. Nothing is started, reaped, rented or
//! returned; only tasks of jobs that are known to be cancelled are stopped. Users are answered
//! with what is final on record, and refused all else. The hold is itself on record, so that
//! every controller keeps it, after a restart too, until an operator's decision is put there.
//! See docs/recovery.md.
//!
//! This module begins and ends the hold and keeps its record. `kept_regions` acquires regions
//! within it, `requests` answers workers and users, `evidence` finds that records are lost.

mod evidence;
mod kept_regions;
mod requests;

use std::collections::BTreeSet;

use salttiller_records::key::Key;
use salttiller_records::record::{value, DataLossHoldRecord};
use salttiller_records::units::{add_drift, Micros, SECOND};
use salttiller_recovery::{Detection, Finding};

use super::cluster_state::random_incarnation;
use super::commits::PendingCommit;
use super::region_ownership::Acquisition;
use super::{Controller, MAX_STEP_INTERVAL};
use crate::alerts::conditions::Condition;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::Net;
use crate::state_store::replica::Replica;
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};
use kept_regions::KeptRegions;

/// What clocks and answers in transit may add to a former owner's authority.
const AUTHORITY_MARGIN: Micros = SECOND;

/// A hold in force.
#[derive(Debug)]
struct DataLossHold {
    finding: Finding,
    since: Micros,
    /// The records as they were known before.
    remembered: Replica,
    /// Regions that this controller owned when the hold began.
    owned_before: BTreeSet<String>,
    kept: KeptRegions,
    /// The incident that this hold is part of; drawn here, or read from the record.
    incident: u64,
    /// The acquisition of the hold's record.
    record_acquisition: Option<Acquisition>,
}

/// Detection of lost records, and the hold that follows it.
#[derive(Debug, Default)]
pub(super) struct DataLossProtection {
    /// `None` if it is disabled in the settings.
    detection: Option<Detection>,
    hold: Option<Box<DataLossHold>>,
}

impl DataLossProtection {
    /// Starts the detection of lost records; `heartbeat_interval` is that of the workers.
    pub(super) fn start_detection(&mut self, now: Micros, heartbeat_interval: Micros) {
        self.detection = Some(Detection::starting(now, heartbeat_interval));
    }

    /// Whether a hold is in force.
    pub(super) fn is_held(&self) -> bool {
        self.hold.is_some()
    }

    /// The condition that operators are alerted to, if a hold is in force.
    pub(super) fn condition(&self) -> Option<Condition> {
        let hold = self.hold.as_ref()?;
        let seen = hold.finding.to_string();
        Some(Condition::DataLoss { seen })
    }
}

impl<N: Net> Controller<N> {
    /// Begins a hold, if detection is enabled.
    pub(super) fn begin_hold(&mut self, finding: Finding) {
        if self.data_loss.detection.is_none() {
            return;
        }
        let now = self.cluster.now;
        let owned_before = self.ownership.take_owned_before_loss(now);
        // Also a controller that learns of it from the record reads all anew: its replica may be
        // a mixture of the lost history and changes of the one that took its place.
        let mut events = Vec::new();
        let remembered = self.cluster.state_store.forget_history(&mut events);
        self.on_state_store_events(events);
        if let Some(hold) = &mut self.data_loss.hold {
            // Lost again within the hold: what was remembered first is the fuller.
            log::warn!("records lost again within the hold: {finding}");
            hold.kept.clear();
            return;
        }
        log::warn!("data-loss hold begins, the state service lost records: {finding}");
        self.step_down("records are lost");
        self.cluster.renew_incarnation();
        self.ownership.on_hold_began();
        let token = remembered.token.as_ref().map_or(0, |token| token.value);
        self.data_loss.hold = Some(Box::new(DataLossHold {
            finding,
            since: now,
            remembered,
            owned_before,
            kept: KeptRegions::new(token),
            incident: random_incarnation(),
            record_acquisition: None,
        }));
    }

    /// Begins or ends a hold as its record requires.
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
            // A process that starts soon after the decision waits as those did that held.
            None if self.cluster.starts_after.is_none() => {
                if self.is_decision_recent() {
                    self.wait_for_unrecorded_machines();
                } else {
                    self.cluster.starts_after = Some(0);
                }
            }
            _ => {}
        }
    }

    /// The hold in force is part of the incident on record.
    fn join_incident(&mut self, incident: u64) {
        if let Some(hold) = &mut self.data_loss.hold {
            hold.incident = incident;
        }
    }

    fn end_hold(&mut self) {
        log::warn!("data-loss hold ends, operators decided to go on with the records there are");
        self.data_loss.hold = None;
        self.wait_for_unrecorded_machines();
        self.ownership.on_hold_ended();
    }

    /// Guards against starting a task that is on a machine whose record was lost: nobody would
    /// wait for that machine. Whoever renewed its lease in the hold does so until it reads
    /// the decision or loses its authority; a lease later the machine is surely empty.
    fn wait_for_unrecorded_machines(&mut self) {
        if is_disabled(Safeguard::UnrecordedMachines) {
            return;
        }
        let authority = add_drift(self.cluster.settings.owner_lease_life());
        let worker_lease = add_drift(self.cluster.settings.worker_lease);
        self.cluster.starts_after =
            Some(self.cluster.now + authority + worker_lease + AUTHORITY_MARGIN);
    }

    /// Keeps the hold on record and its regions owned; returns when to do so again.
    pub(super) fn manage_hold(&mut self) -> Micros {
        let next = self.cluster.now + MAX_STEP_INTERVAL;
        if !self.cluster.state_store.is_loaded() {
            return next;
        }
        self.put_hold_on_record();
        self.drop_lost_kept_regions();
        if self.is_hold_on_record() {
            for region in self.cluster.settings.regions() {
                self.keep_region(region);
            }
        }
        next
    }

    /// Whether there is a record of a hold that operators have not decided on.
    fn is_hold_on_record(&self) -> bool {
        let record = self.cluster.state_store.replica.data_loss_hold.as_ref();
        record.is_some_and(|record| record.value.accepted.is_none())
    }

    fn put_hold_on_record(&mut self) {
        let is_on_record = self.is_hold_on_record();
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
            at: self.net.wall(),
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

    /// The commit of the hold's record ended.
    pub(super) fn on_hold_record_committed(&mut self, outcome: &CommitOutcome) {
        if let Some(hold) = &mut self.data_loss.hold {
            hold.record_acquisition = Some(Acquisition::after(outcome));
        }
    }
}
