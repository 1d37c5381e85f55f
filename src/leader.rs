//! The first level: the leader binds each job to the region with the fewest
//! unfinished jobs, deals machines to regions, rents them, and has waiting
//! tasks moved to where there is room.
//!
//! The leader is fenced by its record alone: every write names it as condition.
//! One that is overtaken can at worst rent a machine too many.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::fleet::{offers, Fleet, FleetEvent, Listed, Offer, Refusals};
use crate::mesh::{Message, RegionReport};
use crate::model::{Flavor, JobSpec, Kind};
use crate::region::{narrow_type, waiting_spans, NarrowMemory, View};
use crate::registry::records::{value, JobRecord, Joint, Key, LotRecord, Part, LOT};
use crate::registry::replica::Versioned;
use crate::registry::{Txn, Urgency};
use crate::units::{to_secs, Micros, MILLI, SECOND};

/// What the leader wants done.
#[derive(Debug)]
pub enum Effect {
    /// Commit this; the keys name what it is about.
    Commit(Txn, Urgency, Vec<Key>),
    /// Tell a region's owner.
    Tell(Message),
}

/// A region's report and when it came.
pub type Reports = BTreeMap<String, (RegionReport, Micros)>;

/// Machines rented and not yet in their region's report.
struct Coming {
    offer: Offer,
    region: String,
    count: usize,
    names: Vec<String>,
    since: Micros,
    /// When their record was made.
    recorded: Option<Micros>,
}

/// A term of leading.
pub struct Leader {
    /// Revision of the leader's record: this term's name.
    pub mark: u64,
    began: Micros,
    counter: u64,
    writing: BTreeSet<Key>,
    coming: BTreeMap<String, Coming>,
    refusals: Refusals,
    narrow: NarrowMemory,
    moved: BTreeMap<String, Micros>,
    gone: BTreeMap<String, Micros>,
    odd: BTreeMap<String, Micros>,
    rooms: Vec<Room>,
    next_plan: Micros,
    next_list: Micros,
    last_list: Micros,
    next_flavors: Micros,
    next_close: Micros,
    /// Processors in use by work that fits many types, smoothed over time.
    usual: f64,
    /// The work that came in lately, and how much of what jobs' owners say is true.
    inflow: Inflow,
    truth: f64,
    /// Processors below which more are rented for such work that waits, and above
    /// which some are closed.
    target: f64,
    keep: f64,
    /// What a job of such work takes, smoothed over jobs.
    job_size: f64,
    out: Vec<Effect>,
}

/// Room on machines that are alike, while planning.
#[derive(Debug, Clone)]
struct Room {
    region: String,
    flavor: String,
    zone: String,
    spot: bool,
    free: (u64, u64, u64),
    cap: (u64, u64, u64),
    live: bool,
    kept: Option<(u64, u64, u64)>,
    /// How many there are.
    all: f64,
    /// How many are not spoken for yet; parts of machines are, while planning.
    machines: f64,
}

impl Room {
    /// How many tasks of a job one of the machines takes now.
    fn each(&self, s: &JobSpec, narrow: bool) -> u64 {
        self.takes_in(self.free, s, narrow)
    }

    /// How many tasks of a job they all take now.
    fn takes(&self, s: &JobSpec, narrow: bool) -> u64 {
        (self.each(s, narrow) as f64 * self.machines + 1e-6) as u64
    }

    /// How many they would take with nothing else on them.
    fn at_most(&self, s: &JobSpec, narrow: bool) -> u64 {
        (self.takes_in(self.cap, s, narrow) as f64 * self.all + 1e-6) as u64
    }

    fn takes_in(&self, mut free: (u64, u64, u64), s: &JobSpec, narrow: bool) -> u64 {
        if !s.permits(&self.flavor, &self.zone, self.spot) {
            return 0;
        }
        if let (Some(k), false, false) = (self.kept, narrow, self.spot) {
            free.0 = free.0.min(self.cap.0.saturating_sub(k.0));
            free.1 = free.1.min(self.cap.1.saturating_sub(k.1));
            free.2 = free.2.min(self.cap.2.saturating_sub(k.2));
        }
        s.count_in(free)
    }

    /// Speaks for up to `n` tasks' room; returns for how many it was there.
    fn take(&mut self, s: &JobSpec, narrow: bool, n: u64) -> u64 {
        let n = n.min(self.takes(s, narrow));
        let each = self.each(s, narrow);
        if n > 0 && each > 0 {
            self.machines = (self.machines - n as f64 / each as f64).max(0.0);
        }
        n
    }

    /// Processors that work of the one or the other kind may use, in all.
    fn processors(&self, narrow: bool) -> f64 {
        let cap = match (narrow, self.kept, self.spot) {
            (false, Some(k), false) => self.cap.0.saturating_sub(k.0),
            _ => self.cap.0,
        };
        cap as f64 * self.all
    }
}

struct Wait {
    id: String,
    region: String,
    spec: Rc<JobSpec>,
    count: u64,
    since: Micros,
    narrow: Option<String>,
    /// Its team's limit is used up.
    short: bool,
}

impl Wait {
    fn whole(&self) -> bool {
        keeps_together(&self.spec)
    }
}

/// Whether a job's tasks stay in one region as long as one can hold them.
fn keeps_together(s: &JobSpec) -> bool {
    s.kind == Kind::Gang || s.one_zone || s.spread
}

/// Work that came in over the last while, in slices.
struct Inflow {
    since: Micros,
    slices: std::collections::VecDeque<(Micros, f64)>,
}

impl Inflow {
    /// How far it looks back.
    const WINDOW: Micros = 90 * SECOND;
    /// What comes in right at the beginning has piled up before.
    const PILE: Micros = 12 * SECOND;
    /// Too little to go by until then.
    const LEAST: Micros = 20 * SECOND;

    fn new(now: Micros) -> Self {
        Inflow {
            since: now + Self::PILE,
            slices: std::collections::VecDeque::new(),
        }
    }

    /// Enters a job's work, processors times time, with when it was submitted:
    /// that it is bound may come much later when all come at once.
    fn add(&mut self, work: f64, at: Micros) {
        if at < self.since {
            return;
        }
        match self.slices.back_mut() {
            Some((t, sum)) if at < *t + SECOND => *sum += work,
            _ => self.slices.push_back((at, work)),
        }
    }

