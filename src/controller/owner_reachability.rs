//! Regions whose machines don't reach their owner: a controller may lose its workers alone and
//! keep the state service and its peers. Its lease is renewed, so nobody would acquire its
//! regions, and each worker's own lease expires.
//!
//! The other controllers see it: workers that reach no owner contact them. They notify the owner
//! how many do, and an owner that itself receives heartbeats from few releases the region. None of
//! this carries authority: a release is the deletion of the region's record by its owner, as in
//! a failback, and whoever acquires the region reconciles every machine.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, SECOND};

use super::Controller;
use crate::alerts::conditions::Condition;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{self, Message};
use crate::reactor::Net;

/// For how long a redirected worker counts.
const REDIRECT_WINDOW: Micros = 12 * SECOND;
/// A worker that contacts this controller for longer than this didn't reach its owner after it
/// was first redirected there.
const REDIRECT_GRACE_PERIOD: Micros = 2 * SECOND;
/// Interval at which owners are notified.
const NOTIFICATION_INTERVAL: Micros = SECOND;
/// How long a peer's notification is valid.
const NOTIFICATION_VALIDITY: Micros = 3 * SECOND;
/// How long the controller that released a region leaves it to its peers.
const RELEASE_PAUSE: Micros = 15 * SECOND;
/// For how long failback to a home that its machines didn't reach is suspended; doubled each
/// time.
const FAILBACK_BACKOFF: Micros = 60 * SECOND;
/// Most doublings of that.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// A region with fewer machines is not released: too few to judge by.
const MIN_MACHINES: usize = 2;

/// When a worker of another owner's region contacted this controller and was redirected.
#[derive(Debug, Clone, Copy)]
struct Redirect {
    first: Micros,
    last: Micros,
}

/// Workers of other owners' regions that contacted this controller.
#[derive(Debug, Default)]
struct Redirects {
    /// By region and machine.
    by_region: BTreeMap<String, BTreeMap<String, Redirect>>,
}

impl Redirects {
    /// A machine of this region was redirected. Machines are those on record, so there are no
    /// more entries than of these.
    fn record(&mut self, region: &str, machine: &str, now: Micros) {
        let machines = self.by_region.entry(region.to_owned()).or_default();
        let first = Redirect {
            first: now,
            last: now,
        };
        machines.entry(machine.to_owned()).or_insert(first).last = now;
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, now: Micros) {
        for machines in self.by_region.values_mut() {
            machines.retain(|_, redirect| now < redirect.last + REDIRECT_WINDOW);
        }
        self.by_region.retain(|_, machines| !machines.is_empty());
    }

    /// The regions with redirected machines, and how many these are.
    fn regions(&self) -> impl Iterator<Item = (&String, usize)> {
        self.by_region
            .iter()
            .map(|(region, machines)| (region, machines.len()))
    }

    /// How many machines of a region were redirected within the window.
    fn count(&self, region: &str) -> usize {
        self.by_region.get(region).map_or(0, BTreeMap::len)
    }

    /// How many of these came back after they were redirected to their owner.
    fn count_returned(&self, region: &str) -> usize {
        let machines = self.by_region.get(region).into_iter().flatten();
        let has_returned = |r: &Redirect| r.last > r.first + REDIRECT_GRACE_PERIOD;
        machines.filter(|(_, r)| has_returned(r)).count()
    }
}

/// A peer's notification that machines of an owned region contact it.
#[derive(Debug, Clone, Copy)]
struct Notification {
    machines: usize,
    received_at: Micros,
}

/// A region that was acquired although its home was healthy.
#[derive(Debug, Clone, Copy, Default)]
struct FailbackBackoff {
    until: Micros,
    /// How often that has happened.
    times: u32,
}

/// Regions whose owner changed because their machines didn't reach it.
#[derive(Debug, Default)]
struct Releases {
    /// Regions that this controller released, and until when they are left to its peers.
    released: BTreeMap<String, Micros>,
    /// Regions that this controller acquired from a healthy home.
    failback_backoffs: BTreeMap<String, FailbackBackoff>,
}

impl Releases {
    /// This controller released a region.
    fn on_released(&mut self, region: &str, now: Micros) {
        self.released.insert(region.to_owned(), now + RELEASE_PAUSE);
    }

    /// Whether a region may be released, that is not again soon after.
    fn may_release(&self, region: &str, now: Micros) -> bool {
        let last = self.released.get(region);
        last.is_none_or(|until| now > *until + FAILBACK_BACKOFF)
    }

    /// Whether a region is left to the peers for now.
    fn is_left_to_peers(&self, region: &str, now: Micros) -> bool {
        self.released.get(region).is_some_and(|until| now < *until)
    }

