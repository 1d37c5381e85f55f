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
use crate::region::{narrow_type, waiting_spans, NarrowMemory, View, LEAST_AGE};
use crate::registry::records::{value, JobRecord, Key, MachineRecord, Part};
use crate::registry::replica::Versioned;
use crate::registry::{Txn, Urgency};
use crate::units::{to_secs, Micros, MILLI, SECOND};

/// What the leader wants done.
#[derive(Debug)]
pub enum Effect {
    /// Commit this; the key names what it is about.
    Commit(Txn, Urgency, Key),
    /// Tell a region's owner.
    Tell(Message),
}

/// A region's report and when it came.
pub type Reports = BTreeMap<String, (RegionReport, Micros)>;

/// A term of leading.
pub struct Leader {
    /// Revision of the leader's record: this term's name.
    pub mark: u64,
    began: Micros,
    counter: u64,
    writing: BTreeSet<Key>,
    /// Rented machines: region meant for them, and since when.
    expected: BTreeMap<String, (Offer, String, Micros)>,
    refusals: Refusals,
    narrow: NarrowMemory,
    moved: BTreeMap<String, Micros>,
    gone: BTreeMap<String, Micros>,
    odd: BTreeMap<String, Micros>,
    next_plan: Micros,
    next_list: Micros,
    next_flavors: Micros,
    rent_wait: Micros,
    next_close: Micros,
    /// Processors in use by work that fits many types, smoothed over time.
    usual: f64,
    /// What a job of such work takes, smoothed over jobs.
    job_size: f64,
    out: Vec<Effect>,
}

/// Room on one machine while planning.
struct Room {
    machine: String,
    age: Micros,
    region: String,
    flavor: String,
    zone: String,
    spot: bool,
    free: (u64, u64, u64),
    cap: (u64, u64, u64),
    live: bool,
    kept: Option<(u64, u64, u64)>,
}

impl Room {
    /// How many tasks of a job it takes now.
    fn takes(&self, s: &JobSpec, narrow: bool) -> u64 {
        self.takes_in(self.free, s, narrow)
    }

    /// How many it would take with nothing else on it.
    fn at_most(&self, s: &JobSpec, narrow: bool) -> u64 {
        self.takes_in(self.cap, s, narrow)
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

    fn take(&mut self, s: &JobSpec, n: u64) {
        self.free.0 = self.free.0.saturating_sub(s.cpus * n);
        self.free.1 = self.free.1.saturating_sub(s.gpus * n);
        self.free.2 = self.free.2.saturating_sub(s.mem * n);
    }
}

struct Wait {
    id: String,
    region: String,
    spec: Rc<JobSpec>,
    count: u64,
    since: Micros,
    narrow: Option<String>,
}

impl Leader {
    /// A term that begins with the leader's record at this revision.
    pub fn new(mark: u64, v: &View<'_>) -> Self {
        let mut l = Leader {
            mark,
            began: v.now,
            counter: 0,
            writing: BTreeSet::new(),
            expected: BTreeMap::new(),
            refusals: Refusals::default(),
            narrow: NarrowMemory::default(),
            moved: BTreeMap::new(),
            gone: BTreeMap::new(),
            odd: BTreeMap::new(),
            next_plan: 0,
            next_list: v.now + 20 * SECOND,
            next_flavors: 0,
            rent_wait: 0,
            next_close: v.now + 5 * SECOND,
            usual: 0.0,
            job_size: 0.0,
            out: Vec::new(),
        };
        for (_, _, s) in v.replica.open_jobs() {
            l.narrow.note(s, v.replica, v.now);
        }
        l
    }

    fn commit(&mut self, key: Key, mark: u64, val: Option<serde_json::Value>, urgency: Urgency) {
        if !self.writing.insert(key.clone()) {
            return;
        }
        let txn = Txn {
            when: vec![(Key::Leader, self.mark), (key.clone(), mark)],
            apply: vec![(key.clone(), val)],
            lease: None,
        };
        self.out.push(Effect::Commit(txn, urgency, key));
    }

    /// Whether the cloud has refused something lately.
    pub fn refused(&self, now: Micros) -> bool {
        self.refusals.any(now)
    }

