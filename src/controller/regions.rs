//! Taking regions, giving them back, and running those that are ours.

use super::*;

impl<N: Net> Controller<N> {
    /// Takes regions that are ours to take, and notes those we have lost.
    pub(super) fn manage_regions(&mut self) {
        if !self.registry.is_loaded() {
            return;
        }
        self.release_unreached();
        for name in self.settings.regions() {
            let rec = self.registry.replica.regions.get(&name);
            let (version, rec) = match rec {
                Some(r) => (r.version, Some(r.value.clone())),
                None => (0, None),
            };
            let ours = rec
                .as_ref()
                .is_some_and(|r| r.owner == self.settings.name && self.is_this_run(r.run));
            if let Some(r) = self.regions.get(&name) {
                if !ours || rec.as_ref().is_some_and(|x| x.token != r.token) {
                    log::info!("node: region {name}: lost, token {}", r.token);
                    self.regions.remove(&name);
                }
            }
            if rec.is_some() {
                self.absent.remove(&name);
            }
            let revision = self.registry.replica.revision;
            let claim = self.claims.get(&name);
            if claim.is_some_and(|c| c.is_pending(revision)) {
                continue;
            }
            if !self.authority() {
                continue;
            }
            if ours && !self.retake.contains(&name) {
                // Ours on record, and the replica holds all that came before.
                if !self.regions.contains_key(&name) && self.registry.replica.revision >= version {
                    let token = rec.map_or(0, |r| r.token);
                    log::info!("node: region {name}: taken, token {token}");
                    let context = context!(self);
                    let region = Region::new(&name, token, version, &context);
                    self.regions.insert(name.clone(), region);
                    self.claims.remove(&name);
                }
                continue;
            }
            let home = name == self.settings.name;
            // Kept by our former life for another: guards against taking it only to
            // hand it back, and all its machines being accounted for twice. Its home
            // takes it at once if it is there, any other a moment later.
            let left = rec
                .as_ref()
                .is_some_and(|r| r.owner == self.settings.name && r.run != self.run);
            if left && !home && !self.retake.contains(&name) {
                log::info!("node: region {name}: left by our former life, given up");
                self.give_up(name, version);
                continue;
            }
            let take = match &rec {
                // Our own former process is dead, or we want a higher token.
                Some(r) => r.owner == self.settings.name,
                None => {
                    let now = self.now;
                    let since = *self.absent.entry(name.clone()).or_insert(now);
                    home || self.is_asked_by_most(&name)
                        || now >= since + HOME_FIRST + fastrand::u64(0..500 * MILLISECOND)
                }
            };
            if !take || (rec.is_none() && self.releases.is_left(&name, self.now)) {
                continue;
            }
            let Some(lease) = self.registry.lease_id(LeaseRole::Owner) else {
                continue;
            };
            let token = self.registry.replica.token.as_ref().map_or(0, |t| t.value) + 1;
            let txn = self.taking(&name, token, None, lease);
            log::info!("node: region {name}: taking, token {token}");
            if !home && rec.is_none() && self.is_well(&name) {
                self.releases.keep(&name, self.now);
            }
            self.retake.remove(&name);
            self.regions.remove(&name);
            let t = self.registry.commit(txn, CommitPriority::Urgent, None);
            self.claims.insert(name.clone(), Acquisition::Committing);
            self.tickets.insert(t, PendingCommit::Take { region: name });
        }
        self.return_region();
    }

    /// The transaction that takes a region as its records stand, under a token drawn with it;
    /// `held` names the incident if it is taken in a hold.
    pub(super) fn taking(
        &self,
        name: &str,
        token: u64,
        held: Option<u64>,
        lease: u64,
    ) -> Transaction {
        let replica = &self.registry.replica;
        let key = Key::Region(name.to_owned());
        let owner = RegionRecord {
            owner: self.settings.name.clone(),
            run: self.run,
            token,
            data_loss_incident: held,
        };
        Transaction {
            conditions: vec![
                (key.clone(), replica.version(&key)),
                (Key::Token, replica.version(&Key::Token)),
            ],
            changes: vec![
                (Key::Token, Some(value(&token))),
                (key.clone(), Some(value(&owner))),
            ],
            lease: Some((key, lease)),
        }
    }

    /// Whether a peer was just heard and reaches the state service.
    fn is_well(&self, peer: &str) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|p| p.fresh && p.heard.is_some_and(|h| self.now < h + 2 * SECOND))
    }

    /// Gives a region back to its home once that has been well for a while, so
    /// that after a cut the load is shared again.
    pub(super) fn return_region(&mut self) {
        if !self.authority() {
            return;
        }
        let now = self.now;
        let back = self.regions.values().find(|r| {
            r.is_ready_to_hand_over(now)
                && r.name != self.settings.name
                && !self.releases.is_kept(&r.name, now)
                && self.is_well(&r.name)
                && self
                    .peers
                    .get(&r.name)
                    .is_some_and(|p| p.well_since.is_some_and(|w| now > w + RETURN_AFTER))
        });
        let Some(r) = back else { return };
        let (name, version) = (r.name.clone(), r.version);
        log::info!("node: region {name}: handed back to its home");
        // From here on nothing is commanded for it, whatever becomes of the commit.
        self.regions.remove(&name);
        self.give_up(name, version);
    }

    /// Deletes a region's record as it stands, so that its home may take it.
    pub(super) fn give_up(&mut self, name: String, version: u64) {
        self.claims.insert(name.clone(), Acquisition::Committing);
        let key = Key::Region(name.clone());
        let txn = Transaction {
            conditions: vec![(key.clone(), version)],
            changes: vec![(key, None)],
            lease: None,
        };
        let t = self.registry.commit(txn, CommitPriority::Urgent, None);
        self.tickets.insert(t, PendingCommit::Hand { region: name });
    }

    pub(super) fn run_regions(&mut self) -> Micros {
        let mut until = self.now + SECOND;
        if !self.authority() {
            return until;
        }
        let context = context!(self);
        let mut actions = Vec::new();
        for (name, r) in self.regions.iter_mut() {
            until = until.min(r.tick(&context));
            actions.extend(r.take_actions().into_iter().map(|e| (name.clone(), e)));
        }
        for (name, e) in actions {
            match e {
                region::Action::Commit(txn, urgency, kind) => {
                    let t = self.registry.commit(txn, urgency, None);
                    if let Some(r) = self.regions.get_mut(&name) {
                        r.commit_sent(t, kind);
                    }
                }
                region::Action::Release(names) => self.cloud_client.release(names),
            }
        }
        until
    }
}
