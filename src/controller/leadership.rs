//! Leadership: acquiring and losing it, and executing the leader's decisions.
//!
//! | state | represented by | left when |
//! | --- | --- | --- |
//! | follower | another holder on record | the holder's record is removed together with its lease |
//! | waiting to be candidate | `candidacy_at` | the time is reached, or another holder is on record |
//! | candidate | [`Acquisition`] | the commit has ended and the replica has caught up |
//! | leader | a [`Leader`] whose version is that of the record | the record changes, or the lease or records are lost |
//!
//! Each transaction of the leader is fenced by the version of the leader's record. [`Leader`]
//! makes the decisions; this module executes them.

use std::ops::Range;

use salttiller_records::key::Key;
use salttiller_records::record::{value, LeaderRecord};
use salttiller_records::units::{Micros, MILLISECOND};

use super::cluster_state::RecordedHolder;
use super::commits::PendingCommit;
use super::region_ownership::Acquisition;
use super::{Controller, MAX_STEP_INTERVAL};
use crate::leader::{self, Leader};
use crate::peer_protocol::{self, Message};
use crate::reactor::Net;
use crate::state_store::{CommitOutcome, CommitPriority, LeaseRole, Transaction};

/// Random delay before a controller tries to become leader, so that the controllers don't all try
/// at the same time.
const CANDIDACY_DELAY: Range<Micros> = 20 * MILLISECOND..300 * MILLISECOND;

/// State of this controller's leadership or candidacy.
#[derive(Default)]
pub(super) struct Leadership {
    leader: Option<Leader>,
    acquisition: Option<Acquisition>,
    candidacy_at: Option<Micros>,
}

impl Leadership {
    /// Whether this controller is the leader.
    pub(super) fn is_leading(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the leader's state, if this controller is the leader.
    pub(super) fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the leader's state, if this controller is the leader.
    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// Handles the end of the commit of the leader's record.
    pub(super) fn on_acquisition_committed(&mut self, outcome: &CommitOutcome) {
        self.acquisition = Some(Acquisition::after(outcome));
    }

    /// Handles the end of the commit of a leader's decision. `keys` are the keys of the changed
    /// records.
    pub(super) fn on_decision_committed(
        &mut self,
        keys: &[Key],
        outcome: &CommitOutcome,
        now: Micros,
    ) {
        let is_committed = outcome.is_committed();
        if let Some(leader) = &mut self.leader {
            leader.on_commit_finished(keys, is_committed, now);
        }
    }

    /// Whether the candidacy is due. The first call draws its time.
    fn is_candidacy_due(&mut self, now: Micros) -> bool {
        let at = self
            .candidacy_at
            .get_or_insert_with(|| now + fastrand::u64(CANDIDACY_DELAY));
        now >= *at
    }
}

impl<N: Net> Controller<N> {
    /// Stops being the leader. Does nothing if this controller is not the leader.
    pub(super) fn step_down(&mut self, reason: &str) {
        if self.leadership.leader.take().is_some() {
            log::info!("stepping down as leader: {reason}");
            self.cloud_client.cancel_unsent_rentals();
        }
    }

    /// Acquires leadership if that is due, and steps down if leadership was lost.
    pub(super) fn manage_leadership(&mut self) {
        if !self.cluster.state_store.is_loaded() {
            return;
        }
        let (version, recorded) = self.leader_record();
        let is_superseded = |leader: &Leader| {
            recorded != RecordedHolder::ThisIncarnation || leader.term_version() != version
        };
        if self.leadership.leader().is_some_and(is_superseded) {
            self.step_down("another leader is on record");
        }
        let revision = self.cluster.state_store.replica.revision;
        let acquisition = self.leadership.acquisition;
        if acquisition.is_some_and(|a| a.is_pending(revision)) {
            return;
        }
        self.leadership.acquisition = None;
        match recorded {
            RecordedHolder::ThisIncarnation => self.start_term(version),
            RecordedHolder::OtherController => self.become_follower(true),
            RecordedHolder::Nobody | RecordedHolder::FormerIncarnation => {
                if self.cluster.is_fresh() {
                    self.try_acquire_leadership(version);
                } else {
                    self.become_follower(recorded != RecordedHolder::Nobody);
                }
            }
        }
    }