    /// Whether a region is not released to its home for now.
    fn is_failback_suspended(&self, region: &str, now: Micros) -> bool {
        let backoff = self.failback_backoffs.get(region);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// A region was acquired although its home was healthy.
    fn suspend_failback(&mut self, region: &str, now: Micros) {
        let backoff = self.failback_backoffs.entry(region.to_owned());
        let backoff = backoff.or_default();
        let doublings = backoff.times.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now + (FAILBACK_BACKOFF << doublings);
        backoff.times += 1;
    }
}

/// What is known of owners that their machines don't reach, this controller included.
#[derive(Debug, Default)]
pub(super) struct OwnerReachability {
    redirects: Redirects,
    releases: Releases,
    /// Latest notification about each owned region.
    notifications: BTreeMap<String, Notification>,
    next_notification_at: Micros,
    /// Since when this controller could answer its machines without a break.
    able_to_answer_since: Option<Micros>,
}

impl OwnerReachability {
    /// A machine of another owner's region was redirected to it.
    pub(super) fn record_redirect(&mut self, region: &str, machine: &str, now: Micros) {
        self.redirects.record(region, machine, now);
    }

    /// Whether a region that this controller released is left to its peers for now.
    pub(super) fn is_left_to_peers(&self, region: &str, now: Micros) -> bool {
        self.releases.is_left_to_peers(region, now)
    }

    /// Whether a region is not released to its home for now, since its machines didn't reach that.
    pub(super) fn is_failback_suspended(&self, region: &str, now: Micros) -> bool {
        self.releases.is_failback_suspended(region, now)
    }

    /// A region was acquired although its home was healthy: failback is suspended for a while.
    pub(super) fn suspend_failback(&mut self, region: &str, now: Micros) {
        self.releases.suspend_failback(region, now);
    }
}

impl<N: Net> Controller<N> {
    /// Whether at least half of a region's machines contact this controller.
    pub(super) fn receives_most_redirects(&self, region: &str) -> bool {
        let machines = self.cluster.recorded_machines(region) as usize;
        let redirected = self.reachability.redirects.count(region);
        redirected >= MIN_MACHINES && redirected * 2 >= machines
    }

    /// Conditions of other owners whose machines mostly contact this controller.
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

    /// Notifies owners how many of their machines contact this controller, if that is due.
    pub(super) fn notify_unreachable_owners(&mut self) {
        let now = self.cluster.now;
        if now < self.reachability.next_notification_at {
            return;
        }
        self.reachability.next_notification_at = now + NOTIFICATION_INTERVAL;
        self.reachability.redirects.expire(now);
        if !self.cluster.is_fresh() {
            // This controller could not acquire the region either.
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

    /// A peer's notification that machines of a region contact it.
    pub(super) fn on_unreachable_report(&mut self, region: String, token: u64, machines: u32) {
        let owned = self.ownership.get(&region);
        if owned.is_some_and(|owned| owned.token == token) {
            let notification = Notification {
                machines: machines as usize,
                received_at: self.cluster.now,
            };
            self.reachability.notifications.insert(region, notification);
        }
    }

    /// Releases regions whose machines reach a peer but not this controller. Not while the state
    /// service is out: nobody could acquire them then.
    pub(super) fn release_unreachable_regions(&mut self) {
        let now = self.cluster.now;
        if !self.cluster.has_authority() || !self.cluster.is_fresh() {
            self.reachability.able_to_answer_since = None;
            return;
        }
        // Guards against machines that contacted others while this controller answered nobody,
        // in an outage perhaps: they come back by themselves.
        let able_since = *self.reachability.able_to_answer_since.get_or_insert(now);
        let notifications = &mut self.reachability.notifications;
        notifications.retain(|_, n| now < n.received_at + NOTIFICATION_VALIDITY);
        if is_disabled(Safeguard::UnreachedRelease) {
            return;
        }
        for (region, version) in self.unreachable_regions(able_since) {
            log::warn!("region={region}: released, its machines reach a peer but not this owner");
            self.reachability.notifications.remove(&region);
            self.reachability.releases.on_released(&region, now);
            self.release_region(&region, version);
        }
    }

    /// Owned regions to release, with the versions of their records: at least half of their
    /// machines contact a peer, and few of them reach this controller, which has been able to
    /// answer them since `able_since`.
    fn unreachable_regions(&self, able_since: Micros) -> Vec<(String, u64)> {
        if self.reachability.notifications.is_empty() {
            return Vec::new();
        }
        let now = self.cluster.now;
        let context = self.cluster.scheduling_context(self.net.wall());
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