    /// Work a time: how many processors it keeps busy.
    fn rate(&mut self, now: Micros) -> Option<f64> {
        let from = now.saturating_sub(Self::WINDOW);
        while self.slices.front().is_some_and(|(at, _)| *at < from) {
            self.slices.pop_front();
        }
        let span = now.saturating_sub(self.since.max(from));
        let sum: f64 = self.slices.iter().map(|(_, w)| w).sum();
        (span >= Self::LEAST).then(|| sum / span as f64)
    }
}

impl Leader {
    /// A term that begins with the leader's record at this revision.
    pub fn new(mark: u64, v: &View<'_>) -> Self {
        let mut l = Leader {
            mark,
            began: v.now,
            counter: 0,
            writing: BTreeSet::new(),
            coming: BTreeMap::new(),
            refusals: Refusals::default(),
            narrow: NarrowMemory::default(),
            moved: BTreeMap::new(),
            gone: BTreeMap::new(),
            odd: BTreeMap::new(),
            rooms: Vec::new(),
            next_plan: 0,
            next_list: v.now + 20 * SECOND,
            last_list: 0,
            next_flavors: 0,
            next_close: v.now + 5 * SECOND,
            usual: 0.0,
            inflow: Inflow::new(v.now),
            truth: 1.0,
            target: 0.0,
            keep: 0.0,
            job_size: 0.0,
            out: Vec::new(),
        };
        for (_, _, s) in v.replica.open_jobs() {
            l.narrow.note(s, v.replica, v.now);
        }
        l
    }

    /// Queues changes of records that are not being written, as few transactions
    /// as their size allows; each names our own record and the ones it changes.
    fn commit(
        &mut self,
        changes: Vec<(Key, u64, serde_json::Value)>,
        urgency: Urgency,
        v: &View<'_>,
    ) {
        let fresh: Vec<_> = changes
            .into_iter()
            .filter(|(k, ..)| !self.writing.contains(k))
            .collect();
        for chunk in fresh.chunks(v.settings.txn_ops.min(8)) {
            let mut when = vec![(Key::Leader, self.mark)];
            when.extend(chunk.iter().map(|(k, m, _)| (k.clone(), *m)));
            let keys: Vec<Key> = chunk.iter().map(|(k, ..)| k.clone()).collect();
            self.writing.extend(keys.iter().cloned());
            let txn = Txn {
                when,
                apply: chunk
                    .iter()
                    .map(|(k, _, val)| (k.clone(), Some(val.clone())))
                    .collect(),
                lease: None,
            };
            self.out.push(Effect::Commit(txn, urgency, keys));
        }
    }

    /// Whether the cloud has refused something lately.
    pub fn refused(&self, now: Micros) -> bool {
        self.refusals.any(now)
    }

