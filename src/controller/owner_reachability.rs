//! Regions whose owner their workers don't reach: a controller may lose its workers alone
//! and keep the state service and its peers. Its lease stands, so nobody would take its
//! regions, and each worker's own lease runs out.
//!
//! The other controllers see it: workers that reach no owner turn to them. They tell the
//! owner how many, and an owner that itself hears from few releases the region. Nothing of
//! this carries authority: a release is the deletion of the region's record by its owner,
//! as when a region is returned to its home, and whoever takes it accounts for every
//! machine.

use super::*;
use crate::alerts::conditions::Condition;

/// For how long a worker that turned to us counts.
const REDIRECT_WINDOW: Micros = 12 * SECOND;
/// How often owners are told.
const TELL_EVERY: Micros = SECOND;
/// How old an owner's news of its unreached machines may be.
const NEWS_VALID: Micros = 3 * SECOND;
/// How long the controller that released a region leaves it to the others.
const RELEASE_PAUSE: Micros = 15 * SECOND;
/// How long a region is kept from a home that its workers didn't reach; doubled each time.
const KEEP_FROM_HOME: Micros = 60 * SECOND;
/// Most doublings of that.
const MAX_DOUBLINGS: u32 = 3;
/// A region with fewer machines is not released: too little to judge by.
const LEAST_MACHINES: usize = 2;

/// A worker that turns to us for longer than this didn't find its owner the first time.
const LASTING: Micros = 2 * SECOND;

/// When a worker turned to us.
#[derive(Debug, Clone, Copy)]
struct Redirect {
    first: Micros,
    last: Micros,
}

/// Workers of other owners' regions that turned to this controller.
#[derive(Debug, Default)]
pub(super) struct Redirects {
    /// By region and machine.
    seen: BTreeMap<String, BTreeMap<String, Redirect>>,
}

impl Redirects {
    /// A machine of this region turned to us. Machines are those on record, so there are
    /// no more of them than of these.
    pub fn note(&mut self, region: &str, machine: &str, now: Micros) {
        let machines = self.seen.entry(region.to_owned()).or_default();
        let first = Redirect {
            first: now,
            last: now,
        };
        machines.entry(machine.to_owned()).or_insert(first).last = now;
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, now: Micros) {
        for machines in self.seen.values_mut() {
            machines.retain(|_, redirect| now < redirect.last + REDIRECT_WINDOW);
        }
        self.seen.retain(|_, machines| !machines.is_empty());
    }

    /// How many machines of a region turned to us lately.
    fn count(&self, region: &str) -> usize {
        self.seen.get(region).map_or(0, BTreeMap::len)
    }

    /// How many of these did so again after they were told of their owner.
    fn lasting(&self, region: &str) -> usize {
        let machines = self.seen.get(region).into_iter().flatten();
        let lasts = |r: &Redirect| r.last > r.first + LASTING;
        machines.filter(|(_, r)| lasts(r)).count()
    }
}

/// What a peer told of our region's machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnreachedNews {
    machines: usize,
    at: Micros,
}

/// Regions that changed hands because their owner wasn't reached.
#[derive(Debug, Default)]
pub(super) struct Releases {
    /// Regions of ours that we released, and until when others may take them first.
    released: BTreeMap<String, Micros>,
    /// Regions that we took from a home that was well, until when they are kept, and how
    /// often that has happened.
    kept: BTreeMap<String, (Micros, u32)>,
}

impl Releases {
    /// Notes that we released a region.
    fn note_release(&mut self, region: &str, now: Micros) {
        self.released.insert(region.to_owned(), now + RELEASE_PAUSE);
    }

    /// Whether a region may be released, that is not again soon after.
    fn may_release(&self, region: &str, now: Micros) -> bool {
        let last = self.released.get(region);
        last.is_none_or(|until| now > *until + KEEP_FROM_HOME)
    }

    /// Whether a region is left to the others for now.
    pub fn is_left(&self, region: &str, now: Micros) -> bool {
        self.released.get(region).is_some_and(|until| now < *until)
    }

    /// Whether a region is kept from its home for now.
    pub fn is_kept(&self, region: &str, now: Micros) -> bool {
        self.kept.get(region).is_some_and(|(until, _)| now < *until)
    }

