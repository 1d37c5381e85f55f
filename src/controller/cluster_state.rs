//! What a controller knows of the cluster: the settings, the replicated records, its peers and
//! the time.
//!
//! Every part of the controller reads it. It is one struct so that the [`SchedulingContext`] that
//! it lends to regions and to the leader borrows neither of them: those are parts of the
//! controller beside it and stay mutable meanwhile.

use salttiller_records::units::Micros;

use super::peers::Peers;
use super::region_reports::RegionReports;
use super::reported_cancellations::ReportedCancellations;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::region::SchedulingContext;
use crate::settings::Settings;
use crate::state_store::{Authority, StateStore, MAX_READ_AGE};

/// Incarnation numbers are below this, so that JSON readers keep them exact.
const INCARNATION_LIMIT: u64 = 1 << 53;

/// A random number that tells one incarnation of a controller, or one incident, from another.
pub(super) fn random_incarnation() -> u64 {
    fastrand::u64(1..INCARNATION_LIMIT)
}

/// Whom an ownership record (a region's or the leader's) names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedHolder {
    /// There is no record.
    Nobody,
    /// This incarnation of this controller.
    ThisIncarnation,
    /// A former incarnation of this controller, which acts no more.
    FormerIncarnation,
    /// Another controller.
    OtherController,
}

/// What the controller knows of the cluster.
pub(super) struct ClusterState {
    /// Settings of this controller.
    pub settings: Settings,
    /// Client of the state service, with the replica of all records.
    pub state_store: StateStore,
    /// Health of the other controllers.
    pub peers: Peers,
    /// Latest report of each region.
    pub region_reports: RegionReports,
    /// Cancellations that the replica may not show yet.
    pub cancellations: ReportedCancellations,
    /// Steady clock as last read.
    pub now: Micros,
    /// After a decision on lost records: no task is started before. `None` until it is known
    /// whether there is such a decision.
    pub starts_after: Option<Micros>,
    /// Names this run of the process on record, and changes when its owner lease is lost.
    incarnation: u64,
}

impl ClusterState {
    /// The state at the start of the process, with nothing read yet.
    pub(super) fn new(settings: Settings, state_store: StateStore) -> Self {
        ClusterState {
            incarnation: random_incarnation(),
            state_store,
            peers: Peers::new(&settings.peers),
            region_reports: RegionReports::default(),
            cancellations: ReportedCancellations::default(),
            now: 0,
            starts_after: None,
            settings,
        }
    }

    /// What a step of a region or of the leader may read; `wall` is the time of day.
    pub(super) fn scheduling_context(&self, wall: Micros) -> SchedulingContext<'_> {
        SchedulingContext {
            replica: &self.state_store.replica,
            settings: &self.settings,
            now: self.now,
            wall,
            quota_blocked_teams: self.region_reports.quota_blocked_teams(),
            may_start: self.may_start(),
            reported_cancelled: self.cancellations.jobs(),
        }
    }

    /// The number of this incarnation.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Draws a new incarnation number. Records under the former one can from then on only be
    /// replaced by compare-and-swap, never resumed.
    pub(super) fn renew_incarnation(&mut self) {
        self.incarnation = random_incarnation();
    }

    /// Whom a record with this controller name and incarnation number names.
    pub(super) fn holder(&self, name: &str, incarnation: u64) -> RecordedHolder {
        if name != self.settings.name {
            RecordedHolder::OtherController
        } else if incarnation == self.incarnation || is_disabled(Safeguard::RunNumber) {
            RecordedHolder::ThisIncarnation
        } else {
            RecordedHolder::FormerIncarnation
        }
    }

    /// The controller that the replica shows as leader, this one included.
    pub(super) fn recorded_leader(&self) -> Option<&str> {
        let leader = self.state_store.replica.leader.as_ref();
        leader.map(|record| record.value.holder.as_str())
    }

    /// The controller that the replica shows as owner of a region, this one included.
    pub(super) fn recorded_owner(&self, region: &str) -> Option<&str> {
        let owner = self.state_store.replica.regions.get(region);
        owner.map(|record| record.value.owner.as_str())
    }

    /// The last fencing token that was drawn; 0 if none was.
    pub(super) fn recorded_token(&self) -> u64 {
        let token = self.state_store.replica.token.as_ref();
        token.map_or(0, |record| record.value)
    }

    /// A peer's index in the settings, which is also its index in the network layer.
    pub(super) fn peer_index(&self, name: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.name == name)
    }

    /// The same for a peer that understands the messages that were added in 0.5.
    pub(super) fn peer_with_extensions(&self, name: &str) -> Option<usize> {
        self.peer_index(name)
            .filter(|_| self.peers.supports_extensions(name))
    }

    /// Whether this controller may act as an owner: answer heartbeats, send commands, write.
    pub(super) fn has_authority(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) {
            return true;
        }
        self.state_store.authority(self.now) != Authority::Expired
    }

    /// Whether tasks may be started. Beyond the short deadline only while the state service is
    /// out for everybody, so that nobody can confirm a cancellation: every peer is reachable
    /// and lost the state service when this controller did. What peers report may be wrong, so
    /// no deadline that safety depends on is extended by it; those are the longer deadline's.
    pub(super) fn may_start(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) || is_disabled(Safeguard::StartDeadline) {
            return self.has_authority();
        }
        if self.is_start_delayed() {
            return false;
        }
        match self.state_store.authority(self.now) {
            Authority::Full => true,
            Authority::HeartbeatsOnly => self.is_common_outage(),
            Authority::Expired => false,
        }
    }

    /// Whether a decision on lost records keeps tasks from starting yet.
    fn is_start_delayed(&self) -> bool {
        self.starts_after.is_some_and(|at| self.now < at)
    }

    /// Whether all controllers lost the state service at the same time.
    fn is_common_outage(&self) -> bool {
        let Some(since) = self.state_store.last_read_at().map(|at| at + MAX_READ_AGE) else {
            return false;
        };
        self.peers.all_lost_state_store_at(since, self.now)
    }

    /// Whether the replica was up to date a moment ago.
    pub(super) fn is_fresh(&self) -> bool {
        let fresh_at = self.state_store.last_read_at();
        fresh_at.is_some_and(|at| self.now < at + MAX_READ_AGE)
    }

    /// Whether users should send requests here. While the state service is out for everybody
    /// another controller would serve them no better.
    pub(super) fn is_ready(&self) -> bool {
        self.state_store.is_loaded()
            && (self.is_fresh() || self.peers.none_reaches_state_store(self.now))
    }

    /// How many machines of a region are on record.
    pub(super) fn recorded_machines(&self, region: &str) -> u32 {
        let pools = self.state_store.replica.machine_counts.get(region);
        pools.map_or(0, |pools| pools.values().sum())
    }
}