    /// A commit of ours ended, one way or the other.
    pub fn concluded(&mut self, keys: &[Key], done: bool, now: Micros) {
        for key in keys {
            self.writing.remove(key);
            if let Key::Lot(l) = key {
                if done {
                    if let Some(c) = self.coming.get_mut(l) {
                        c.recorded = Some(now);
                    }
                } else {
                    self.coming.remove(l);
                }
            }
        }
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// A machine's record went away.
    pub fn machine_gone(&mut self, name: &str, now: Micros) {
        self.gone.insert(name.to_owned(), now);
    }

    // --- Binding -------------------------------------------------------------

    /// Puts on record that jobs were cancelled along with those that they need. Everybody
    /// derives it from the records, so nothing hangs on when this comes: it is for the
    /// versions before 0.3, should one ever be brought back, and for the index.
    fn write_cancelled_upstream(&mut self, v: &View<'_>) {
        const AT_ONCE: usize = 4;
        let ids = v.replica.pipelines.cancelled_upstream().iter();
        let ids = ids.filter(|id| !self.writing.contains(&Key::Job((*id).clone())));
        let changes: Vec<_> = ids
            .take(AT_ONCE)
            .filter_map(|id| {
                let r = v.replica.jobs.get(id)?;
                Some((Key::Job(id.clone()), r.mark, value(&r.value.cancelled())))
            })
            .collect();
        if !changes.is_empty() {
            self.commit(changes, Urgency::Later, v);
        }
    }

    /// Binds every job that is not bound yet.
    pub fn bind(&mut self, v: &View<'_>) {
        self.write_cancelled_upstream(v);
        if v.replica.unbound.is_empty() {
            return;
        }
        let mut unbound: Vec<_> = v
            .replica
            .unbound
            .iter()
            .filter(|id| !self.writing.contains(&Key::Job((*id).clone())))
            .filter_map(|id| {
                let r = v.replica.jobs.get(id)?;
                Some((r.value.open()?.clone(), id, r))
            })
            .collect();
        if unbound.is_empty() {
            return;
        }
        unbound.sort_by_key(|(s, id, _)| (s.submitted, (*id).clone()));
        let mut level_one: BTreeMap<String, u32> = v
            .settings
            .regions()
            .into_iter()
            .map(|r| {
                let n = v.replica.level_one.get(&r).copied().unwrap_or(0);
                (r, n)
            })
            .collect();
        let mut changes = Vec::new();
        for (spec, id, rec) in unbound {
            self.narrow.note(&spec, v.replica, v.now);
            let narrow = narrow_type(&spec, v.replica);
            if narrow.is_none() {
                let size = spec.cpus as f64 * spec.tasks as f64;
                let ago = v.wall.saturating_sub(spec.submitted);
                self.inflow
                    .add(size * spec.estimate as f64, v.now.saturating_sub(ago));
                self.job_size += (size - self.job_size) * 0.1;
            }
            let bound = match self.joint(&spec, narrow.is_some(), v) {
                Some((parts, joint)) => {
                    log::info!("leader: {id}: too large for a region, over several: {parts:?}");
                    JobRecord {
                        parts,
                        joint: Some(joint),
                        ..rec.value.clone()
                    }
                }
                None => {
                    let region = self.choose_region(&spec, narrow.as_deref(), &level_one, v);
                    let Some(region) = region else { continue };
                    *level_one.entry(region.clone()).or_default() += 1;
                    log::debug!("leader: {id}: bound to {region}");
                    JobRecord {
                        parts: vec![Part(0, spec.tasks, region)],
                        joint: None,
                        ..rec.value.clone()
                    }
                }
            };
            changes.push((Key::Job(id.clone()), rec.mark, value(&bound)));
        }
        self.commit(changes, Urgency::Next, v);
    }

    /// How many tasks of a job a region's machines take, in the zone where they
    /// take the most if they must be together.
    fn in_region(&self, s: &JobSpec, region: &str, of: impl Fn(&Room) -> u64) -> u64 {
        let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for r in self.rooms.iter().filter(|r| r.region == region) {
            *by_zone.entry(&r.zone).or_default() += of(r);
        }
        if s.one_zone {
            by_zone.into_values().max().unwrap_or(0)
        } else if s.spread {
            let half = s.tasks.div_ceil(2) as u64;
            by_zone.into_values().map(|n| n.min(half)).sum()
        } else {
            by_zone.into_values().sum()
        }
    }

    fn choose_region(
        &mut self,
        s: &JobSpec,
        narrow: Option<&str>,
        level_one: &BTreeMap<String, u32>,
        v: &View<'_>,
    ) -> Option<String> {
        let is_narrow = narrow.is_some();
        let need = if keeps_together(s) { s.tasks as u64 } else { 1 };
        let mut now = BTreeSet::new();
        let mut able = BTreeSet::new();
        for r in level_one.keys() {
            if self.in_region(s, r, |x| if x.live { x.takes(s, is_narrow) } else { 0 }) >= need {
                now.insert(r.clone());
            }
            let stock = v.replica.stock.get(r).is_some_and(|kinds| {
                kinds.keys().any(|(f, z, spot)| {
                    v.replica
                        .flavors
                        .get(f)
                        .is_some_and(|f| s.allows(&f.value, z, *spot))
                })
            });
            let holds = |x: &Room| x.at_most(s, is_narrow);
            if stock && (need == 1 || self.in_region(s, r, holds) >= need) {
                able.insert(r.clone());
            }
        }
        if keeps_together(s) {
            // Where the cloud would bring what it needs.
            for o in offers(&v.replica.flavors) {
                let f = v.replica.flavors.get(&o.flavor).map(|f| &f.value);
                if f.is_some_and(|f| s.allows(f, &o.zone, o.spot))
                    && !self.refusals.closed(&o, v.now)
                {
                    able.insert(self.home_for(&o, v));
                }
            }
        }
        let owned = |r: &String| v.replica.regions.contains_key(r);
        let best = |filter: &dyn Fn(&String) -> bool| {
            level_one
                .iter()
                .filter(|(r, _)| filter(r))
                .min_by_key(|(_, n)| **n)
                .map(|(r, _)| r.clone())
        };
        let region = if keeps_together(s) {
            best(&|r| owned(r) && now.contains(r))
                .or_else(|| best(&|r| owned(r) && able.contains(r)))
        } else {
            best(&|r| owned(r) && able.contains(r))
        };
        let region = region
            .or_else(|| best(&|r| owned(r)))
            .or_else(|| best(&|_| true))?;
        if keeps_together(s) {
            let mut left = s.tasks as u64;
            for r in self
                .rooms
                .iter_mut()
                .filter(|r| r.region == region && r.live)
            {
                left -= r.take(s, is_narrow, left);
            }
        }
        Some(region)
    }

    /// The parts of a gang that no region can hold, if several together can and
    /// the cloud has no more: tasks by region, and what they have in common.
    fn joint(&mut self, s: &JobSpec, narrow: bool, v: &View<'_>) -> Option<(Vec<Part>, Joint)> {
        if s.kind != Kind::Gang || s.tasks < 2 || v.now < self.began + 2 * SECOND {
            return None;
        }
        let regions = v.settings.regions();
        let n = s.tasks as u64;
        let most = |r: &Room| r.at_most(s, narrow);
        if regions.iter().any(|r| self.in_region(s, r, most) >= n) {
            return None;
        }
        let for_rent = offers(&v.replica.flavors).into_iter().any(|o| {
            let f = v.replica.flavors.get(&o.flavor).map(|f| &f.value);
            f.is_some_and(|f| s.allows(f, &o.zone, o.spot)) && !self.refusals.closed(&o, v.now)
        });
        if for_rent {
            return None;
        }
        let mut by_zone: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for r in &self.rooms {
            let m = most(r);
            if m > 0 && v.replica.regions.contains_key(&r.region) {
                let zone = by_zone.entry(&r.zone).or_default();
                *zone.entry(&r.region).or_default() += m;
            }
        }
        let half = s.tasks.div_ceil(2) as u64;
        let mut share: BTreeMap<&str, u64> = BTreeMap::new();
        let mut zone = None;
        if s.one_zone {
            let (z, rs) = by_zone
                .iter()
                .max_by_key(|(_, rs)| rs.values().sum::<u64>())?;
            zone = Some((*z).to_owned());
            share.extend(rs);
        } else {
            // Of each zone no more than its half, if it must be spread; the regions
            // see to that among their own machines.
            for rs in by_zone.values() {
                let mut left = if s.spread { half } else { n };
                for (r, m) in rs {
                    let take = left.min(*m);
                    left -= take;
                    *share.entry(r).or_default() += take;
                }
            }
        }
        // As few regions as will do.
        let mut share: Vec<(u64, &str)> = share.into_iter().map(|(r, m)| (m, r)).collect();
        share.sort_unstable_by(|a, b| b.cmp(a));
        let mut parts = Vec::new();
        let mut at = 0u32;
        for (m, r) in share {
            let take = (m.min(n - at as u64)) as u32;
            if take > 0 {
                parts.push(Part(at, at + take, r.to_owned()));
                at += take;
            }
        }
        if at < s.tasks || parts.len() > 12 || (s.spread && parts.len() > 1) {
            // A spread gang over several regions would need one bound per zone over
            // all of them: it waits for a region that can hold it.
            return None;
        }
        Some((parts, Joint(self.next_attempt(), zone)))
    }

    /// An attempt that no owner and no other term ever uses.
    fn next_attempt(&mut self) -> u64 {
        self.counter += 1;
        (1 << 62) | (self.mark << 20) | (self.counter & 0xf_ffff)
    }

    /// Gangs over several regions: started once all parts have room, given another
    /// attempt when one failed, bound anew when a part was given back. All of it
    /// follows from the records and the regions' last reports, so that a new leader
    /// goes on where the last one ended.
    fn lead_joint(&mut self, v: &View<'_>, reports: &Reports) {
        let mut changes = Vec::new();
        for id in &v.replica.joint {
            let Some(rec) = v.replica.jobs.get(id) else {
                continue;
            };
            let Some(Joint(attempt, zone)) = &rec.value.joint else {
                continue;
            };
            let parts = &rec.value.parts;
            let given_up = parts.iter().any(|p| p.2.is_empty());
            let (mut ready, mut idle, mut stuck) = (true, true, false);
            for Part(a, b, region) in parts {
                let Some((r, _)) = reports.get(region) else {
                    (ready, idle) = (false, false);
                    continue;
                };
                let has_room = r.ready.iter().any(|(j, n)| j == id && n == attempt);
                let wait = r.waits.iter().find(|w| w.job == *id);
                let waits = wait.is_some_and(|w| w.waiting == b - a);
                ready &= has_room;
                idle &= has_room || waits;
                stuck |= wait.is_some_and(|w| w.stuck);
                if waits && (given_up || wait.is_some_and(|w| w.since_us > PART_PATIENCE)) {
                    self.out.push(Effect::Tell(Message::Move {
                        job: id.clone(),
                        from: region.clone(),
                        to: String::new(),
                        count: b - a,
                    }));
                }
            }
            if given_up {
                continue;
            }
            if ready {
                for Part(_, _, region) in parts {
                    self.out.push(Effect::Tell(Message::Go {
                        job: id.clone(),
                        attempt: *attempt,
                        region: region.clone(),
                    }));
                }
            } else if idle && stuck {
                changes.push((id.clone(), rec, zone.clone()));
            }
        }
        let changes = changes
            .into_iter()
            .map(|(id, rec, zone)| {
                let joint = Some(Joint(self.next_attempt(), zone));
                log::info!("leader: {id}: tried in vain, another attempt");
                let new = JobRecord {
                    joint,
                    ..rec.value.clone()
                };
                (Key::Job(id), rec.mark, value(&new))
            })
            .collect();
        self.commit(changes, Urgency::Next, v);
    }

    // --- Dealing -------------------------------------------------------------

    /// The region that machines of an offer are dealt to. A type that some jobs
    /// depend on is kept together by zone as far as the largest gang asks; all
    /// others go where there is least, near home first, so that a zone that is cut
    /// off still has an owner inside.
    fn home_for(&self, offer: &Offer, v: &View<'_>) -> String {
        let regions = v.settings.regions();
        let flavor = |name: &str| v.replica.flavors.get(name).map(|f| &f.value);
        let scarce = !offer.spot
            && (self.narrow.kept_for(&offer.flavor, v.now).is_some()
                || flavor(&offer.flavor).is_some_and(|f| {
                    v.replica.flavors.len() > 1
                        && v.replica.flavors.values().all(|o| {
                            o.value.name == f.name
                                || (o.value.cpus < f.cpus
                                    || o.value.mem < f.mem
                                    || o.value.gpus < f.gpus)
                        })
                }));
        let mut load: BTreeMap<&str, f64> = regions.iter().map(|r| (r.as_str(), 0.0)).collect();
        let mut same: BTreeMap<&str, u32> = BTreeMap::new();
        let mut all = 0;
        let mut add = |region: &str, kind: (&str, &str, bool), n: u32| {
            let Some((r, l)) = load.iter_mut().find(|(r, _)| **r == region) else {
                return;
            };
            all += n;
            if let Some(f) = flavor(kind.0) {
                let kept = self.narrow.kept_for(kind.0, v.now).filter(|_| !kind.2);
                let cpus = f.cpus.saturating_sub(kept.map_or(0, |k| k.0));
                *l += cpus as f64 * n as f64;
            }
            if kind.0 == offer.flavor && kind.1 == offer.zone && kind.2 == offer.spot {
                *same.entry(r).or_default() += n;
            }
        };
        for (region, kinds) in &v.replica.stock {
            for ((f, z, spot), n) in kinds {
                add(region, (f, z, *spot), *n);
            }
        }
        for c in self.coming.values().filter(|c| c.recorded.is_none()) {
            let o = &c.offer;
            add(&c.region, (&o.flavor, &o.zone, o.spot), c.count as u32);
        }
        if scarce {
            let most = (4 * self.narrow.largest(&offer.flavor))
                .max(all / regions.len() as u32)
                .max(8);
            let together = same
                .iter()
                .filter(|(r, n)| **n < most && v.replica.regions.contains_key(**r))
                .max_by_key(|(_, n)| **n);
            if let Some((r, _)) = together {
                return (*r).to_owned();
            }
        }
        let zone_of = |r: &str| {
            if r == v.settings.name {
                return v.settings.zone.as_str();
            }
            let peer = v.settings.peers.iter().find(|p| p.name == r);
            peer.map_or("", |p| p.zone.as_str())
        };
        let least = |near: bool| {
            load.iter()
                .filter(|(r, _)| !near || zone_of(r) == offer.zone)
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|(r, l)| ((*r).to_owned(), *l))
        };
        let mean = load.values().sum::<f64>() / load.len().max(1) as f64;
        let lot = flavor(&offer.flavor).map_or(0.0, |f| f.cpus as f64) * 10.0;
        match (least(true), least(false)) {
            (Some((r, l)), _) if scarce || l <= mean * 1.25 + lot => r,
            (_, Some((r, _))) => r,
            _ => v.settings.name.clone(),
        }
    }