    /// A commit of ours ended, one way or the other.
    pub fn concluded(&mut self, key: &Key) {
        self.writing.remove(key);
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// A machine's record went away.
    pub fn machine_gone(&mut self, name: &str, now: Micros) {
        self.gone.insert(name.to_owned(), now);
        self.expected.remove(name);
        self.gone.retain(|_, at| now < *at + 120 * SECOND);
    }

    /// Binds every job that is not bound yet.
    pub fn bind(&mut self, v: &View<'_>) {
        let unbound: Vec<String> = v
            .replica
            .open_jobs()
            .filter(|(id, r, _)| {
                r.parts.is_empty() && !self.writing.contains(&Key::Job((*id).clone()))
            })
            .map(|(id, _, _)| id.clone())
            .collect();
        if unbound.is_empty() {
            return;
        }
        let mut level_one = self.level_one(v);
        let mut sorted: Vec<_> = unbound
            .iter()
            .filter_map(|id| {
                let r = v.replica.jobs.get(id)?;
                Some((r.value.open()?.submitted, id, r))
            })
            .collect();
        sorted.sort_by_key(|(at, id, _)| (*at, (*id).clone()));
        let mut todo = Vec::new();
        for (_, id, rec) in sorted {
            let Some(spec) = rec.value.open() else {
                continue;
            };
            self.narrow.note(spec, v.replica, v.now);
            let Some(region) = self.choose_region(spec, &level_one, v) else {
                continue;
            };
            *level_one.entry(region.clone()).or_default() += 1;
            if narrow_type(spec, v.replica).is_none() {
                let size = spec.cpus as f64 * spec.tasks as f64;
                self.job_size += (size - self.job_size) * 0.1;
            }
            let bound = JobRecord {
                parts: vec![Part(0, spec.tasks, region.clone())],
                ..rec.value.clone()
            };
            log::debug!("leader: {id}: bound to {region}");
            todo.push((id.clone(), rec.mark, bound));
        }
        for (id, mark, bound) in todo {
            self.commit(Key::Job(id), mark, Some(value(&bound)), Urgency::First);
        }
    }

    /// The level-one list: unfinished jobs of each region. A new leader rebuilds
    /// it from the records.
    fn level_one(&self, v: &View<'_>) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> =
            v.settings.regions().into_iter().map(|r| (r, 0)).collect();
        for (_, r, _) in v.replica.open_jobs() {
            let mut seen: Vec<&str> = Vec::new();
            for Part(_, _, region) in &r.parts {
                if !seen.contains(&region.as_str()) {
                    seen.push(region);
                    *counts.entry(region.clone()).or_default() += 1;
                }
            }
        }
        counts
    }

    fn choose_region(
        &self,
        s: &JobSpec,
        level_one: &BTreeMap<String, u32>,
        v: &View<'_>,
    ) -> Option<String> {
        let mut able: BTreeSet<&str> = BTreeSet::new();
        for m in v.replica.machines.values() {
            let m = &m.value;
            if let Some(f) = v.replica.flavors.get(&m.flavor) {
                if s.allows(&f.value, &m.zone, m.spot) {
                    able.insert(&m.region);
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
        best(&|r| owned(r) && able.contains(r.as_str()))
            .or_else(|| best(&|r| owned(r)))
            .or_else(|| best(&|_| true))
    }

    /// A machine that has no record reports, or is listed.
    pub fn deal(&mut self, name: &str, offer: &Offer, v: &View<'_>) {
        let key = Key::Machine(name.to_owned());
        if v.replica.machines.contains_key(name)
            || self.writing.contains(&key)
            || self.gone.contains_key(name)
        {
            return;
        }
        let region = match self.expected.get(name) {
            Some((_, r, _)) => r.clone(),
            None => {
                // Dealt out by type first, then by number.
                let mut counts: BTreeMap<String, (u32, u32)> = v
                    .settings
                    .regions()
                    .into_iter()
                    .map(|r| (r, (0, 0)))
                    .collect();
                let pending = self.expected.values().map(|(o, r, _)| (&o.flavor, r));
                for (f, r) in v
                    .replica
                    .machines
                    .values()
                    .map(|m| (&m.value.flavor, &m.value.region))
                    .chain(pending)
                {
                    let c = counts.entry(r.clone()).or_default();
                    c.1 += 1;
                    c.0 += u32::from(*f == offer.flavor);
                }
                match counts.into_iter().min_by_key(|(_, c)| *c) {
                    Some((r, _)) => {
                        self.expected
                            .insert(name.to_owned(), (offer.clone(), r.clone(), v.now));
                        r
                    }
                    None => return,
                }
            }
        };
        log::info!(
            "leader: {name}: {} in {} dealt to {region}",
            offer.flavor,
            offer.zone
        );
        let rec = MachineRecord {
            region,
            flavor: offer.flavor.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            opened: false,
        };
        self.commit(key, 0, Some(value(&rec)), Urgency::First);
    }

    /// Takes what the cloud answered.
    pub fn on_fleet(&mut self, ev: &FleetEvent, v: &View<'_>) {
        match ev {
            FleetEvent::Flavors(list) => {
                for f in list {
                    let known = v.replica.flavors.get(&f.name);
                    if known.is_none_or(|k| differs(k, f)) {
                        let mark = known.map_or(0, |k| k.mark);
                        self.commit(
                            Key::Flavor(f.name.clone()),
                            mark,
                            Some(value(f)),
                            Urgency::Later,
                        );
                    }
                }
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
                for n in names {
                    self.expected
                        .insert(n.clone(), (offer.clone(), region.clone(), v.now));
                    self.deal(n, offer, v);
                }
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

    /// Machines that nobody knows: rented by a request that was carried out
    /// late. They are dealt like any other and used, or returned when idle.
    fn on_list(&mut self, list: &[Listed], v: &View<'_>) {
        let mut odd = BTreeMap::new();
        for m in list {
            if m.failed || v.replica.machines.contains_key(&m.name) {
                continue;
            }
            let since = self.odd.get(&m.name).copied().unwrap_or(v.now);
            odd.insert(m.name.clone(), since);
            // The list is late: only what stays odd is odd.
            if v.now > since + 2 * v.settings.list_lag && m.age > 2 * v.settings.list_lag {
                self.deal(&m.name, &m.offer, v);
            }
        }
        self.odd = odd;
    }

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
            fleet.ask_list();
        }
        if v.now >= self.next_plan {
            self.next_plan = v.now + 400 * MILLI;
            self.plan(v, reports, fleet);
        }
        self.next_plan
    }

    fn rooms(&self, v: &View<'_>, reports: &Reports) -> Vec<Room> {
        let mut rooms = Vec::new();
        let mut told: BTreeSet<&str> = BTreeSet::new();
        let room = |name: &str,
                    m: &MachineRecord,
                    free: Option<(u64, u64, u64)>,
                    live: bool|
         -> Option<Room> {
            let f = &v.replica.flavors.get(&m.flavor)?.value;
            let cap = (f.cpus, f.gpus, f.mem);
            Some(Room {
                machine: name.to_owned(),
                age: 0,
                region: m.region.clone(),
                flavor: m.flavor.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free: free.unwrap_or(cap),
                cap,
                live,
                kept: self.narrow.kept_for(&m.flavor, v.now),
            })
        };
        for (r, _) in reports.values() {
            for line in &r.rooms {
                told.insert(&line.machine);
                if let Some(m) = v.replica.machines.get(&line.machine) {
                    let r = room(&line.machine, &m.value, Some(line.free), line.live);
                    rooms.extend(r.map(|r| Room {
                        age: line.age_us,
                        ..r
                    }));
                }
            }
        }
        for (name, (o, region, at)) in &self.expected {
            if told.contains(name.as_str()) || v.now > at + 5 * SECOND {
                continue;
            }
            let rec = MachineRecord {
                region: region.clone(),
                flavor: o.flavor.clone(),
                zone: o.zone.clone(),
                spot: o.spot,
                opened: false,
            };
            rooms.extend(room(name, &rec, None, false));
        }
        rooms
    }

    fn plan(&mut self, v: &View<'_>, reports: &Reports, fleet: &mut Fleet) {
        self.expected
            .retain(|_, (_, _, at)| v.now < *at + 60 * SECOND);
        self.moved.retain(|_, at| v.now < *at + 2 * SECOND);
        let mut rooms = self.rooms(v, reports);
        let mut waits: Vec<Wait> = Vec::new();
        for (r, at) in reports.values() {
            if v.now > at + 3 * SECOND {
                continue;
            }
            for w in &r.waits {
                let Some(spec) = v.replica.jobs.get(&w.job).and_then(|j| j.value.open()) else {
                    continue;
                };
                self.narrow.note(spec, v.replica, v.now);
                waits.push(Wait {
                    id: w.job.clone(),
                    region: r.region.clone(),
                    spec: spec.clone(),
                    count: w.waiting as u64,
                    since: w.since_us,
                    narrow: narrow_type(spec, v.replica),
                });
            }
        }
        self.close_surplus(v, &waits, &rooms);
        self.close_kept(v, &waits, &rooms);
        self.move_waiting(v, &mut waits, &mut rooms);
        if v.now > self.began + SECOND {
            self.rent(v, &waits, &mut rooms, fleet);
        }
    }

    fn close(&mut self, r: &Room) {
        self.out.push(Effect::Tell(Message::Close {
            region: r.region.clone(),
            machine: r.machine.clone(),
        }));
    }

    /// The same for types that are kept for work that fits on no other: one of
    /// several goes if the rest will be through with that work in good time.
    fn close_kept(&mut self, v: &View<'_>, waits: &[Wait], rooms: &[Room]) {
        if v.now < self.next_close {
            return;
        }
        let mut by_type: BTreeMap<&str, Vec<&Room>> = BTreeMap::new();
        for r in rooms.iter().filter(|r| !r.spot && r.kept.is_some()) {
            by_type.entry(&r.flavor).or_default().push(r);
        }
        for (flavor, list) in by_type {
            let Some(size) = list.first().map(|r| r.cap.0 as f64) else {
                continue;
            };
            let mut work = 0.0;
            let mut soon = Micros::MAX;
            let mut estimate: Micros = 0;
            for w in waits.iter().filter(|w| w.narrow.as_deref() == Some(flavor)) {
                work += w.count as f64 * w.spec.cpus as f64 * w.spec.estimate as f64;
                soon = soon.min(horizon(&w.spec, v));
            }
            for (_, _, s) in v.replica.open_jobs() {
                if narrow_type(s, v.replica).as_deref() == Some(flavor) {
                    soon = soon.min(horizon(s, v));
                    estimate = estimate.max(s.estimate);
                }
            }
            if soon == Micros::MAX {
                continue; // nothing under way: the idle time decides
            }
            // What runs is taken to be half through.
            let busy: f64 = list.iter().map(|r| (r.cap.0 - r.free.0) as f64).sum();
            work += busy * estimate as f64 / 2.0;
            if list.len() < 2 || work / (size * (list.len() - 1) as f64) > soon as f64 / 2.0 {
                continue;
            }
            let emptiest = list
                .iter()
                .filter(|r| r.live && r.age > LEAST_AGE)
                .max_by_key(|r| r.free.0);
            if let Some(r) = emptiest {
                log::debug!("leader: {}: not needed for {flavor} work", r.machine);
                self.next_close = v.now + SECOND;
                self.close(r);
                return;
            }
        }
    }

    /// Has machines closed that all regions together can do without: of those
    /// that leave enough, the one on which the most money is spent for nothing.
    fn close_surplus(&mut self, v: &View<'_>, waits: &[Wait], rooms: &[Room]) {
        let (mut cap, mut used) = (0u64, 0u64);
        let mut best: Option<(f64, &Room)> = None;
        let open = || {
            rooms
                .iter()
                .filter(|r| r.live && (r.spot || r.kept.is_none()))
        };
        for r in open() {
            cap += r.cap.0;
            used += r.cap.0 - r.free.0;
        }
        self.usual += (used as f64 - self.usual) * 0.04;
        if waits.iter().any(|w| w.narrow.is_none()) || v.now < self.next_close {
            return;
        }
        let keep =
            self.usual.max(used as f64) * (1.0 + v.settings.operator.headroom) + self.job_size;
        for r in open() {
            let Some(f) = v.replica.flavors.get(&r.flavor).map(|f| &f.value) else {
                continue;
            };
            if r.age < LEAST_AGE || ((cap - r.cap.0) as f64) < keep {
                continue;
            }
            let price = if r.spot { f.spot_price } else { f.price } as f64;
            let vain = price * (r.free.0 as f64 / r.cap.0.max(1) as f64);
            if best.is_none_or(|(b, _)| vain > b) {
                best = Some((vain, r));
            }
        }
        if let Some((_, r)) = best {
            self.next_close = v.now + 500 * MILLI;
            log::debug!(
                "leader: {}: not needed, {:.0} of {:.0} processors in use",
                r.machine,
                crate::units::plain(used),
                crate::units::plain(cap)
            );
            self.close(r);
        }
    }

    /// Rebinds tasks that have found no room for a short while to the region
    /// with the most free room.
    fn move_waiting(&mut self, v: &View<'_>, waits: &mut [Wait], rooms: &mut [Room]) {
        for w in waits.iter_mut() {
            let whole = w.spec.kind == Kind::Gang || w.spec.one_zone || w.spec.spread;
            // Room at home comes first and is spoken for.
            let mut left = w.count;
            for r in rooms.iter_mut().filter(|r| r.live && r.region == w.region) {
                let n = r.takes(&w.spec, w.narrow.is_some()).min(left);
                r.take(&w.spec, n);
                left -= n;
            }
            w.count = left;
            if left == 0 || w.since < 700 * MILLI || self.moved.contains_key(&w.id) {
                continue;
            }
            let mut per_region: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
            for r in rooms.iter().filter(|r| r.live && r.region != w.region) {
                let n = r.takes(&w.spec, w.narrow.is_some());
                let e = per_region.entry(&r.region).or_default();
                e.0 += n;
                e.1 += r.free.0;
            }
            let need = if whole { w.spec.tasks as u64 } else { 1 };
            if whole && left != w.spec.tasks as u64 {
                continue;
            }
            let Some((to, (n, _))) = per_region
                .into_iter()
                .filter(|(_, (n, _))| *n >= need)
                .max_by_key(|(_, (_, free))| *free)
            else {
                continue;
            };
            let to = to.to_owned();
            let count = n.min(left);
            log::debug!(
                "leader: {}: {count} waiting tasks from {} to {to}",
                w.id,
                w.region
            );
            let mut todo = count;
            for r in rooms.iter_mut().filter(|r| r.live && r.region == to) {
                let n = r.takes(&w.spec, w.narrow.is_some()).min(todo);
                r.take(&w.spec, n);
                todo -= n;
            }
            w.count -= count;
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
        if fleet.down() || v.now < self.rent_wait || !fleet.renting().is_empty() {
            return;
        }
        // Work that waits, by the one type it fits or for all types together.
        let mut groups: BTreeMap<Option<&str>, Vec<(&Wait, u64)>> = BTreeMap::new();
        for w in waits {
            if let Some(lacking) = shut_out(w, rooms) {
                // However soon the machines at hand are free, they won't do.
                let all = (0.0, 0.0);
                let best = self.best_offer(&w.spec, w.narrow.is_some(), f64::MAX, all, SECOND, v);
                if let Some((offer, per, _)) = best {
                    let count = lacking.div_ceil(per.max(1)).clamp(1, 50) as u32;
                    log::info!("leader: {}: no machines at hand hold it", w.id);
                    self.ask(offer, w.region.clone(), count, v, fleet);
                    return;
                }
            }
            let mut left = w.count;
            for r in rooms.iter_mut().filter(|r| !r.live) {
                let n = r.takes(&w.spec, w.narrow.is_some()).min(left);
                r.take(&w.spec, n);
                left -= n;
            }
            if left > 0 {
                groups
                    .entry(w.narrow.as_deref())
                    .or_default()
                    .push((w, left));
            }
        }
        for (narrow, list) in groups {
            // Processor-microseconds of work, counted in millionths of processors.
            let work: f64 = list
                .iter()
                .map(|(w, n)| *n as f64 * w.spec.cpus as f64 * w.spec.estimate.max(SECOND) as f64)
                .sum();
            // Capacity at hand, and of that what is up already.
            let (mut have, mut up) = (0.0, 0.0);
            for r in rooms.iter() {
                let of_use = match narrow {
                    Some(f) => r.flavor == f && list.iter().any(|(w, _)| w.spec.spot || !r.spot),
                    None => true,
                };
                if of_use {
                    let cap = match (narrow, r.kept, r.spot) {
                        (None, Some(k), false) => r.cap.0.saturating_sub(k.0) as f64,
                        _ => r.cap.0 as f64,
                    };
                    have += cap;
                    up += if r.live { cap } else { 0.0 };
                }
            }
            let Some((w, _)) = list.first() else { continue };
            let horizon = list
                .iter()
                .map(|(w, _)| horizon(&w.spec, v))
                .min()
                .unwrap_or(SECOND);
            let Some((offer, per, lack)) =
                self.best_offer(&w.spec, narrow.is_some(), work, (have, up), horizon, v)
            else {
                continue;
            };
            let tasks: u64 = list.iter().map(|(_, n)| *n).sum();
            let by_work = (lack / (per * w.spec.cpus) as f64).round() as u64;
            let by_tasks = tasks.div_ceil(per.max(1));
            let count = by_work.min(by_tasks).clamp(1, 20) as u32;
            log::info!(
                "leader: renting {count} {} in {}{}: {tasks} tasks wait, {:.0} processor-seconds",
                offer.flavor,
                offer.zone,
                if offer.spot { ", spot" } else { "" },
                work / 1e12
            );
            self.ask(offer, w.region.clone(), count, v, fleet);
            return;
        }
    }

    /// Asks the cloud, under a request name that nobody ever used: host, term
    /// of leading, number.
    fn ask(&mut self, offer: Offer, region: String, count: u32, v: &View<'_>, fleet: &mut Fleet) {
        self.counter += 1;
        let tenancy = format!("{}-{}-{}", v.settings.name, self.mark, self.counter);
        fleet.rent(offer, region, count, tenancy);
        self.rent_wait = v.now + 300 * MILLI;
    }

    /// The cheapest offer for a job, by price of the processors it would use,
    /// slow boots counted as dearer, and how many processors are lacking of it.
    /// An offer is of use only for work that the machines at hand leave undone
    /// by the time it has booted.
    fn best_offer(
        &self,
        s: &JobSpec,
        narrow: bool,
        work: f64,
        (have, up): (f64, f64),
        horizon: Micros,
        v: &View<'_>,
    ) -> Option<(Offer, u64, f64)> {
        let mut best: Option<(f64, Offer, u64, f64)> = None;
        for o in offers(&v.replica.flavors) {
            let Some(f) = v.replica.flavors.get(&o.flavor).map(|f| &f.value) else {
                continue;
            };
            if !s.allows(f, &o.zone, o.spot) || self.refusals.closed(&o, v.now) {
                continue;
            }
            if !narrow && !o.spot && self.narrow.kept_for(&o.flavor, v.now).is_some() {
                continue;
            }
            let per = s.per_machine(f);
            if per == 0 {
                continue;
            }
            let lack = (work - up * f.boot as f64) / horizon as f64 - have;
            if lack <= 0.0 {
                continue;
            }
            let price = if o.spot { f.spot_price } else { f.price } as f64;
            let cost = price / (per * s.cpus).max(1) as f64 * (1.0 + to_secs(f.boot) / 100.0);
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, o, per, lack));
            }
        }
        best.map(|(_, o, n, l)| (o, n, l))
    }
}

/// How many tasks of a waiting job the machines at hand could never hold, all
/// else gone: a job whose tasks keep together needs one region that holds them all.
fn shut_out(w: &Wait, rooms: &[Room]) -> Option<u64> {
    let whole = w.spec.kind == Kind::Gang || w.spec.one_zone || w.spec.spread;
    let mut by_region: BTreeMap<&str, u64> = BTreeMap::new();
    for r in rooms {
        let n = r.at_most(&w.spec, w.narrow.is_some());
        *by_region.entry(&r.region).or_default() += n;
    }
    let need = if whole { w.spec.tasks as u64 } else { 1 };
    if by_region.values().any(|n| *n >= need) {
        return None;
    }
    let home = by_region.get(w.region.as_str()).copied().unwrap_or(0);
    Some(need.max(if whole { 0 } else { w.count.min(8) }) - home)
}

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
