//! Dispatch of the events of the state service's client: changed records, completed reads, ended
//! commits, lost leases and lost records.

use salttiller_records::key::Key;
use salttiller_records::record::JobStage;

use super::Controller;
use crate::reactor::Net;
use crate::region::{Region, SchedulingContext};
use crate::state_store::StateStoreEvent;

impl<N: Net> Controller<N> {
    /// Handles events in order and records the latencies of commits.
    pub(super) fn on_state_store_events(&mut self, events: Vec<StateStoreEvent>) {
        for event in events {
            self.on_state_store_event(event);
        }
        let now = self.cluster.now;
        for latency in self.cluster.state_store.take_commit_latencies() {
            self.client_requests.record_latency(latency, now);
        }
    }

    fn on_state_store_event(&mut self, event: StateStoreEvent) {
        let now = self.cluster.now;
        match event {
            StateStoreEvent::Loaded => self.on_loaded(),
            StateStoreEvent::Changed(keys) => self.on_changed(keys),
            StateStoreEvent::BarrierCompleted { sent_at: sent } => {
                self.client_requests.record_latency(now - sent, now);
                self.check_evidence_of_loss(sent);
                self.answer_pending_requests(sent);
            }
            StateStoreEvent::BarrierFailed { sent_at: sent } => self.refuse_pending_requests(sent),
            StateStoreEvent::CommitEnded { ticket, outcome } => self.on_committed(ticket, &outcome),
            StateStoreEvent::OwnerLeaseLost => {
                // The replica may still show records of this controller that are no longer
                // valid. Under a new incarnation they can only be acquired again by
                // compare-and-swap, never resumed.
                self.cluster.renew_incarnation();
                self.ownership.on_lease_lost(now);
            }
            StateStoreEvent::LeaderLeaseLost => self.step_down("the leader lease is lost"),
            StateStoreEvent::RecordsLost(finding) => self.begin_hold(finding),
        }
    }

    /// Handles a complete reload of the replica.
    fn on_loaded(&mut self) {
        let replica = &mut self.cluster.state_store.replica;
        replica.take_changed_machines();
        self.cluster.cancellations.retain_unrecorded(replica);
        replica.take_changed_specs();
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        for region in self.ownership.regions_mut() {
            region.on_replica_reloaded(&context);
        }
    }

    /// Continues the propagation of cancellations along dependencies if it was too long for one
    /// step. Returns whether there was a propagation to continue.
    pub(super) fn continue_propagation(&mut self) -> bool {
        let replica = &mut self.cluster.state_store.replica;
        if !replica.has_unpropagated() {
            return false;
        }
        replica.continue_propagation();
        self.on_changed(Vec::new());
        true
    }

    /// Handles changed records.
    fn on_changed(&mut self, keys: Vec<Key>) {
        let replica = &mut self.cluster.state_store.replica;
        let machines = replica.take_changed_machines();
        let respecified_jobs = replica.take_changed_specs();
        self.on_machines_changed(&machines);
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        for job in &respecified_jobs {
            for region in self.ownership.regions_mut() {
                region.on_job(job, &context);
            }
        }
        for key in &keys {
            for region in self.ownership.regions_mut() {
                on_record_changed(region, key, &context);
            }
        }
        for key in &keys {
            if let Key::Job(job) = key {
                let record = self.cluster.state_store.replica.jobs.get(job);
                if record.is_some_and(|r| r.value.stage != JobStage::Open) {
                    self.cluster.cancellations.remove(job);
                }
            }
        }
    }

    fn on_machines_changed(&mut self, machines: &[String]) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        for machine in machines {
            for region in self.ownership.regions_mut() {
                region.on_machine(machine, &context);
            }
            if !context.replica.machines.contains_key(machine) {
                if let Some(leader) = self.leadership.leader_mut() {
                    leader.on_machine_removed(machine, context.now);
                }
            }
        }
    }
}

/// Applies a changed record to an owned region. Changed machines are applied separately by
/// `on_machines_changed`; ownership records are read in each step.
fn on_record_changed(region: &mut Region, key: &Key, context: &SchedulingContext<'_>) {
    match key {
        Key::Job(job) => region.on_job(job, context),
        Key::Quota(team) => region.on_quota(team),
        Key::MachineType(_) => region.on_machine_types_changed(context),
        Key::Progress(job, ..) => region.on_progress(job, context),
        Key::Region(_) | Key::Leader | Key::Token | Key::DataLossHold => {}
        Key::Machine(_) | Key::MachineBatch(_) | Key::Activation(..) => {}
    }
}
