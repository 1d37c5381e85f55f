//! Detection and release of regions whose machines don't reach their owner.
//!
//! A controller may lose the connection to its workers but keep the one to the state service and
//! its peers. Its lease is then renewed, so no other controller acquires its regions, while the
//! workers' leases expire.
//!
//! The other controllers detect this, because workers that don't reach their owner contact them.
//! Each notifies the owner of the number of such workers, and an owner that receives few heartbeats
//! itself releases the region. Notifications carry no authority: a release is the deletion of the
//! region's record by its owner, as in a failback, and the next owner reconciles every machine.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, SECOND};

use super::Controller;
use crate::alerts::conditions::Condition;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{self, Message};
use crate::reactor::Net;

/// Time for which a redirected worker is counted.
const REDIRECT_WINDOW: Micros = 12 * SECOND;
/// Time that a redirected worker has to reach its owner. A worker that still contacts this
/// controller later did not reach its owner.
const REDIRECT_GRACE_PERIOD: Micros = 2 * SECOND;
/// Interval between notifications to owners.
const NOTIFICATION_INTERVAL: Micros = SECOND;
/// Time for which a peer's notification is valid.
const NOTIFICATION_VALIDITY: Micros = 3 * SECOND;
/// Time during which a controller that released a region doesn't acquire it again.
const REACQUISITION_PAUSE: Micros = 15 * SECOND;
/// Initial backoff of failback to a home controller that the region's machines didn't reach. The
/// backoff doubles with each suspension.
const FAILBACK_BACKOFF: Micros = 60 * SECOND;
/// Maximum number of doublings of the failback backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Minimum number of machines for a decision about a region; fewer are not representative.
const MIN_MACHINES: usize = 2;

/// Times of the first and last redirect of a worker of another owner's region.
#[derive(Debug, Clone, Copy)]
struct Redirect {
    first: Micros,
    last: Micros,
}

/// Workers of other owners' regions that contacted this controller and were redirected.
#[derive(Debug, Default)]
struct Redirects {
    /// Redirects by region and machine.
    by_region: BTreeMap<String, BTreeMap<String, Redirect>>,
}

impl Redirects {
    /// Records the redirect of a machine of this region. Only machines on record are redirected
    /// to an owner, which bounds the number of entries.
    fn record(&mut self, region: &str, machine: &str, now: Micros) {
        let machines = self.by_region.entry(region.to_owned()).or_default();
        let first = Redirect {
            first: now,
            last: now,
        };
        machines.entry(machine.to_owned()).or_insert(first).last = now;
    }

    /// Drops redirects that are older than the window.
    fn expire(&mut self, now: Micros) {
        for machines in self.by_region.values_mut() {
            machines.retain(|_, redirect| now < redirect.last + REDIRECT_WINDOW);
        }
        self.by_region.retain(|_, machines| !machines.is_empty());
    }

    /// Returns the regions with redirected machines and the number of these machines.
    fn regions(&self) -> impl Iterator<Item = (&String, usize)> {
        self.by_region
            .iter()
            .map(|(region, machines)| (region, machines.len()))
    }

    /// Returns the number of a region's machines that were redirected within the window.
    fn count(&self, region: &str) -> usize {
        self.by_region.get(region).map_or(0, BTreeMap::len)
    }

    /// Returns the number of a region's machines that contacted this controller again after the
    /// redirect to their owner.
    fn count_returned(&self, region: &str) -> usize {
        let machines = self.by_region.get(region).into_iter().flatten();
        let has_returned = |r: &Redirect| r.last > r.first + REDIRECT_GRACE_PERIOD;
        machines.filter(|(_, r)| has_returned(r)).count()
    }
}

/// A peer's notification that machines of an owned region contact the peer.
#[derive(Debug, Clone, Copy)]
struct Notification {
    machines: usize,
    received_at: Micros,
}

