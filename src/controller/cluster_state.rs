//! A controller's view of the cluster: the settings, the replicated records, its peers and the
//! time.
//!
//! Every part of the controller reads this state. The state is a struct of its own so that a
//! [`SchedulingContext`] borrows only from it: regions and the leader are separate fields of the
//! controller and can be mutated while a context exists.

use salttiller_records::units::Micros;

use super::peers::Peers;
use super::region_reports::RegionReports;
use super::reported_cancellations::ReportedCancellations;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::region::SchedulingContext;
use crate::settings::Settings;
use crate::state_store::{Authority, StateStore, MAX_READ_AGE};

/// Exclusive upper bound of random ids. JSON readers represent integers exactly below 2^53.
const RANDOM_ID_LIMIT: u64 = 1 << 53;

/// Returns a random id for an incarnation of a controller or for a data-loss incident.
pub(super) fn random_id() -> u64 {
    fastrand::u64(1..RANDOM_ID_LIMIT)
}

/// Holder named by an ownership record (a region's or the leader's), relative to this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedHolder {
    /// There is no record.
    Nobody,
    /// This incarnation of this controller.
    ThisIncarnation,
    /// A former incarnation of this controller, which no longer acts.
    FormerIncarnation,
    /// Another controller.
    OtherController,
}

/// A controller's view of the cluster.
pub(super) struct ClusterState {
    /// Settings of this controller and the cluster.
    pub settings: Settings,
    /// Client of the state service, with the replica of all records.
    pub state_store: StateStore,
    /// Health of the other controllers.
    pub peers: Peers,
    /// Latest report of each region.
    pub region_reports: RegionReports,
    /// Cancellations reported by peers that the replica may not show yet.
    pub cancellations: ReportedCancellations,
    /// Last reading of the monotonic clock.
    pub now: Micros,
    /// Time before which no task is started because of an operator's decision on lost records.
    /// `None` until it is known whether there is such a decision.
    pub starts_after: Option<Micros>,
    /// Time from which the records count as verified; 0 if lost records are not detected.
    pub records_verified_at: Micros,
    /// Identifies this incarnation in records. The number changes when the owner lease is lost.
    incarnation: u64,
}

impl ClusterState {
    /// Creates the state at the start of the process, with an empty replica.
    pub(super) fn new(settings: Settings, state_store: StateStore) -> Self {
        ClusterState {
            incarnation: random_id(),
            state_store,
            peers: Peers::new(&settings.peers),
            region_reports: RegionReports::default(),
            cancellations: ReportedCancellations::default(),
            now: 0,
            starts_after: None,
            records_verified_at: 0,
            settings,
        }
    }

    /// Returns the read-only input of a step of a region or of the leader. `wall` is the wall-clock
    /// time.
    pub(super) fn scheduling_context(&self, wall: Micros) -> SchedulingContext<'_> {
        SchedulingContext {
            replica: &self.state_store.replica,
            settings: &self.settings,
            now: self.now,
            wall,
            quota_blocked_teams: self.region_reports.quota_blocked_teams(),
            may_start: self.may_start(),
            are_records_verified: self.are_records_verified(),
            reported_cancelled: self.cancellations.jobs(),
        }
    }

    /// Returns the number of this incarnation.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Draws a new incarnation number. Records with the former number can then only be replaced by
    /// compare-and-swap, never resumed.
    pub(super) fn renew_incarnation(&mut self) {
        self.incarnation = random_id();
    }

    /// Returns the holder that a record with this controller name and incarnation number names.
    pub(super) fn holder(&self, name: &str, incarnation: u64) -> RecordedHolder {
        if name != self.settings.name {
            RecordedHolder::OtherController
        } else if incarnation == self.incarnation || is_disabled(Safeguard::Incarnation) {
            RecordedHolder::ThisIncarnation
        } else {
            RecordedHolder::FormerIncarnation
        }
    }

    /// Returns the controller that the replica shows as leader, which may be this one.
    pub(super) fn recorded_leader(&self) -> Option<&str> {
        let leader = self.state_store.replica.leader.as_ref();
        leader.map(|record| record.value.holder.as_str())
    }

    /// Returns the controller that the replica shows as owner of a region, which may be this one.
    pub(super) fn recorded_owner(&self, region: &str) -> Option<&str> {
        let owner = self.state_store.replica.regions.get(region);
        owner.map(|record| record.value.owner.as_str())
    }

    /// Returns the last issued fencing token, or 0 if there is none.
    pub(super) fn recorded_token(&self) -> u64 {
        let token = self.state_store.replica.token.as_ref();
        token.map_or(0, |record| record.value)
    }

    /// Returns a peer's index in the settings, which is also its index in the network layer.
    pub(super) fn peer_index(&self, name: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.name == name)
    }

    /// Returns a peer's index if the peer supports the messages that were added in 0.5.
    pub(super) fn peer_with_extensions(&self, name: &str) -> Option<usize> {
        self.peer_index(name)
            .filter(|_| self.peers.supports_extensions(name))
    }

    /// Whether this controller may act as an owner: answer heartbeats, send commands and write.
    pub(super) fn has_authority(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) {
            return true;
        }
        self.state_store.authority(self.now) != Authority::Expired
    }

    /// Whether tasks may be started. After the shorter authority deadline, tasks are started only
    /// during a cluster-wide outage of the state service: every peer is reachable and lost the
    /// state service when this controller did, so no controller can confirm a cancellation. Peers'
    /// reports may be wrong, so they never extend the longer deadline, which safety depends on.
    pub(super) fn may_start(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) || is_disabled(Safeguard::StartDeadline) {
            return self.has_authority();
        }
        if self.is_start_delayed() {
            return false;
        }
        match self.state_store.authority(self.now) {
            Authority::Full => true,
            Authority::HeartbeatsOnly => self.is_cluster_wide_outage(),
            Authority::Expired => false,
        }
    }

    /// Whether task starts are still delayed by a decision on lost records, or until the records are
    /// verified.
    fn is_start_delayed(&self) -> bool {
        self.starts_after.is_some_and(|at| self.now < at) || !self.are_records_verified()
    }

    /// Whether workers have had time since the start to contradict the records. Guards against a
    /// controller that starts after records were lost and, before a heartbeat proves the loss, stops
    /// tasks that the older records bind elsewhere, or starts tasks beyond a quota of which the older
    /// records give it a larger share.
    fn are_records_verified(&self) -> bool {
        self.now >= self.records_verified_at || is_disabled(Safeguard::VerifiedStart)
    }

    /// Whether all controllers lost the state service at about the same time.
    fn is_cluster_wide_outage(&self) -> bool {
        let Some(since) = self.state_store.last_read_at().map(|at| at + MAX_READ_AGE) else {
            return false;
        };
        self.peers.all_lost_state_store_at(since, self.now)
    }

    /// Whether the replica was up to date within the last [`MAX_READ_AGE`].
    pub(super) fn is_fresh(&self) -> bool {
        let fresh_at = self.state_store.last_read_at();
        fresh_at.is_some_and(|at| self.now < at + MAX_READ_AGE)
    }

    /// Whether users should send requests to this controller. A controller stays ready if no peer
    /// reaches the state service either, because no other controller could handle the requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state_store.is_loaded()
            && (self.is_fresh() || self.peers.none_reaches_state_store(self.now))
    }

    /// Returns the number of a region's machines on record.
    pub(super) fn recorded_machines(&self, region: &str) -> u32 {
        let pools = self.state_store.replica.machine_counts.get(region);
        pools.map_or(0, |pools| pools.values().sum())
    }
}
