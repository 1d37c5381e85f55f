//! Holding: the state service lost records, and operators have not decided yet.
//!
//! Regions are kept under the usual leases and fencing tokens, so that one controller answers
//! for each, and workers' leases are renewed. Nothing is started, reaped, rented or returned;
//! stopped are only tasks of jobs that are known to be cancelled. Users are told what is
//! final on record, and refused all else. The hold is on record, so that every controller keeps it,
//! after a restart too, until an operator's decision is put there. See docs/recovery.md.

use std::collections::BTreeMap;

use salttiller_records::record::DataLossHoldRecord;
use salttiller_records::units::add_drift;
use salttiller_recovery::{Finding, Reported};

use super::*;
use crate::state_store::replica::Replica;
use crate::status::conditions::Condition;
use crate::worker_protocol::{Command, Heartbeat, ReportedState};

/// Users come back after so many seconds.
const HELD_RETRY_S: u32 = 5;
/// The same while the records aren't proven after a start.
const UNPROVEN_RETRY_S: u32 = 1;
/// After an operator's decision workers may still report jobs without a record for so long:
/// their tasks are being stopped.
const LEFTOVERS: Micros = 600 * SECOND;
/// A lease that was noticed to be gone so short a time before a loss went with it.
const LEASE_WENT_WITH_RECORDS: Micros = SECOND;
/// Between attempts at transactions, which are paid for when they fail, too.
const ATTEMPT_GAP: Micros = 300 * MILLISECOND;
/// What clocks and answers under way may add to a former owner's authority.
const AUTHORITY_MARGIN: Micros = SECOND;

/// A region that is kept in a hold.
#[derive(Debug, Clone, Copy)]
struct RegionUnderHold {
    token: u64,
    /// From when on workers are answered.
    answers_from: Micros,
}

/// A hold.
#[derive(Debug)]
pub(super) struct DataLossHold {
    /// What was found.
    finding: Finding,
    /// When.
    since: Micros,
    /// The records as they were known before.
    remembered: Replica,
    /// Regions that were ours when it began.
    owned_before: BTreeSet<String>,
    regions: BTreeMap<String, RegionUnderHold>,
    claims: BTreeMap<String, Acquisition>,
    record_claim: Option<Acquisition>,
    /// The incident that this hold is part of; drawn here, or read.
    incident: u64,
    highest_token: u64,
    /// When to try next after a transaction whose conditions didn't hold.
    next_attempt: Micros,
}

impl<N: Net> Controller<N> {
    /// Begins to hold.
    pub(super) fn hold(&mut self, finding: Finding) {
        if self.detection.is_none() {
            return;
        }
        let owned_before = self.take_owned_before();
        // Also one that is told by the record reads all anew: its copy may be a mixture of
        // the lost history and changes of the one that took its place.
        let mut events = Vec::new();
        let remembered = self.registry.forget_history(&mut events);
        self.on_registry(events);
        if let Some(held) = &mut self.held {
            // Lost again while held: what was remembered first is the fuller.
            log::warn!("node: held: once more: {finding}");
            held.regions.clear();
            return;
        }
        log::warn!("node: held: the state service lost records: {finding}");
        self.step_down("records are lost");
        self.run = fastrand::u64(1..1 << 53);
        self.regions.clear();
        self.claims.clear();
        self.retake.clear();
        let highest_token = remembered.token.as_ref().map_or(0, |t| t.value);
        self.held = Some(Box::new(DataLossHold {
            finding,
            since: self.now,
            remembered,
            owned_before,
            regions: BTreeMap::new(),
            claims: BTreeMap::new(),
            record_claim: None,
            incident: fastrand::u64(1..1 << 53),
            highest_token,
            next_attempt: 0,
        }));
    }

    /// Regions that were ours until the loss. Its first sign may have been that the lease was
    /// gone with the rest.
    fn take_owned_before(&mut self) -> BTreeSet<String> {
        let mut owned: BTreeSet<String> = self.regions.keys().cloned().collect();
        let (now, lost) = (self.now, self.lost_with_lease.take());
        if let Some((_, names)) = lost.filter(|(at, _)| now < at + LEASE_WENT_WITH_RECORDS) {
            owned.extend(names);
        }
        owned
    }