    /// Gives machines of one offer a record, in lots.
    fn deal(&mut self, offer: &Offer, names: &[String], region: &str, v: &View<'_>) {
        let mut changes = Vec::new();
        for (i, chunk) in names.chunks(LOT).enumerate() {
            self.counter += 1;
            let id = format!("{}-{}-{}", v.settings.name, self.mark, self.counter);
            log::info!(
                "leader: lot {id}: {} {} in {}{} dealt to {region}, from {}",
                chunk.len(),
                offer.flavor,
                offer.zone,
                if offer.spot { ", spot" } else { "" },
                chunk[0]
            );
            let rec = LotRecord {
                region: region.to_owned(),
                flavor: offer.flavor.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                machines: chunk.to_vec(),
            };
            self.coming.insert(
                id.clone(),
                Coming {
                    offer: offer.clone(),
                    region: region.to_owned(),
                    count: chunk.len(),
                    names: chunk.to_vec(),
                    since: v.now + i as Micros,
                    recorded: None,
                },
            );
            changes.push((Key::Lot(id), 0, value(&rec)));
        }
        self.commit(changes, Urgency::Next, v);
    }

    /// A machine that has no record reports. That alone brings nothing into being:
    /// it may be a late copy from a machine that is long gone. The cloud's list
    /// says, and is asked for soon.
    pub fn stranger(&mut self, v: &View<'_>) {
        let wait = if v.replica.machines.is_empty() { 1 } else { 4 };
        self.next_list = self
            .next_list
            .min((self.last_list + wait * SECOND).max(v.now));
    }