    /// Notes that a region was taken although its home was well.
    pub fn keep(&mut self, region: &str, now: Micros) {
        let (until, times) = self.kept.entry(region.to_owned()).or_default();
        *until = now + (KEEP_FROM_HOME << (*times).min(MAX_DOUBLINGS));
        *times += 1;
    }
}

impl<N: Net> Controller<N> {
    /// Whether half of a region's machines turn to this controller.
    pub(super) fn is_asked_by_most(&self, region: &str) -> bool {
        let stock = self.registry.replica.stock.get(region);
        let machines: u32 = stock.map_or(0, |kinds| kinds.values().sum());
        let count = self.redirects.count(region);
        count >= LEAST_MACHINES && count * 2 >= machines as usize
    }

    /// Owners whose workers mostly turn to this controller.
    pub(super) fn unreached_owners(&self) -> Vec<Condition> {
        let regions = self.redirects.seen.keys();
        let asked = regions.filter(|r| !self.regions.contains_key(*r) && self.is_asked_by_most(r));
        asked
            .map(|r| (r, self.redirects.lasting(r)))
            .filter(|(_, machines)| *machines >= LEAST_MACHINES)
            .map(|(r, machines)| Condition::OwnerUnreachable {
                region: r.clone(),
                machines,
            })
            .collect()
    }

    /// Tells owners how many of their machines turn to us instead.
    pub(super) fn tell_unreached(&mut self) {
        if self.now < self.tell_unreached_next {
            return;
        }
        self.tell_unreached_next = self.now + TELL_EVERY;
        self.redirects.expire(self.now);
        if !self.fresh() {
            // We could not take the region either.
            return;
        }
        let mut messages = Vec::new();
        for (region, machines) in &self.redirects.seen {
            let record = self.registry.replica.regions.get(region);
            let Some(owner) = record.map(|r| &r.value) else {
                continue;
            };
            let Some(peer) = self.peer_with_extensions(&owner.owner) else {
                continue;
            };
            let message = Message::OwnerUnreachable {
                region: region.clone(),
                token: owner.token,
                machines: machines.len() as u32,
            };
            messages.push((peer, peer_protocol::encode(&message)));
        }
        for (peer, bytes) in messages {
            self.reactor.send(peer, &bytes);
        }
    }

    /// A peer tells that machines of a region turn to it.
    pub(super) fn on_unreached(&mut self, region: String, token: u64, machines: u32) {
        let ours = self.regions.get(&region).is_some_and(|r| r.token == token);
        if ours {
            let news = UnreachedNews {
                machines: machines as usize,
                at: self.now,
            };
            self.unreached.insert(region, news);
        }
    }

    /// Releases regions whose machines reach a peer and not us. Not while the state
    /// service doesn't answer us: nobody could be told; and not again soon after.
    pub(super) fn release_unreached(&mut self) {
        let now = self.now;
        if !self.authority() || !self.fresh() {
            self.able_since = None;
            return;
        }
        // Guards against machines that turned elsewhere while we answered nobody, in an
        // outage perhaps: they come back by themselves.
        let able_since = *self.able_since.get_or_insert(now);
        self.unreached.retain(|_, news| now < news.at + NEWS_VALID);
        let off = is_disabled(Safeguard::UnreachedRelease);
        if off || self.unreached.is_empty() {
            return;
        }
        let context = context!(self);
        let release: Vec<(String, u64)> = self
            .unreached
            .iter()
            .filter_map(|(name, news)| Some((self.regions.get(name)?, news)))
            .filter(|(r, news)| {
                let opened = r.activated_machines();
                opened >= LEAST_MACHINES
                    && news.machines * 2 >= opened
                    && r.hears_from_few(able_since, &context)
            })
            .filter(|(r, _)| self.releases.may_release(&r.name, now))
            .map(|(r, _)| (r.name.clone(), r.version))
            .collect();
        for (name, version) in release {
            log::warn!("node: region {name}: released, its machines reach a peer and not us");
            // From here on nothing is commanded for it, whatever becomes of the commit.
            self.regions.remove(&name);
            self.unreached.remove(&name);
            self.releases.note_release(&name, now);
            self.give_up(name, version);
        }
    }
}

#[cfg(test)]
mod tests;