    /// Whether every controller has put on record that it holds, too: no former owner is left
    /// that could act. A process that starts anew reads the hold's record first.
    fn all_hold(&self, incident: u64) -> bool {
        let regions = &self.registry.replica.regions;
        self.settings.regions().iter().all(|name| {
            let record = regions.get(name).map(|r| &r.value);
            record.is_some_and(|r| r.owner == *name && r.data_loss_incident == Some(incident))
        })
    }

    /// Whether this controller holds.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Begins or ends a hold as the record of it says.
    pub(super) fn heed_hold_record(&mut self) {
        if self.detection.is_none() || !self.registry.is_loaded() {
            return;
        }
        let Some(record) = self
            .registry
            .replica
            .data_loss_hold
            .as_ref()
            .map(|v| &v.value)
        else {
            return;
        };
        let (incident, accepted) = (record.incident, record.accepted.is_some());
        match &mut self.held {
            None if !accepted => {
                let finding = Finding::OnRecord {
                    by: record.by.clone(),
                    seen: record.seen.clone(),
                };
                self.hold(finding);
                if let Some(held) = &mut self.held {
                    held.incident = incident;
                }
            }
            Some(held) if !accepted => held.incident = incident,
            Some(held) if held.incident == incident => self.release_hold(),
            // A process that starts anew soon after the decision waits as those did that held.
            None if self.starts_after.is_none() => {
                if self.has_leftovers() {
                    self.wait_for_unrecorded_machines();
                } else {
                    self.starts_after = Some(0);
                }
            }
            _ => {}
        }
    }

    fn release_hold(&mut self) {
        log::warn!("node: held: operators decided to go on with the records that there are");
        self.held = None;
        self.wait_for_unrecorded_machines();
        // Regions that were kept are ours on record, and are recovered as after a takeover.
        self.claims.clear();
    }

    /// Guards against starting a task that is on a machine whose record was lost: nobody would
    /// wait for that machine. Whoever renewed its lease in the hold does so until it reads
    /// the decision or loses its authority; a lease later the machine is surely empty.
    fn wait_for_unrecorded_machines(&mut self) {
        if is_disabled(Safeguard::UnrecordedMachines) {
            return;
        }
        let authority = add_drift(self.settings.owner_lease_life());
        let lease = add_drift(self.settings.lease);
        self.starts_after = Some(self.now + authority + lease + AUTHORITY_MARGIN);
    }

    /// Whether a decision after lost records keeps tasks from starting yet.
    pub(super) fn waits_after_decision(&self) -> bool {
        self.starts_after.is_some_and(|at| self.now < at)
    }

    /// What operators are told.
    pub(super) fn records_lost(&self) -> Option<Condition> {
        let held = self.held.as_ref()?;
        let seen = held.finding.to_string();
        Some(Condition::RecordsLost { seen })
    }

    /// Keeps the hold on record and its regions owned; returns when to look again.
    pub(super) fn manage_hold(&mut self) -> Micros {
        let until = self.now + SECOND;
        if !self.registry.is_loaded() {
            return until;
        }
        self.put_hold_on_record();
        self.drop_lost_regions();
        let on_record = self.registry.replica.data_loss_hold.as_ref();
        if on_record.is_none_or(|r| r.value.accepted.is_some()) {
            return until;
        }
        for name in self.settings.regions() {
            self.keep_region(name);
        }
        until
    }

    fn put_hold_on_record(&mut self) {
        let replica = &self.registry.replica;
        let Some(held) = &mut self.held else { return };
        let standing = replica.data_loss_hold.as_ref();
        let claim = held.record_claim;
        let is_pending = claim.is_some_and(|c| c.is_pending(replica.revision));
        if is_pending || standing.is_some_and(|r| r.value.accepted.is_none()) {
            return;
        }
        let record = DataLossHoldRecord {
            incident: held.incident,
            by: self.settings.name.clone(),
            at: self.reactor.wall(),
            seen: held.finding.to_string(),
            accepted: None,
        };
        let txn = Transaction {
            conditions: vec![(Key::DataLossHold, replica.version(&Key::DataLossHold))],
            changes: vec![(Key::DataLossHold, Some(value(&record)))],
            lease: None,
        };
        held.record_claim = Some(Acquisition::Committing);
        let ticket = self.registry.commit(txn, CommitPriority::Urgent, None);
        self.tickets
            .insert(ticket, PendingCommit::DataLossHoldRecord);
    }

    /// The commit of the hold's record ended.
    pub(super) fn on_hold_record_committed(&mut self, looking: Acquisition) {
        if let Some(held) = &mut self.held {
            held.record_claim = Some(looking);
        }
    }

