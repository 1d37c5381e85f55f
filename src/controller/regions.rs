//! Ownership of regions: acquires, releases and runs them.
//!
//! The states are listed in [`super::region_ownership`]. A controller acquires its home region
//! immediately and other regions after a grace period. It releases a region to the region's home
//! controller (failback) when that controller has been healthy for [`FAILBACK_DELAY`].

use salttiller_records::key::Key;
use salttiller_records::record::{value, RegionRecord};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::cluster_state::RecordedHolder;
use super::commits::PendingCommit;
use super::{Controller, MAX_STEP_INTERVAL};
use crate::reactor::Net;
use crate::region::{self, Region};
use crate::state_store::{CommitPriority, LeaseRole, Transaction};

/// Time without an owner after which a controller other than the home may acquire a region.
const HOME_GRACE_PERIOD: Micros = 3 * SECOND;
/// Maximum random addition to the grace period, so that the controllers don't all try at the same
/// time.
const ACQUISITION_JITTER: Micros = 500 * MILLISECOND;
/// Time for which a region's home must have been healthy before the region is released to it.
const FAILBACK_DELAY: Micros = 10 * SECOND;

/// The record of a region's owner as the replica shows it.
#[derive(Debug, Clone, Copy)]
struct OwnerRecord {
    /// Version of the record, or 0 if there is no record.
    version: u64,
    /// Fencing token of the owner, or 0 if there is no record.
    token: u64,
    owner: RecordedHolder,
}

impl<N: Net> Controller<N> {
    /// Performs the due transitions of all regions: acquires, releases and drops regions.
    pub(super) fn manage_regions(&mut self) {
        if !self.cluster.state_store.is_loaded() {
            return;
        }
        self.release_unreachable_regions();
        for region in self.cluster.settings.regions() {
            self.manage_region(&region);
        }
        self.fail_back_region();
    }

    /// Performs a region's transition if one is due; see [`super::region_ownership`].
    fn manage_region(&mut self, region: &str) {
        let record = self.owner_record(region);
        self.drop_if_lost(region, record);
        if record.owner != RecordedHolder::Nobody {
            self.ownership.on_owner_recorded(region);
        }
        let revision = self.cluster.state_store.replica.revision;
        if self.ownership.is_pending(region, revision) || !self.cluster.has_authority() {
            return;
        }
        let reacquire = self.ownership.needs_reacquisition(region);
        match record.owner {
            RecordedHolder::ThisIncarnation if !reacquire => self.enter_owned(region, record),
            RecordedHolder::FormerIncarnation if !reacquire && !self.is_home(region) => {
                // Guards against acquiring the region only to fail it back, which would
                // reconcile all its machines twice. The home acquires the region immediately if
                // it is up; otherwise another controller does after the grace period.
                log::info!("region={region}: owned by a former incarnation, releasing");
                self.release_region(region, record.version);
            }
            // A former incarnation no longer acts, and a reacquisition needs a higher token.
            RecordedHolder::ThisIncarnation | RecordedHolder::FormerIncarnation => {
                self.acquire_region(region, record.owner);
            }
            RecordedHolder::Nobody if self.may_acquire_unowned(region) => {
                self.acquire_region(region, record.owner);
            }
            RecordedHolder::Nobody | RecordedHolder::OtherController => {}
        }
    }

    fn is_home(&self, region: &str) -> bool {
        region == self.cluster.settings.name
    }

    fn owner_record(&self, region: &str) -> OwnerRecord {
        let Some(record) = self.cluster.state_store.replica.regions.get(region) else {
            return OwnerRecord {
                version: 0,
                token: 0,
                owner: RecordedHolder::Nobody,
            };
        };
        let owner = &record.value;
        OwnerRecord {
            version: record.version,
            token: owner.token,
            owner: self.cluster.holder(&owner.owner, owner.run),
        }
    }

    /// Drops an owned region whose record no longer names this incarnation and the region's token.
    fn drop_if_lost(&mut self, region: &str, record: OwnerRecord) {
        let Some(token) = self.ownership.get(region).map(|r| r.token) else {
            return;
        };
        if record.owner != RecordedHolder::ThisIncarnation || record.token != token {
            log::info!(
                "region={region} token={token}: ownership lost: \
                 the region's record no longer names this owner and token"
            );
            self.ownership.on_lost(region);
        }
    }

    /// Starts to run a region that is owned on record, once the replica includes all writes that
    /// precede the acquisition.
    fn enter_owned(&mut self, region: &str, record: OwnerRecord) {
        let replica = &self.cluster.state_store.replica;
        if self.ownership.owns(region) || replica.revision < record.version {
            return;
        }
        log::info!("region={region} token={}: acquired", record.token);
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let region = Region::new(region, record.token, record.version, &context);
        self.ownership.on_acquired(region);
    }