    /// Takes what the cloud answered.
    pub fn on_fleet(&mut self, ev: &FleetEvent, v: &View<'_>) {
        match ev {
            FleetEvent::Flavors(list) => {
                let changes = list
                    .iter()
                    .filter_map(|f| {
                        let known = v.replica.flavors.get(&f.name);
                        known.is_none_or(|k| differs(k, f)).then(|| {
                            let mark = known.map_or(0, |k| k.mark);
                            (Key::Flavor(f.name.clone()), mark, value(f))
                        })
                    })
                    .collect();
                self.commit(changes, Urgency::Next, v);
            }
            FleetEvent::Rented(offer, region, names, asked) => {
                log::info!(
                    "leader: rented {} of {asked} {} in {}{} for {region}",
                    names.len(),
                    offer.flavor,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" }
                );
                if (names.len() as u32) < *asked {
                    self.refusals.refused(offer, v.now);
                } else {
                    self.refusals.filled(offer);
                }
                self.deal(offer, names, region, v);
            }
            FleetEvent::NoCapacity(offer) => {
                log::info!(
                    "leader: no capacity for {} in {}{}",
                    offer.flavor,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" }
                );
                self.refusals.refused(offer, v.now);
            }
            FleetEvent::Listed(list) => self.on_list(list, v),
            FleetEvent::Down | FleetEvent::Released(_) => {}
        }
    }

    /// Machines that nobody knows: there before us, or rented by a request that was
    /// carried out late. They are dealt like any other and used, or returned when
    /// idle.
    fn on_list(&mut self, list: &[Listed], v: &View<'_>) {
        // Records that can't be read may name them.
        if !v.replica.unreadable.is_empty() {
            return;
        }
        let keep = (4 * v.settings.list_lag).max(120 * SECOND);
        self.gone.retain(|_, at| v.now < *at + keep);
        let cold = v.replica.machines.is_empty() && v.replica.rolls.is_empty();
        let pending: BTreeSet<&String> = self.coming.values().flat_map(|c| &c.names).collect();
        let mut odd = BTreeMap::new();
        let mut todo: BTreeMap<Offer, Vec<String>> = BTreeMap::new();
        for m in list {
            if m.failed
                || v.replica.machines.contains_key(&m.name)
                || pending.contains(&m.name)
                || self.gone.contains_key(&m.name)
            {
                continue;
            }
            let since = self.odd.get(&m.name).copied().unwrap_or(v.now);
            odd.insert(m.name.clone(), since);
            // The list is late: only what stays odd is odd. When there never was a
            // record of any machine, there is none that could be gone.
            let sure = v.now > since + 2 * v.settings.list_lag && m.age > 2 * v.settings.list_lag;
            if sure || cold {
                todo.entry(m.offer.clone())
                    .or_default()
                    .push(m.name.clone());
            }
        }
        self.odd = odd;
        for (offer, names) in todo {
            // Some at a time, so that those of a type that nothing depends on are
            // spread over the regions.
            for some in names.chunks(8) {
                let region = self.home_for(&offer, v);
                self.deal(&offer, some, &region, v);
            }
        }
        if !self.odd.is_empty() {
            self.next_list = self.next_list.min(v.now + v.settings.list_lag);
        }
    }

    // --- Planning ------------------------------------------------------------

    /// Regular work. Returns when to look again.
    pub fn tick(&mut self, v: &View<'_>, reports: &Reports, fleet: &mut Fleet) -> Micros {
        self.bind(v);
        if v.now >= self.next_flavors {
            fleet.ask_flavors();
            let known = !v.replica.flavors.is_empty();
            self.next_flavors = v.now + if known { 60 * SECOND } else { SECOND };
        }
        if v.now >= self.next_list {
            self.next_list = v.now + 30 * SECOND;
            self.last_list = v.now;
            fleet.ask_list();
        }
        if v.now >= self.next_plan {
            self.next_plan = v.now + 400 * MILLI;
            self.plan(v, reports, fleet);
        }
        self.next_plan.min(self.next_list)
    }

    fn look_at_rooms(&mut self, v: &View<'_>, reports: &Reports, fleet: &Fleet) {
        let narrow = &self.narrow;
        let room = |region: &str, flavor: &str, zone: &str, spot, free, live, n: f64| {
            let f = &v.replica.flavors.get(flavor)?.value;
            let cap = (f.cpus, f.gpus, f.mem);
            Some(Room {
                region: region.to_owned(),
                flavor: flavor.to_owned(),
                zone: zone.to_owned(),
                spot,
                free: if live { free } else { cap },
                cap,
                live,
                kept: narrow.kept_for(flavor, v.now),
                all: n,
                machines: n,
            })
        };
        let mut rooms = Vec::new();
        for (r, _) in reports.values() {
            for l in &r.rooms {
                let n = l.machines as f64;
                rooms.extend(room(
                    &r.region, &l.flavor, &l.zone, l.spot, l.free, l.live, n,
                ));
            }
        }
        // What a region's report can't show yet.
        self.coming.retain(|_, c| {
            let told = reports
                .get(&c.region)
                .is_some_and(|(_, at)| c.recorded.is_some_and(|r| *at > r + 500 * MILLI));
            !told && v.now < c.since + 30 * SECOND
        });
        for c in self.coming.values() {
            let o = &c.offer;
            let n = c.count as f64;
            rooms.extend(room(
                &c.region,
                &o.flavor,
                &o.zone,
                o.spot,
                (0, 0, 0),
                false,
                n,
            ));
        }
        for (o, region, n) in fleet.renting() {
            let n = n as f64;
            rooms.extend(room(
                &region,
                &o.flavor,
                &o.zone,
                o.spot,
                (0, 0, 0),
                false,
                n,
            ));
        }
        self.rooms = rooms;
    }

