//! Kept regions: regions that this controller owns during a hold. A kept region is acquired by
//! the usual transaction under a fencing token above all known ones. Its owner schedules no tasks
//! and only renews the leases of the region's workers.

use std::collections::BTreeMap;

use salttiller_records::units::{add_drift, Micros, MILLISECOND};

use super::AUTHORITY_MARGIN;
use crate::controller::commits::PendingCommit;
use crate::controller::region_ownership::Acquisition;
use crate::controller::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::Net;
use crate::state_store::{CommitOutcome, CommitPriority, LeaseRole};

/// Backoff after a failed acquisition, because a failed transaction also uses write quota.
const ACQUISITION_BACKOFF: Micros = 300 * MILLISECOND;

/// A region that this controller owns during the hold.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeptRegion {
    pub token: u64,
    /// Time from which workers' heartbeats are answered.
    pub answers_from: Micros,
}

/// The regions that this controller owns or acquires during the hold.
#[derive(Debug)]
pub(super) struct KeptRegions {
    regions: BTreeMap<String, KeptRegion>,
    acquisitions: BTreeMap<String, Acquisition>,
    /// Highest fencing token seen on record or in heartbeats.
    highest_token: u64,
    next_attempt_at: Micros,
}

impl KeptRegions {
    /// Creates the state without any regions. `token` is the highest known fencing token.
    pub(super) fn new(token: u64) -> Self {
        KeptRegions {
            regions: BTreeMap::new(),
            acquisitions: BTreeMap::new(),
            highest_token: token,
            next_attempt_at: 0,
        }
    }

    /// Drops all kept regions.
    pub(super) fn clear(&mut self) {
        self.regions.clear();
    }

    /// Returns a kept region.
    pub(super) fn get(&self, region: &str) -> Option<KeptRegion> {
        self.regions.get(region).copied()
    }

    /// Drops a kept region, so that the region is acquired again.
    pub(super) fn remove(&mut self, region: &str) {
        self.regions.remove(region);
    }

    /// Records a fencing token that a worker has seen.
    pub(super) fn on_token_seen(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Whether a region may be acquired at the time `now` and the replica revision `revision`.
    fn may_acquire(&self, region: &str, revision: u64, now: Micros) -> bool {
        let acquisition = self.acquisitions.get(region);
        let is_pending = acquisition.is_some_and(|a| a.is_pending(revision));
        !self.regions.contains_key(region) && !is_pending && now >= self.next_attempt_at
    }

    /// Returns the fencing token for an acquisition, which is above all known tokens.
    fn next_token(&self, recorded: u64) -> u64 {
        if is_disabled(Safeguard::SufficientToken) {
            return recorded + 1;
        }
        recorded.max(self.highest_token) + 1
    }
}

impl<N: Net> Controller<N> {
    /// Drops kept regions whose record no longer names this controller and the region's token.
    pub(super) fn drop_lost_kept_regions(&mut self) {
        let records = &self.cluster.state_store.replica.regions;
        let incarnation = self.cluster.incarnation();
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        hold.kept.regions.retain(|name, region| {
            let record = records.get(name).map(|r| &r.value);
            record.is_some_and(|r| r.run == incarnation && r.token == region.token)
        });
    }

    /// Acquires a region if that is permitted at present.
    pub(super) fn acquire_region_in_hold(&mut self, region: String) {
        let now = self.cluster.now;
        let revision = self.cluster.state_store.replica.revision;
        let owner = self.cluster.recorded_owner(&region);
        if owner.is_some_and(|owner| owner != self.cluster.settings.name) {
            return;
        }
        let Some(hold) = &self.data_loss.hold else {
            return;
        };
        let incident = hold.incident;
        let token = hold.kept.next_token(self.cluster.recorded_token());
        if !hold.kept.may_acquire(&region, revision, now) || !self.is_grace_period_over(&region) {
            return;
        }
        let Some(lease) = self.cluster.state_store.lease_id(LeaseRole::Owner) else {
            return;
        };
        log::info!("region={region} token={token}: acquiring within the hold");
        if let Some(hold) = &mut self.data_loss.hold {
            let acquisitions = &mut hold.kept.acquisitions;
            acquisitions.insert(region.clone(), Acquisition::Committing);
        }
        let transaction = self.acquisition_transaction(&region, token, Some(incident), lease);
        let pending = PendingCommit::RegionAcquisitionInHold { region, token };
        self.commit(transaction, CommitPriority::Urgent, None, pending);
    }

    /// Handles the end of an acquisition's commit during the hold.
    pub(in crate::controller) fn on_acquired_in_hold(
        &mut self,
        region: String,
        token: u64,
        outcome: &CommitOutcome,
    ) {
        let now = self.cluster.now;
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        let acquisition = Acquisition::after(outcome);
        hold.kept.acquisitions.insert(region.clone(), acquisition);
        if !outcome.is_committed() {
            hold.kept.next_attempt_at = now + ACQUISITION_BACKOFF;
            if matches!(outcome, CommitOutcome::Refused) {
                // A refusal shows that the lease was lost in another loss of records. Without a
                // new request, the loss would only be detected at the lease's next renewal.
                self.cluster.state_store.release_lease(LeaseRole::Owner);
                self.cluster.state_store.request_lease(LeaseRole::Owner);
            }
            return;
        }
        self.ownership.on_owner_recorded(&region);
        // Guards against renewing a machine's lease while a former owner that has not detected the
        // loss considers the machine empty and starts its tasks on other machines.
        let former_authority = add_drift(self.cluster.settings.owner_lease_duration());
        let answers_from = if hold.owned_before.contains(&region) {
            now
        } else {
            hold.since + former_authority + AUTHORITY_MARGIN
        };
        let kept = KeptRegion {
            token,
            answers_from,
        };
        hold.kept.regions.insert(region, kept);
    }
}