    /// Returns the version of the leader's record (0 if there is none) and the holder that it
    /// names.
    fn leader_record(&self) -> (u64, RecordedHolder) {
        let Some(record) = &self.cluster.state_store.replica.leader else {
            return (0, RecordedHolder::Nobody);
        };
        let leader = &record.value;
        (
            record.version,
            self.cluster.holder(&leader.holder, leader.run),
        )
    }

    /// Starts a term, because the leader's record names this controller. Does nothing during a
    /// term or without a valid leader lease.
    fn start_term(&mut self, version: u64) {
        let leader_until = self.cluster.state_store.leader_until();
        if self.leadership.is_leading() || self.cluster.now >= leader_until {
            return;
        }
        log::info!("leading since revision {version}");
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        self.leadership.leader = Some(Leader::new(version, &context));
    }

    /// Cancels the candidacy. If a leader is on record, also releases this controller's own leader
    /// lease, which is then useless.
    fn become_follower(&mut self, has_recorded_leader: bool) {
        self.leadership.candidacy_at = None;
        let state_store = &mut self.cluster.state_store;
        if has_recorded_leader && state_store.lease_id(LeaseRole::Leader).is_some() {
            state_store.release_lease(LeaseRole::Leader);
        }
    }

    /// Commits the leader's record, once the random delay is over and the lease is held.
    fn try_acquire_leadership(&mut self, version: u64) {
        if !self.leadership.is_candidacy_due(self.cluster.now) {
            return;
        }
        self.cluster.state_store.request_lease(LeaseRole::Leader);
        let Some(lease) = self.cluster.state_store.lease_id(LeaseRole::Leader) else {
            return;
        };
        let record = LeaderRecord {
            holder: self.cluster.settings.name.clone(),
            run: self.cluster.incarnation(),
        };
        let transaction = Transaction {
            conditions: vec![(Key::Leader, version)],
            changes: vec![(Key::Leader, Some(value(&record)))],
            lease: Some((Key::Leader, lease)),
        };
        self.leadership.acquisition = Some(Acquisition::Committing);
        let pending = PendingCommit::LeaderRecord;
        self.commit(transaction, CommitPriority::Urgent, None, pending);
    }

    /// Runs the leader, if this controller is the leader, and executes its actions. Returns the
    /// time of the next call.
    pub(super) fn run_leader(&mut self) -> Micros {
        let next = self.cluster.now + MAX_STEP_INTERVAL;
        if self.cluster.now >= self.cluster.state_store.leader_until() {
            return next;
        }
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let Some(leader) = self.leadership.leader_mut() else {
            return next;
        };
        let reports = self.cluster.region_reports.latest();
        let next = next.min(leader.tick(&context, reports, &mut self.cloud_client));
        for action in leader.take_actions() {
            match action {
                leader::Action::Commit {
                    transaction,
                    priority,
                    keys,
                } => {
                    let pending = PendingCommit::LeaderDecision { keys };
                    self.commit(transaction, priority, None, pending);
                }
                leader::Action::Send(message) => self.send_to_owner(message),
            }
        }
        next
    }

    /// Sends a decision of the leader to the owner of the affected region, which may be this
    /// controller.
    fn send_to_owner(&mut self, message: Message) {
        let (Message::RebindTasks { from: region, .. }
        | Message::CordonMachines { region, .. }
        | Message::StartGang { region, .. }) = &message
        else {
            return;
        };
        if self.ownership.owns(region) {
            return self.on_message(message);
        }
        let owner = self.cluster.recorded_owner(region);
        if let Some(peer) = owner.and_then(|owner| self.cluster.peer_index(owner)) {
            self.net.send(peer, &peer_protocol::encode(&message));
        }
    }
}