/// Failback backoff of a region that this controller acquired although its home was healthy.
#[derive(Debug, Clone, Copy, Default)]
struct FailbackBackoff {
    until: Micros,
    /// Number of suspensions so far.
    suspensions: u32,
}

/// Regions whose owner changed because their machines didn't reach the owner.
#[derive(Debug, Default)]
struct Releases {
    /// Regions that this controller released, with the time until which it doesn't acquire them
    /// again.
    released: BTreeMap<String, Micros>,
    /// Failback backoffs of the regions that this controller acquired although their home was
    /// healthy.
    failback_backoffs: BTreeMap<String, FailbackBackoff>,
}

impl Releases {
    /// Records that this controller released a region.
    fn on_released(&mut self, region: &str, now: Micros) {
        self.released
            .insert(region.to_owned(), now + REACQUISITION_PAUSE);
    }

    /// Whether a region may be released. A region is not released again shortly after a release.
    fn may_release(&self, region: &str, now: Micros) -> bool {
        let last = self.released.get(region);
        last.is_none_or(|until| now > *until + FAILBACK_BACKOFF)
    }

    /// Whether this controller leaves the acquisition of a region to its peers at present.
    fn is_reacquisition_paused(&self, region: &str, now: Micros) -> bool {
        self.released.get(region).is_some_and(|until| now < *until)
    }

    /// Whether failback of a region to its home is suspended at present.
    fn is_failback_suspended(&self, region: &str, now: Micros) -> bool {
        let backoff = self.failback_backoffs.get(region);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Suspends failback of a region that was acquired although its home was healthy.
    fn suspend_failback(&mut self, region: &str, now: Micros) {
        let backoff = self.failback_backoffs.entry(region.to_owned());
        let backoff = backoff.or_default();
        let doublings = backoff.suspensions.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now + (FAILBACK_BACKOFF << doublings);
        backoff.suspensions += 1;
    }
}

/// Evidence that machines don't reach the owner of their region, which may be this controller.
#[derive(Debug, Default)]
pub(super) struct OwnerReachability {
    redirects: Redirects,
    releases: Releases,
    /// Latest notification about each owned region, by region.
    notifications: BTreeMap<String, Notification>,
    next_notification_at: Micros,
    /// Start of the uninterrupted time in which this controller could answer its machines.
    able_to_answer_since: Option<Micros>,
}

impl OwnerReachability {
    /// Records that a machine of another owner's region was redirected to that owner.
    pub(super) fn record_redirect(&mut self, region: &str, machine: &str, now: Micros) {
        self.redirects.record(region, machine, now);
    }

    /// Whether this controller released a region and leaves its acquisition to its peers at
    /// present.
    pub(super) fn is_reacquisition_paused(&self, region: &str, now: Micros) -> bool {
        self.releases.is_reacquisition_paused(region, now)
    }

    /// Whether failback of a region is suspended at present because its machines didn't reach
    /// their home.
    pub(super) fn is_failback_suspended(&self, region: &str, now: Micros) -> bool {
        self.releases.is_failback_suspended(region, now)
    }

    /// Suspends failback of a region that was acquired although its home was healthy.
    pub(super) fn suspend_failback(&mut self, region: &str, now: Micros) {
        self.releases.suspend_failback(region, now);
    }
}

impl<N: Net> Controller<N> {
    /// Whether at least half of a region's machines contact this controller instead of their owner.
    pub(super) fn receives_most_redirects(&self, region: &str) -> bool {
        let machines = self.cluster.recorded_machines(region) as usize;
        let redirected = self.reachability.redirects.count(region);
        redirected >= MIN_MACHINES && redirected * 2 >= machines
    }