    fn plan(&mut self, v: &View<'_>, reports: &Reports, fleet: &mut Fleet) {
        self.moved.retain(|_, at| v.now < *at + 2 * SECOND);
        self.look_at_rooms(v, reports, fleet);
        self.lead_joint(v, reports);
        let mut waits: Vec<Wait> = Vec::new();
        for (r, at) in reports.values() {
            if v.now > at + 3 * SECOND {
                continue;
            }
            for w in &r.waits {
                let Some(rec) = v.replica.jobs.get(&w.job) else {
                    continue;
                };
                let Some(spec) = rec.value.open() else {
                    continue;
                };
                if rec.value.joint.is_some() {
                    continue;
                }
                self.narrow.note(spec, v.replica, v.now);
                waits.push(Wait {
                    id: w.job.clone(),
                    region: r.region.clone(),
                    spec: spec.clone(),
                    count: w.waiting as u64,
                    since: w.since_us,
                    narrow: narrow_type(spec, v.replica),
                    short: r.short.iter().any(|(t, _)| *t == spec.team),
                });
            }
        }
        self.look_at_demand(v, &waits, reports);
        self.close_surplus(v);
        let mut rooms = self.rooms.clone();
        self.move_waiting(v, &mut waits, &mut rooms);
        if v.now > self.began + SECOND {
            self.rent(v, &waits, &mut rooms, fleet);
        }
        self.rooms = rooms;
    }

    /// Follows how many processors work that fits many types takes, and what should
    /// be there for it: what is usual and some more, and enough to get through what
    /// waits within the horizon.
    fn look_at_demand(&mut self, v: &View<'_>, waits: &[Wait], reports: &Reports) {
        // Owners' estimates may be off by half, all in one direction: what finished
        // lately tells. Little of it says nothing.
        let sum = |of: fn(&RegionReport) -> f64| reports.values().map(|(r, _)| of(r)).sum::<f64>();
        let (said, took) = (sum(|r| r.said), sum(|r| r.took));
        if said > 20.0 * SECOND as f64 * self.job_size {
            self.truth = (took / said).clamp(0.3, 3.0);
        }
        let wide = || self.rooms.iter().filter(|r| r.processors(false) > 0.0);
        let used: f64 = wide()
            .filter(|r| r.live && (r.spot || r.kept.is_none()))
            .map(|r| (r.cap.0 - r.free.0) as f64 * r.all)
            .sum();
        if self.usual == 0.0 {
            self.usual = used;
        }
        self.usual += (used - self.usual) * 0.04;
        let mut backlog = 0.0;
        for w in waits.iter().filter(|w| w.narrow.is_none() && !w.whole()) {
            // No more than all at once.
            let span = self.truth * w.spec.estimate.max(SECOND) as f64;
            let part = span / horizon(&w.spec, v) as f64;
            backlog += (w.count * w.spec.cpus) as f64 * part.min(1.0);
        }
        // What came in lately is what will be needed.
        let came = self.inflow.rate(v.now);
        let flow = came.map_or(self.usual, |c| c * self.truth);
        // More stays than would be rented, so that machines don't come and go with
        // every burst: each that goes cost a minute at least.
        self.target = flow + backlog;
        self.keep = flow * (1.0 + v.settings.operator.headroom) + self.job_size + backlog;
    }

    /// Has machines closed that all regions together can do without: of those
    /// that leave enough the dearest by what a processor costs, emptier ones first.
    fn close_surplus(&mut self, v: &View<'_>) {
        // Guards against a new leader that knows of no demand yet, in the middle of a
        // burst perhaps: what it closed would be rented anew a little later.
        if v.now < self.next_close {
            return;
        }
        let Some(came) = self.inflow.rate(v.now) else {
            return;
        };
        let open = || self.rooms.iter().filter(|r| r.spot || r.kept.is_none());
        let cap: f64 = open().map(|r| r.processors(false)).sum();
        let mut spare = cap - self.keep;
        let mut vain: Vec<(f64, &Room)> = open()
            .filter(|r| r.live)
            .filter_map(|r| {
                let price = v.replica.flavors.get(&r.flavor)?.value.per_cpu(r.spot);
                Some((price * (0.5 + r.free.0 as f64 / r.cap.0.max(1) as f64), r))
            })
            .collect();
        vain.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Some at a time, so that what follows from it is seen before the next.
        let machines: f64 = open().map(|r| r.all).sum();
        let mut most = (machines / 20.0).max(1.0);
        let mut closing: BTreeMap<(&str, &str, &str, bool), u32> = BTreeMap::new();
        for (_, r) in vain {
            let each = r.cap.0.max(1) as f64;
            let count = (spare / each).floor().min(r.all).min(most.floor());
            if count >= 1.0 {
                spare -= count * each;
                most -= count;
                let kind = (&*r.region, &*r.flavor, &*r.zone, r.spot);
                *closing.entry(kind).or_default() += count as u32;
            }
        }
        if closing.is_empty() {
            return;
        }
        self.next_close = v.now + 500 * MILLI;
        log::debug!(
            "leader: {} machines not needed, {:.0} processors up, {:.0} enough, {:.0} in use, {:.0} asked for, of which {:.2} true",
            closing.values().sum::<u32>(),
            cap / 1e6,
            self.keep / 1e6,
            self.usual / 1e6,
            came / 1e6,
            self.truth
        );
        for ((region, flavor, zone, spot), count) in closing {
            self.out.push(Effect::Tell(Message::Close {
                region: region.to_owned(),
                flavor: flavor.to_owned(),
                zone: zone.to_owned(),
                spot,
                count,
            }));
        }
    }

    /// Rebinds tasks that have found no room for a short while to the region
    /// with the most free room.
    fn move_waiting(&mut self, v: &View<'_>, waits: &mut [Wait], rooms: &mut [Room]) {
        // Guards against room that is spoken for by tasks which their team's limit keeps
        // from it, while others wait where there is none: those come last.
        waits.sort_by_key(|w| w.short);
        let split = waits.partition_point(|w| !w.short);
        // Each is a change of a record.
        let mut most = (v.settings.store_writes * 0.4 * 0.2).ceil() as u32;
        let (free, short) = waits.split_at_mut(split);
        for part in [free, short] {
            self.move_part(v, part, rooms, &mut most);
        }
    }

