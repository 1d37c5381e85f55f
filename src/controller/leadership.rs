//! Becoming the leader, ceasing to be it, and carrying out what it plans.

use super::*;

impl<N: Net> Controller<N> {
    pub(super) fn step_down(&mut self, why: &str) {
        if self.leader.take().is_some() {
            log::info!("node: leader: no more, {why}");
            self.cloud_client.cancel_unsent_rentals();
        }
    }

    pub(super) fn manage_leader(&mut self) {
        if !self.registry.loaded() {
            return;
        }
        let rec = self.registry.replica.leader.as_ref();
        let (version, rec) = match rec {
            Some(r) => (r.version, Some(r.value.clone())),
            None => (0, None),
        };
        let ours = rec
            .as_ref()
            .is_some_and(|r| r.holder == self.settings.name && self.is_this_run(r.run));
        if self
            .leader
            .as_ref()
            .is_some_and(|l| !ours || l.version != version)
        {
            self.step_down("another is on record");
        }
        let revision = self.registry.replica.revision;
        if self.lead_claim.is_some_and(|c| c.is_pending(revision)) {
            return;
        }
        self.lead_claim = None;
        if ours {
            if self.leader.is_none() && self.now < self.registry.leader_until() {
                log::info!("node: leader: since revision {version}");
                let context = context!(self);
                self.leader = Some(Leader::new(version, &context));
            }
            return;
        }
        let stale_self = rec.as_ref().is_some_and(|r| r.holder == self.settings.name);
        if (rec.is_some() && !stale_self) || !self.fresh() {
            self.lead_at = None;
            if rec.is_some() && self.registry.lease_id(LeaseRole::Leader).is_some() {
                self.registry.drop_lease(LeaseRole::Leader);
            }
            return;
        }
        let now = self.now;
        let at = *self
            .lead_at
            .get_or_insert_with(|| now + fastrand::u64(20 * MILLISECOND..300 * MILLISECOND));
        if now < at {
            return;
        }
        self.registry.want_lease(LeaseRole::Leader);
        let Some(lease) = self.registry.lease_id(LeaseRole::Leader) else {
            return;
        };
        let txn = Transaction {
            conditions: vec![(Key::Leader, version)],
            changes: vec![(
                Key::Leader,
                Some(value(&LeaderRecord {
                    holder: self.settings.name.clone(),
                    run: self.run,
                })),
            )],
            lease: Some((Key::Leader, lease)),
        };
        let t = self.registry.commit(txn, CommitPriority::Urgent, None);
        self.lead_claim = Some(Acquisition::Committing);
        self.tickets.insert(t, PendingCommit::Lead);
    }

    pub(super) fn run_leader(&mut self) -> Micros {
        let mut until = self.now + SECOND;
        if self.now >= self.registry.leader_until() {
            return until;
        }
        let Some(mut l) = self.leader.take() else {
            return until;
        };
        let context = context!(self);
        until = until.min(l.tick(&context, &self.reports, &mut self.cloud_client));
        let actions = l.take_actions();
        self.leader = Some(l);
        for e in actions {
            match e {
                leader::Action::Commit(txn, urgency, keys) => {
                    let t = self.registry.commit(txn, urgency, None);
                    self.tickets.insert(t, PendingCommit::Leader(keys));
                }
                leader::Action::Tell(m) => self.tell_owner(m),
            }
        }
        until
    }

    pub(super) fn tell_owner(&mut self, m: Message) {
        let (Message::RebindTasks { from, .. }
        | Message::CordonMachines { region: from, .. }
        | Message::StartGang { region: from, .. }) = &m
        else {
            return;
        };
        if self.regions.contains_key(from) {
            return self.on_message(m);
        }
        let owner = self
            .registry
            .replica
            .regions
            .get(from)
            .map(|r| r.value.owner.clone());
        if let Some(i) = owner.and_then(|o| self.peer_index(&o)) {
            self.reactor.send(i, &peer_protocol::encode(&m));
        }
    }
}