    /// Returns a condition for each region of another owner if at least half of the region's
    /// machines contact this controller.
    pub(super) fn unreachable_owners(&self) -> Vec<Condition> {
        let redirects = &self.reachability.redirects;
        let regions = redirects.regions().map(|(region, _)| region);
        regions
            .filter(|region| !self.ownership.owns(region) && self.receives_most_redirects(region))
            .map(|region| (region, redirects.count_returned(region)))
            .filter(|(_, machines)| *machines >= MIN_MACHINES)
            .map(|(region, machines)| Condition::OwnerUnreachable {
                region: region.clone(),
                machines,
            })
            .collect()
    }

    /// Notifies owners of the number of their machines that contact this controller, if a
    /// notification is due.
    pub(super) fn notify_unreachable_owners(&mut self) {
        let now = self.cluster.now;
        if now < self.reachability.next_notification_at {
            return;
        }
        self.reachability.next_notification_at = now + NOTIFICATION_INTERVAL;
        self.reachability.redirects.expire(now);
        if !self.cluster.is_fresh() {
            // This controller could not acquire a region if its owner released it.
            return;
        }
        let records = &self.cluster.state_store.replica.regions;
        for (region, machines) in self.reachability.redirects.regions() {
            let Some(record) = records.get(region).map(|record| &record.value) else {
                continue;
            };
            let Some(peer) = self.cluster.peer_with_extensions(&record.owner) else {
                continue;
            };
            let message = Message::OwnerUnreachable {
                region: region.clone(),
                token: record.token,
                machines: machines as u32,
            };
            self.net.send(peer, &peer_protocol::encode(&message));
        }
    }

    /// Handles a peer's notification that machines of a region contact the peer.
    pub(super) fn on_owner_unreachable(&mut self, region: String, token: u64, machines: u32) {
        let owned = self.ownership.get(&region);
        if owned.is_some_and(|owned| owned.token == token) {
            let notification = Notification {
                machines: machines as usize,
                received_at: self.cluster.now,
            };
            self.reachability.notifications.insert(region, notification);
        }
    }

    /// Releases regions whose machines reach a peer but not this controller. Nothing is released
    /// during an outage of the state service, because no controller could acquire the region.
    pub(super) fn release_unreachable_regions(&mut self) {
        let now = self.cluster.now;
        if !self.cluster.has_authority() || !self.cluster.is_fresh() {
            self.reachability.able_to_answer_since = None;
            return;
        }
        // Guards against releasing a region because its machines contacted peers while this
        // controller couldn't answer, for example in an outage: these machines contact their owner
        // again without a release.
        let able_since = *self.reachability.able_to_answer_since.get_or_insert(now);
        let notifications = &mut self.reachability.notifications;
        notifications.retain(|_, n| now < n.received_at + NOTIFICATION_VALIDITY);
        if is_disabled(Safeguard::UnreachableOwnerRelease) {
            return;
        }
        for (region, version) in self.unreachable_regions(able_since) {
            log::warn!("region={region}: released, its machines reach a peer but not this owner");
            self.reachability.notifications.remove(&region);
            self.reachability.releases.on_released(&region, now);
            self.release_region(&region, version);
        }
    }

    /// Returns the owned regions to release, with the versions of their records: at least half of
    /// a region's machines contact a peer, and few of them reach this controller, which has been
    /// able to answer them since `able_since`.
    fn unreachable_regions(&self, able_since: Micros) -> Vec<(String, u64)> {
        if self.reachability.notifications.is_empty() {
            return Vec::new();
        }
        let now = self.cluster.now;
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let notified = self.reachability.notifications.iter();
        notified
            .filter_map(|(name, notification)| Some((self.ownership.get(name)?, notification)))
            .filter(|(region, notification)| {
                let activated = region.activated_machines();
                activated >= MIN_MACHINES
                    && notification.machines * 2 >= activated
                    && region.receives_few_heartbeats(able_since, &context)
            })
            .filter(|(region, _)| self.reachability.releases.may_release(&region.name, now))
            .map(|(region, _)| (region.name.clone(), region.version))
            .collect()
    }
}

#[cfg(test)]
mod tests;