    fn move_part(&mut self, v: &View<'_>, waits: &mut [Wait], rooms: &mut [Room], most: &mut u32) {
        // Room at home comes first and is spoken for.
        for w in waits.iter_mut() {
            let (narrow, mut left) = (w.narrow.is_some(), w.count);
            // Guards against a job for which there seems to be room at home and that
            // waits all the same: then it isn't counted on.
            if w.whole() && w.since > DOUBTFUL && !w.short {
                continue;
            }
            for r in rooms.iter_mut().filter(|r| r.live && r.region == w.region) {
                if left == 0 {
                    break;
                }
                left -= r.take(&w.spec, narrow, left);
            }
            w.count = left;
        }
        for w in waits.iter_mut() {
            let narrow = w.narrow.is_some();
            let whole = w.whole();
            let patient = w.since < 700 * MILLI || self.moved.contains_key(&w.id);
            if w.count == 0 || patient || *most == 0 || (whole && w.count != w.spec.tasks as u64) {
                continue;
            }
            let mut per_region: BTreeMap<&str, (BTreeMap<&str, u64>, f64)> = BTreeMap::new();
            for r in rooms.iter().filter(|r| r.live && r.region != w.region) {
                let n = r.takes(&w.spec, narrow);
                let e = per_region.entry(&r.region).or_default();
                *e.0.entry(&r.zone).or_default() += n;
                e.1 += r.free.0 as f64 * r.machines;
            }
            let need = if whole { w.spec.tasks as u64 } else { 1 };
            let room = |zones: &BTreeMap<&str, u64>| {
                if w.spec.one_zone {
                    zones.values().copied().max().unwrap_or(0)
                } else {
                    zones.values().sum()
                }
            };
            let to = per_region
                .iter()
                .filter(|(r, (z, _))| room(z) >= need && v.replica.regions.contains_key(**r))
                .max_by(|a, b| a.1 .1.total_cmp(&b.1 .1));
            let Some((to, (zones, _))) = to else {
                continue;
            };
            let (to, count) = ((*to).to_owned(), room(zones).min(w.count));
            log::debug!(
                "leader: {}: {count} waiting tasks from {} to {to}",
                w.id,
                w.region
            );
            let mut todo = count;
            for r in rooms.iter_mut().filter(|r| r.live && r.region == to) {
                todo -= r.take(&w.spec, narrow, todo);
            }
            w.count -= count;
            *most -= 1;
            self.moved.insert(w.id.clone(), v.now);
            self.out.push(Effect::Tell(Message::Move {
                job: w.id.clone(),
                from: w.region.clone(),
                to,
                count: count as u32,
            }));
        }
    }

    /// Rents the cheapest machines that bring waiting work under way soon
    /// enough. Work that the machines at hand, busy ones included, will get
    /// through within the horizon rents nothing.
    fn rent(&mut self, v: &View<'_>, waits: &[Wait], rooms: &mut [Room], fleet: &mut Fleet) {
        const AT_ONCE: usize = 8;
        if fleet.down() {
            return;
        }
        let mut asks = AT_ONCE.saturating_sub(fleet.renting().len());
        // Jobs that keep together get what each lacks.
        for w in waits.iter().filter(|w| w.whole() && w.count > 0) {
            if asks == 0 {
                return;
            }
            asks -= usize::from(self.rent_whole(v, w, rooms, fleet));
        }
        // Other work, by the one type it fits or for all types together.
        let mut groups: BTreeMap<Option<&str>, Vec<&Wait>> = BTreeMap::new();
        let mut uncovered: BTreeMap<Option<&str>, u64> = BTreeMap::new();
        for w in waits.iter().filter(|w| !w.whole() && w.count > 0) {
            groups.entry(w.narrow.as_deref()).or_default().push(w);
            // What is coming will take some of it.
            let mut left = w.count;
            for r in rooms.iter_mut().filter(|r| !r.live) {
                if left == 0 {
                    break;
                }
                left -= r.take(&w.spec, w.narrow.is_some(), left);
            }
            *uncovered.entry(w.narrow.as_deref()).or_default() += left;
        }
        for (narrow, list) in groups {
            let Some(first) = list.first() else { continue };
            let mut tasks = uncovered.get(&narrow).copied().unwrap_or(0);
            let spot = list.iter().any(|w| w.spec.spot);
            // Capacity at hand or on its way, and what there should be.
            let mut have: f64 = rooms
                .iter()
                .filter(|r| narrow.is_none_or(|f| r.flavor == f && (spot || !r.spot)))
                .map(|r| r.processors(narrow.is_some()))
                .sum();
            let target = match narrow {
                None => self.target,
                Some(_) => list
                    .iter()
                    .map(|w| {
                        w.count as f64 * w.spec.cpus as f64 * w.spec.estimate.max(SECOND) as f64
                            / horizon(&w.spec, v) as f64
                    })
                    .sum(),
            };
            // With nothing that would ever hold the first, one is needed whatever
            // the sums say.
            let shut = |w: &Wait| {
                let holds = |r: &Room| r.at_most(&w.spec, w.narrow.is_some()) > 0;
                !rooms.iter().any(holds)
            };
            let mut must = list.iter().find(|w| shut(w)).copied();
            while asks > 0 && tasks > 0 && (have < target || must.is_some()) {
                let w = must.take().unwrap_or(first);
                let Some((offer, per)) = self.best_offer(&w.spec, narrow.is_some(), None, v) else {
                    break;
                };
                let Some(f) = v.replica.flavors.get(&offer.flavor).map(|f| &f.value) else {
                    break;
                };
                let by_work = ((target - have) / f.cpus.max(1) as f64).ceil().max(1.0) as u64;
                let by_tasks = tasks.div_ceil(per.max(1));
                let count = by_work.min(by_tasks).clamp(1, LOT as u64);
                log::info!(
                    "leader: renting {count} {} in {}{}: {tasks} tasks wait, {:.0} processors, {:.0} wanted",
                    offer.flavor,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" },
                    have / 1e6,
                    target / 1e6
                );
                have += (f.cpus * count) as f64;
                tasks = tasks.saturating_sub(per * count);
                asks -= 1;
                let region = self.home_for(&offer, v);
                self.ask(offer, region, count as u32, v, fleet);
            }
        }
    }