    /// Whether this controller may acquire a region without an owner now. The home and a controller
    /// that at least half of the region's machines contact may do so immediately, others after the
    /// grace period.
    fn may_acquire_unowned(&mut self, region: &str) -> bool {
        let now = self.cluster.now;
        let since = self.ownership.unowned_since(region, now);
        let is_due = self.is_home(region)
            || self.receives_most_redirects(region)
            || now >= since + HOME_GRACE_PERIOD + fastrand::u64(0..ACQUISITION_JITTER);
        is_due && !self.reachability.is_reacquisition_paused(region, now)
    }

    /// Whether the grace period of a region without an owner is over, not counting jitter. The home
    /// has no grace period.
    pub(super) fn is_grace_period_over(&mut self, region: &str) -> bool {
        let now = self.cluster.now;
        let since = self.ownership.unowned_since(region, now);
        self.is_home(region) || now >= since + HOME_GRACE_PERIOD
    }

    /// Commits the acquisition of a region, if the owner lease is held.
    fn acquire_region(&mut self, region: &str, recorded: RecordedHolder) {
        let Some(lease) = self.cluster.state_store.lease_id(LeaseRole::Owner) else {
            return;
        };
        let now = self.cluster.now;
        let token = self.cluster.recorded_token() + 1;
        let transaction = self.acquisition_transaction(region, token, None, lease);
        log::info!("region={region} token={token}: acquiring");
        let is_home_healthy = self.cluster.peers.is_healthy(region, now);
        if !self.is_home(region) && recorded == RecordedHolder::Nobody && is_home_healthy {
            self.reachability.suspend_failback(region, now);
        }
        self.ownership.on_acquisition_sent(region);
        let region = region.to_owned();
        let pending = PendingCommit::RegionAcquisition { region };
        self.commit(transaction, CommitPriority::Urgent, None, pending);
    }

    /// Returns the transaction that acquires a region at the current version of its record, under
    /// the fencing token `token`. `incident` is the id of the data-loss incident if the region is
    /// acquired during a hold.
    pub(super) fn acquisition_transaction(
        &self,
        region: &str,
        token: u64,
        incident: Option<u64>,
        lease: u64,
    ) -> Transaction {
        let replica = &self.cluster.state_store.replica;
        let key = Key::Region(region.to_owned());
        let owner = RegionRecord {
            owner: self.cluster.settings.name.clone(),
            run: self.cluster.incarnation(),
            token,
            data_loss_incident: incident,
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

    /// Releases a region to its home once the home has been healthy for [`FAILBACK_DELAY`], so that
    /// the load is balanced again after a partition. Releases at most one region per step.
    fn fail_back_region(&mut self) {
        if !self.cluster.has_authority() {
            return;
        }
        let now = self.cluster.now;
        let peers = &self.cluster.peers;
        let candidate = self.ownership.regions().find(|r| {
            r.is_ready_to_hand_over(now)
                && r.name != self.cluster.settings.name
                && !self.reachability.is_failback_suspended(&r.name, now)
                && peers.is_healthy_for(&r.name, FAILBACK_DELAY, now)
        });
        let Some(region) = candidate else { return };
        let (name, version) = (region.name.clone(), region.version);
        log::info!("region={name}: released to its home controller");
        self.release_region(&name, version);
    }

    /// Releases a region: deletes its record at the given version, so that another controller may
    /// acquire the region.
    pub(super) fn release_region(&mut self, region: &str, version: u64) {
        self.ownership.on_release_sent(region);
        let key = Key::Region(region.to_owned());
        let transaction = Transaction {
            conditions: vec![(key.clone(), version)],
            changes: vec![(key, None)],
            lease: None,
        };
        let region = region.to_owned();
        let pending = PendingCommit::RegionRelease { region };
        self.commit(transaction, CommitPriority::Urgent, None, pending);
    }

    /// Runs the owned regions and executes their actions. Returns the time of the next call.
    pub(super) fn run_regions(&mut self) -> Micros {
        let mut next = self.cluster.now + MAX_STEP_INTERVAL;
        if !self.cluster.has_authority() {
            return next;
        }
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let mut actions = Vec::new();
        for region in self.ownership.regions_mut() {
            next = next.min(region.tick(&context));
            let name = region.name.clone();
            let region_actions = region.take_actions().into_iter();
            actions.extend(region_actions.map(|action| (name.clone(), action)));
        }
        for (region, action) in actions {
            self.carry_out_region_action(&region, action);
        }
        next
    }

    fn carry_out_region_action(&mut self, region: &str, action: region::Action) {
        match action {
            region::Action::Commit(transaction, priority, kind) => {
                let ticket = self.cluster.state_store.commit(transaction, priority, None);
                if let Some(region) = self.ownership.get_mut(region) {
                    region.commit_sent(ticket, kind);
                }
            }
            region::Action::Release(machines) => self.cloud_client.release(machines),
        }
    }
}
