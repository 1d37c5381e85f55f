//! Leadership: acquiring it, losing it, and carrying out what the leader decides.
//!
//! | state | represented by | left when |
//! | --- | --- | --- |
//! | follower | another holder on record | its record goes with its lease |
//! | waiting to be candidate | `candidacy_at` | that time has come, or another holder is on record |
//! | candidate | [`Acquisition`] | the commit ended and the replica caught up |
//! | leader | a [`Leader`] whose version is that of the record | the record changes, the lease or records are lost |
//!
//! The leader is fenced by its record's version in each transaction. `Leader` decides; this
//! module only sends what it decides.

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

/// How long a controller waits at random before it tries to become leader, so that not all try
/// at once.
const CANDIDACY_DELAY: Range<Micros> = 20 * MILLISECOND..300 * MILLISECOND;

/// Whether this controller leads, or is about to.
#[derive(Default)]
pub(super) struct Leadership {
    leader: Option<Leader>,
    acquisition: Option<Acquisition>,
    candidacy_at: Option<Micros>,
}

impl Leadership {
    /// Whether this controller leads.
    pub(super) fn is_leading(&self) -> bool {
        self.leader.is_some()
    }

    /// The leader, if this controller is it.
    pub(super) fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The leader, if this controller is it.
    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// The commit of the leader's record ended.
    pub(super) fn on_acquisition_committed(&mut self, outcome: &CommitOutcome) {
        self.acquisition = Some(Acquisition::after(outcome));
    }

    /// The commit of something that the leader decided ended; the keys name what it concerns.
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

    /// Whether the candidacy is due; its time is drawn at the first call.
    fn is_candidacy_due(&mut self, now: Micros) -> bool {
        let at = self
            .candidacy_at
            .get_or_insert_with(|| now + fastrand::u64(CANDIDACY_DELAY));
        now >= *at
    }
}

impl<N: Net> Controller<N> {
    /// Stops leading, if this controller does.
    pub(super) fn step_down(&mut self, reason: &str) {
        if self.leadership.leader.take().is_some() {
            log::info!("stepping down as leader: {reason}");
            self.cloud_client.cancel_unsent_rentals();
        }
    }

    /// Acquires leadership where that is due, and steps down if it was lost.
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
            RecordedHolder::ThisIncarnation => self.enter_leading(version),
            RecordedHolder::OtherController => self.follow(true),
            RecordedHolder::Nobody | RecordedHolder::FormerIncarnation => {
                if self.cluster.is_fresh() {
                    self.stand_as_candidate(version);
                } else {
                    self.follow(recorded != RecordedHolder::Nobody);
                }
            }
        }
    }

    /// The version of the leader's record (0 if there is none) and whom it names.
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

    /// This controller is leader on record.
    fn enter_leading(&mut self, version: u64) {
        let leader_until = self.cluster.state_store.leader_until();
        if self.leadership.is_leading() || self.cluster.now >= leader_until {
            return;
        }
        log::info!("leading since revision {version}");
        let context = self.cluster.scheduling_context(self.net.wall());
        self.leadership.leader = Some(Leader::new(version, &context));
    }

    /// This controller can't be leader now; its own lease for that is of no use if a leader is
    /// on record.
    fn follow(&mut self, has_recorded_leader: bool) {
        self.leadership.candidacy_at = None;
        let state_store = &mut self.cluster.state_store;
        if has_recorded_leader && state_store.lease_id(LeaseRole::Leader).is_some() {
            state_store.release_lease(LeaseRole::Leader);
        }
    }

    /// Tries to become leader, once the random delay is over and the lease is held.
    fn stand_as_candidate(&mut self, version: u64) {
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

    /// Runs the leader, if this controller is it, and carries out its actions; returns when to
    /// run it again.
    pub(super) fn run_leader(&mut self) -> Micros {
        let next = self.cluster.now + MAX_STEP_INTERVAL;
        if self.cluster.now >= self.cluster.state_store.leader_until() {
            return next;
        }
        let context = self.cluster.scheduling_context(self.net.wall());
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

    /// Sends a decision of the leader to the owner of the region that it concerns, which may be
    /// this controller.
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