    /// Rents what a job that keeps together lacks where it is, or has it moved to
    /// where that can be had. Whether anything was asked for. Machines go to the
    /// region that is home to their kind, not to where the job happens to be: a
    /// scarce type cut into pieces holds no large gang.
    fn rent_whole(
        &mut self,
        v: &View<'_>,
        w: &Wait,
        rooms: &mut [Room],
        fleet: &mut Fleet,
    ) -> bool {
        let (s, narrow) = (&w.spec, w.narrow.is_some());
        let need = s.tasks as u64;
        // A zone, or all of them if it may be anywhere.
        let mut places: BTreeSet<Option<String>> = BTreeSet::new();
        if s.one_zone {
            let zones = v.replica.flavors.values().flat_map(|f| &f.value.zones);
            places.extend(zones.cloned().map(Some));
        } else {
            places.insert(None);
        }
        let inside = |r: &Room, region: &str, zone: &Option<String>| {
            r.region == region && zone.as_ref().is_none_or(|z| *z == r.zone)
        };
        let has = |zone: &Option<String>| -> u64 {
            rooms
                .iter()
                .filter(|r| inside(r, &w.region, zone))
                .map(|r| r.takes(s, narrow))
                .sum()
        };
        let offer = |l: &Self, zone: &Option<String>| l.best_offer(s, narrow, zone.as_deref(), v);
        let here = |l: &Self, zone: &Option<String>| {
            offer(l, zone).filter(|(o, _)| l.home_for(o, v) == w.region)
        };
        let best = places
            .iter()
            .map(|z| {
                let n = has(z);
                (n >= need, here(self, z).is_some(), n, z)
            })
            .max();
        let Some((enough, for_rent, have, zone)) = best else {
            return false;
        };
        if enough || for_rent {
            let mut left = have.min(need);
            for r in rooms.iter_mut().filter(|r| inside(r, &w.region, zone)) {
                left -= r.take(s, narrow, left);
            }
        }
        if enough {
            return false;
        }
        if let Some((o, per)) = here(self, zone) {
            let lacking = need - have;
            let count = lacking.div_ceil(per.max(1)).clamp(1, LOT as u64) as u32;
            log::info!(
                "leader: {}: {lacking} of its {need} tasks lack machines",
                w.id
            );
            self.ask(o, w.region.clone(), count, v, fleet);
            return true;
        }
        if w.since < 2 * SECOND || self.moved.contains_key(&w.id) || w.count != need {
            return false;
        }
        let holds = |r: &str| self.in_region(s, r, |x| x.at_most(s, narrow)) >= need;
        let owned = |r: &String| v.replica.regions.contains_key(r);
        let elsewhere = places
            .iter()
            .filter_map(|z| offer(self, z))
            .map(|(o, _)| self.home_for(&o, v))
            .find(|r| *r != w.region && owned(r));
        let to = match elsewhere {
            Some(r) => r,
            // Its region holds it once others are through.
            None if holds(&w.region) => return false,
            // Another does; or nobody, and it is bound anew, over several.
            None => {
                let mut all = v.settings.regions().into_iter();
                all.find(|r| owned(r) && holds(r)).unwrap_or_default()
            }
        };
        log::info!("leader: {}: can't be had in {}, to {to:?}", w.id, w.region);
        self.moved.insert(w.id.clone(), v.now + 10 * SECOND);
        self.out.push(Effect::Tell(Message::Move {
            job: w.id.clone(),
            from: w.region.clone(),
            to,
            count: s.tasks,
        }));
        false
    }

    /// Asks the cloud, under a request name that nobody ever used: host, term
    /// of leading, number.
    fn ask(&mut self, offer: Offer, region: String, count: u32, v: &View<'_>, fleet: &mut Fleet) {
        self.counter += 1;
        let tenancy = format!("{}-{}-{}", v.settings.name, self.mark, self.counter);
        fleet.rent(offer, region, count, tenancy);
    }

    /// The cheapest offer for a job, by price of the processors it would use,
    /// slow boots counted as dearer, and how many of its tasks a machine holds.
    fn best_offer(
        &self,
        s: &JobSpec,
        narrow: bool,
        zone: Option<&str>,
        v: &View<'_>,
    ) -> Option<(Offer, u64)> {
        let mut best: Option<(f64, Offer, u64)> = None;
        for o in offers(&v.replica.flavors) {
            let Some(f) = v.replica.flavors.get(&o.flavor).map(|f| &f.value) else {
                continue;
            };
            if !s.allows(f, &o.zone, o.spot)
                || self.refusals.closed(&o, v.now)
                || zone.is_some_and(|z| z != o.zone)
            {
                continue;
            }
            if !narrow && !o.spot && self.narrow.kept_for(&o.flavor, v.now).is_some() {
                continue;
            }
            let per = s.per_machine(f);
            if per == 0 {
                continue;
            }
            let cost = f.price_of(o.spot) as f64 / (per * s.cpus).max(1) as f64
                * (1.0 + to_secs(f.boot) / 100.0);
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, o, per));
            }
        }
        best.map(|(_, o, n)| (o, n))
    }
}

/// A job for which there is room in its region starts within this time.
const DOUBTFUL: Micros = 25 * SECOND;

/// A part of a gang over several regions that waits longer is better bound anew.
const PART_PATIENCE: Micros = 60 * SECOND;

/// How soon a job's waiting tasks should be under way: half of the time that
/// its aims leave for waiting.
fn horizon(s: &JobSpec, v: &View<'_>) -> Micros {
    if let Some(h) = v.settings.operator.horizon {
        return h;
    }
    let mut left = 120 * SECOND;
    // An aim that is out of reach, or past, is no reason to hurry.
    let mut aim = |span: Micros| {
        if s.submitted + span > v.wall {
            left = left.min(span);
        }
    };
    for span in waiting_spans(s, v.settings) {
        aim(span);
    }
    (left / 2).max(5 * SECOND)
}

fn differs(known: &Versioned<Flavor>, f: &Flavor) -> bool {
    let k = &known.value;
    let far = |a: u64, b: u64| a.abs_diff(b) * 10 > b.max(1);
    k.zones != f.zones
        || (k.cpus, k.gpus, k.mem, k.boot, k.fetch) != (f.cpus, f.gpus, f.mem, f.boot, f.fetch)
        || far(k.price, f.price)
        || far(k.spot_price, f.spot_price)
}