    /// Regions that are no longer ours on record are answered for no more.
    fn drop_lost_regions(&mut self) {
        let (replica, run) = (&self.registry.replica, self.run);
        let Some(held) = &mut self.held else { return };
        held.regions.retain(|name, region| {
            let record = replica.regions.get(name).map(|r| &r.value);
            record.is_some_and(|r| r.run == run && r.token == region.token)
        });
    }

    /// Takes a region if it is ours to take, under a token above all that were seen.
    fn keep_region(&mut self, name: String) {
        let home = name == self.settings.name;
        let (now, replica) = (self.now, &self.registry.replica);
        let record = replica.regions.get(&name).map(|r| &r.value);
        let is_taken = record.is_some_and(|r| r.owner != self.settings.name);
        let Some(held) = &mut self.held else { return };
        let claim = held.claims.get(&name);
        let is_pending = claim.is_some_and(|c| c.is_pending(replica.revision));
        let waits = is_pending || now < held.next_attempt;
        if held.regions.contains_key(&name) || waits || is_taken {
            return;
        }
        let absent_since = *self.absent.entry(name.clone()).or_insert(now);
        if !home && now < absent_since + HOME_FIRST {
            return;
        }
        let Some(lease) = self.registry.lease_id(LeaseRole::Owner) else {
            return;
        };
        let recorded = replica.token.as_ref().map_or(0, |t| t.value);
        let token = if is_disabled(Safeguard::SufficientToken) {
            recorded + 1
        } else {
            recorded.max(held.highest_token) + 1
        };
        log::info!("node: held: region {name}: taking, token {token}");
        held.claims.insert(name.clone(), Acquisition::Committing);
        let incident = held.incident;
        let txn = self.taking(&name, token, Some(incident), lease);
        let ticket = self.registry.commit(txn, CommitPriority::Urgent, None);
        let region = name;
        self.tickets
            .insert(ticket, PendingCommit::HoldRegion { region, token });
    }

    /// The commit that takes a region ended.
    pub(super) fn on_hold_region_committed(
        &mut self,
        region: String,
        token: u64,
        outcome: &CommitOutcome,
        looking: Acquisition,
    ) {
        let former_owner_ends = add_drift(self.settings.owner_lease_life()) + AUTHORITY_MARGIN;
        let Some(held) = &mut self.held else { return };
        held.claims.insert(region.clone(), looking);
        if !matches!(outcome, CommitOutcome::Committed(_)) {
            held.next_attempt = self.now + ATTEMPT_GAP;
            if matches!(outcome, CommitOutcome::Refused) {
                // The lease went in a further loss, before its renewal would show that.
                self.registry.release_lease(LeaseRole::Owner);
                self.registry.request_lease(LeaseRole::Owner);
            }
            return;
        }
        self.absent.remove(&region);
        // Guards against renewing leases while a former owner that has not noticed the loss
        // counts the machine as empty and starts its tasks elsewhere.
        let was_ours = held.owned_before.contains(&region);
        let answers_from = if was_ours {
            self.now
        } else {
            held.since + former_owner_ends
        };
        let kept = RegionUnderHold {
            token,
            answers_from,
        };
        held.regions.insert(region, kept);
    }

    /// Renews a worker's lease, if this controller keeps its region.
    pub(super) fn on_report_while_held(&mut self, conn: ConnId, report: &Heartbeat) {
        let home = self.settings.name.clone();
        let authority = self.authority();
        let Some(incident) = self.held.as_ref().map(|h| h.incident) else {
            return;
        };
        let all_hold = self.all_hold(incident);
        let Some(held) = &mut self.held else { return };
        held.highest_token = held.highest_token.max(report.token);
        let replica = &self.registry.replica;
        let known = replica.machines.get(&report.machine);
        let known = known.or_else(|| held.remembered.machines.get(&report.machine));
        // Of a machine that nobody knows any controller may renew the lease: none commands it.
        let region = known.map_or_else(|| home.clone(), |m| m.value.region.clone());
        let Some(kept) = held.regions.get(&region).copied() else {
            let owner = replica.regions.get(&region).map(|r| r.value.owner.clone());
            let owner = owner.filter(|o| *o != home);
            let body = worker_protocol::elsewhere(owner.as_deref());
            return self.reactor.respond(conn, Response::new(421, body));
        };
        if report.token > kept.token && !is_disabled(Safeguard::SufficientToken) {
            // Taken anew under a token that this worker takes answers with.
            held.regions.remove(&region);
        } else if authority && (all_hold || self.now >= kept.answers_from) {
            let commands = self.stops_of_cancelled(report);
            let body = worker_protocol::answer(kept.token, &commands);
            return self.reactor.respond(conn, Response::new(200, body));
        }
        self.refuse(conn, 503, 1);
    }

    /// Stops that a rule demands: tasks of jobs that are known to be cancelled.
    fn stops_of_cancelled(&self, report: &Heartbeat) -> Vec<Command> {
        let on_machine = report
            .tasks
            .iter()
            .filter(|t| !matches!(t.stage, ReportedState::Ended(_)));
        on_machine
            .filter(|t| self.is_known_cancelled(&t.job))
            .take(worker_protocol::MAX_COMMANDS)
            .map(|t| Command::stop(t.job.clone(), t.task, t.attempt, 0))
            .collect()
    }

    fn is_known_cancelled(&self, job: &str) -> bool {
        let remembered = self.held.as_ref().and_then(|h| h.remembered.stage(job));
        [remembered, self.registry.replica.stage(job)].contains(&Some(JobStage::Cancelled))
            || self.reported_cancelled.contains(job)
    }

    /// The final stage of a job on record. Users aren't told what is only remembered: should
    /// operators go on without it, they would be told something else later.
    fn recorded_final_stage(&self, job: &str) -> Option<JobStage> {
        let stage = self.registry.replica.stage(job);
        stage.filter(|stage| *stage != JobStage::Open)
    }

    /// Whether a user's request about a job is answered here and now, with its final stage or
    /// a refusal: in a hold, and after a start until workers had the time to speak against the
    /// records. Until then a job may be missing, or stand as in an older copy.
    pub(super) fn withholds(&mut self, conn: ConnId, job: &str) -> bool {
        let Some(detection) = &self.detection else {
            return false;
        };
        let is_proven = detection.is_proven(self.now) || is_disabled(Safeguard::ProvenStart);
        let retry_after = match &self.held {
            None if is_proven => return false,
            None => UNPROVEN_RETRY_S,
            Some(_) => HELD_RETRY_S,
        };
        match self.recorded_final_stage(job) {
            Some(stage) => {
                let body = admission::state_body(job, stage, None);
                self.reactor.respond(conn, Response::new(200, body));
            }
            None => self.refuse(conn, 503, retry_after),
        }
        true
    }

    /// Whether a report speaks against the records as they are known here. A read that begins
    /// now tells; until then the report is not acted on.
    pub(super) fn speaks_against_records(&mut self, report: &Heartbeat) -> bool {
        if is_disabled(Safeguard::ReportEvidence) {
            return false;
        }
        let leftovers = self.has_leftovers();
        let Some(detection) = &mut self.detection else {
            return false;
        };
        let replica = &self.registry.replica;
        let has_record = |job: &str| leftovers || replica.jobs.contains_key(job);
        let unknown_job = report.tasks.iter().find(|t| !has_record(&t.job));
        let reported = Reported {
            machine: &report.machine,
            token: report.token,
            recorded_token: replica.token.as_ref().map_or(0, |t| t.value),
            unknown_job: unknown_job.map(|t| &*t.job),
        };
        let speaks = detection.look_at(reported, self.now);
        if speaks {
            self.registry.request_barrier();
        }
        speaks
    }

    /// Whether operators decided a short while ago to go on without what was lost.
    fn has_leftovers(&self) -> bool {
        let hold = self.registry.replica.data_loss_hold.as_ref();
        let accepted = hold.and_then(|h| h.value.accepted.as_ref());
        accepted.is_some_and(|a| self.reactor.wall() < a.at + LEFTOVERS)
    }

    /// A read is complete: what speaks against the records now is a finding.
    pub(super) fn on_barrier_for_detection(&mut self, sent: Micros) {
        let replica = &self.registry.replica;
        let Some(detection) = &mut self.detection else {
            return;
        };
        let recorded = replica.token.as_ref().map_or(0, |t| t.value);
        let finding = detection.on_read(sent, recorded, |job| replica.jobs.contains_key(job));
        if let Some(finding) = finding.filter(|_| self.held.is_none()) {
            self.hold(finding);
        }
    }
}
