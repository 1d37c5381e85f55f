//! The level-two list at work: the order of waiting jobs, and which machine
//! each task goes to.

use super::list::Group;
use super::*;

/// The order of waiting jobs, least first; see [`Region::order_key`].
pub(super) type OrderKey = (
    (bool, std::cmp::Reverse<crate::model::Rank>, usize),
    (bool, bool, u64),
    u64,
    JobId,
);

/// Places kept for the gang whose turn it is, so that they fill up under steady
/// small work.
#[derive(Debug)]
pub(super) struct Hold {
    pub job: JobId,
    pub rank: crate::model::Rank,
    pub team: String,
    /// It has room, but its team's share here is too small.
    pub short: bool,
    /// Work of higher rank waits: what falls free goes to that first.
    pub outranked: bool,
    /// Only machines of this zone are held, if the gang must be in one.
    pub zone: Option<Rc<str>>,
    /// When the last of the places is expected to be free.
    pub until: Micros,
    pub looked: Micros,
}

/// A job whose latest start is nearer than this goes before shorter ones.
const PRESSING: Micros = 15 * SECOND;

/// How long after its submission a job may be started and still meet its own
/// deadline and each aim of its class.
pub fn waiting_spans<'a>(
    s: &'a JobSpec,
    settings: &'a Settings,
) -> impl Iterator<Item = Micros> + 'a {
    let deadline = s.deadline.map(|d| d.saturating_sub(s.estimate));
    let aims = settings
        .objectives
        .iter()
        .filter(|o| o.class.as_deref() == Some(s.class.as_str()))
        .filter_map(|o| match (o.kind.as_str(), o.within?) {
            ("wait", w) => Some(w),
            ("finished", w) => Some(w.saturating_sub(s.estimate)),
            _ => None,
        });
    deadline.into_iter().chain(aims)
}

/// The time of day by which a job must be started to meet the nearest of its
/// aims that can still be met: its own deadline, or what its class is expected.
/// `None` if there was one and it is past; far off if there never was one.
pub fn latest_start(s: &JobSpec, v: &View<'_>) -> Option<Micros> {
    let mut any = false;
    let mut best: Option<Micros> = None;
    let mut aim = |at: Micros| {
        any = true;
        if at >= v.wall {
            best = Some(best.map_or(at, |b| b.min(at)));
        }
    };
    for span in waiting_spans(s, v.settings) {
        aim(s.submitted + span);
    }
    if any {
        best
    } else {
        Some(s.submitted + 3600 * SECOND)
    }
}

/// Which machine types are kept clear, and for how much: those that are the only
/// ones on which some recent job fits. Jobs that fit elsewhere may have the rest.
#[derive(Debug, Default)]
pub struct NarrowMemory {
    types: BTreeMap<String, (Room, Micros, u32)>,
}

impl NarrowMemory {
    /// Remembers a job, if it is one that fits on one type only. Returns whether
    /// something else is to be kept clear now.
    pub fn note(&mut self, spec: &JobSpec, r: &Replica, now: Micros) -> bool {
        let Some(f) = narrow_type(spec, r) else {
            return false;
        };
        let gang = if spec.kind == Kind::Gang {
            spec.tasks
        } else {
            1
        };
        let new = !self.types.contains_key(&f);
        let e = self.types.entry(f).or_insert(((0, 0, 0), now, 1));
        let was = (e.0, now < e.1 + NARROW_MEMORY);
        e.0 .0 = e.0 .0.max(spec.cpus);
        e.0 .1 = e.0 .1.max(spec.gpus);
        e.0 .2 = e.0 .2.max(spec.mem);
        e.1 = now;
        e.2 = e.2.max(gang);
        new || was != (e.0, true)
    }

    /// What is kept clear on machines of a type.
    pub fn kept_for(&self, flavor: &str, now: Micros) -> Option<Room> {
        self.types
            .get(flavor)
            .filter(|(_, seen, _)| now < seen + NARROW_MEMORY)
            .map(|(n, ..)| *n)
    }

    /// The largest gang seen that fits on this type only.
    pub fn largest(&self, flavor: &str) -> u32 {
        self.types.get(flavor).map_or(0, |t| t.2)
    }
}

/// The one type on which a job fits, if there is just one.
pub fn narrow_type(s: &JobSpec, r: &Replica) -> Option<String> {
    let mut fit = r
        .flavors
        .values()
        .map(|f| &f.value)
        .filter(|f: &&Flavor| s.fits_type(f));
    match (fit.next(), fit.next()) {
        (Some(f), None) if r.flavors.len() > 1 => Some(f.name.clone()),
        _ => None,
    }
}

/// A gang has been with us for so long when places begin to be kept for it. Until
/// then smaller ones go ahead, since more of them are in time that way; a minute
/// leaves three for the places to fill up, of the four in which it must begin.
const HOLD_AFTER: Micros = 60 * SECOND;
/// For how long a gang that lacks a share of its team's limit keeps a job of the same team
/// from starting a task. Half of the 90 s for which no job may wait beside free machines,
/// since a job may have waited in another region before.
const SHARE_HOLD_LIMIT: Micros = 45 * SECOND;
/// What a task that runs in the meantime takes beside its run time.
const BACKFILL_SLACK: Micros = 10 * SECOND;
/// A job within its guarantee waits so long for room before others make it.
const PREEMPT_AFTER: Micros = 6 * SECOND;
/// Whatever has waited so long since its submission goes by age from then on. Guards
/// against a class's largest jobs, or a class whose aims are all past, being passed
/// over under lasting overload: a minute is left of the four in which they must begin.
const PATIENCE: Micros = 180 * SECOND;
/// For how many waiting jobs shares are taken ahead of room.
const AHEAD: usize = 3;

/// How long a type is kept clear for jobs that fit nowhere else, after the last
/// of them was seen.
const NARROW_MEMORY: Micros = 180 * SECOND;

/// What a job may not use because of a hold.
fn held_back(
    hold: Option<&Hold>,
    id: &JobId,
    job: &Job,
    key: &GroupKey,
    g: &Group,
    v: &View<'_>,
) -> bool {
    // Guards against work of higher rank that waits behind a hold while all that it
    // has stopped for its sake is started again.
    let Some(h) = hold.filter(|h| h.job != *id && h.rank >= job.spec.rank) else {
        return false;
    };
    if h.zone.as_ref().is_some_and(|z| **z != *key.1) {
        return false;
    }
    // Guards against machines that stand idle for a gang whose team's limit is used up
    // elsewhere: others take them, those of its own team leave it the share.
    if h.short && h.team != job.spec.team {
        return false;
    }
    // Guards against a job that waits without end beside free machines while the gang
    // gathers its team's share from other regions: one task at a time may pass.
    if h.short && v.now.saturating_sub(job.last_assigned) > SHARE_HOLD_LIMIT {
        return false;
    }
    // Nor for one that work of higher rank goes before again and again.
    if h.outranked {
        return false;
    }
    // What is kept clear for narrow tasks is out of the others' reach anyway.
    if g.kept.is_some() && job.narrow_to.is_none() {
        return false;
    }
    // Work that ends in time may run in the meantime.
    v.now + job.spec.estimate * 3 / 2 + BACKFILL_SLACK > h.until
}

impl Region {
    /// The order in which waiting jobs are served: those within their team's
    /// guarantee, then rank, then the operators' precedence. Among equals, gangs go
    /// by their age, so that a large one is never passed over for ever; of the
    /// others, those that can still meet an aim of their class go before those that
    /// can't, the pressing ones first, then the short ones: that way the most are in
    /// time. Also returns after what span this changes by itself.
    pub(super) fn order_key(
        &self,
        id: &JobId,
        s: &JobSpec,
        v: &View<'_>,
    ) -> (OrderKey, Option<Micros>) {
        let precedence = v
            .settings
            .operator
            .precedence
            .iter()
            .position(|c| *c == s.class)
            .unwrap_or(usize::MAX);
        let guaranteed = self
            .guaranteed
            .get(&s.team)
            .is_some_and(|last| (s.submitted, &**id) <= (last.0, last.1.as_str()));
        let first = (!guaranteed, std::cmp::Reverse(s.rank), precedence);
        // One task needs no others' places: it goes by its aims like the rest.
        let together = s.kind == Kind::Gang && s.tasks > 1;
        let aged = s.submitted + PATIENCE;
        if together || v.wall >= aged {
            return (
                (first, (false, false, s.submitted), s.submitted, id.clone()),
                None,
            );
        }
        let due = latest_start(s, v);
        let size = s.estimate.saturating_mul(s.tasks.into()) / 1000 * (s.cpus / 1000).max(1);
        let pressing = due.is_some_and(|d| d < v.wall + PRESSING);
        let second = (
            due.is_none(),
            !pressing,
            if pressing { due.unwrap_or(0) } else { size },
        );
        let change = match due {
            Some(d) if pressing => d,
            Some(d) => d - PRESSING,
            None => aged,
        };
        let span = change.min(aged).saturating_sub(v.wall) + MILLI;
        ((first, second, s.submitted, id.clone()), Some(span))
    }

    /// Enters a job into the order of waiting jobs, or takes it out.
    pub(super) fn rekey(&mut self, id: &JobId, v: &View<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let waits = !job.waiting.is_empty() && !job.over;
        let (key, again) = if waits {
            let spec = job.spec.clone();
            let (k, again) = self.order_key(id, &spec, v);
            (Some(k), again)
        } else {
            (None, None)
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.key != key {
            if let Some(old) = job.key.take() {
                self.ready.remove(&old);
            }
            job.key.clone_from(&key);
            if let Some(k) = key {
                self.ready.insert(k, id.clone());
                if let Some(span) = again {
                    self.wake.insert((v.now + span, id.clone()));
                }
            }
        }
    }

    /// Follows which jobs fit into their teams' guarantees.
    fn look_at_guarantees(&mut self, v: &View<'_>) {
        for team in std::mem::take(&mut self.stale_teams) {
            let last = quota::last_guaranteed(v.replica, v.settings, &team);
            let was = match &last {
                Some(l) => self.guaranteed.insert(team.clone(), l.clone()),
                None => self.guaranteed.remove(&team),
            };
            if was != last {
                let ids: Vec<JobId> = self
                    .ready
                    .values()
                    .filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.team == team))
                    .cloned()
                    .collect();
                for id in ids {
                    self.rekey(&id, v);
                }
            }
        }
    }

    /// Sends waiting tasks to machines: each to the fitting one that holds the
    /// fewest tasks. Only jobs for which something changed are looked at: their own
    /// tasks, a machine's room, or their team's share.
    pub fn place(&mut self, v: &View<'_>) {
        self.look_at_guarantees(v);
        let jobs = std::mem::take(&mut self.dirty_jobs);
        let machines = std::mem::take(&mut self.dirty_machines);
        let teams = std::mem::take(&mut self.dirty_teams);
        let all = std::mem::take(&mut self.dirty_all) || machines.len() > 16;
        if self.ready.is_empty()
            || (!all && jobs.is_empty() && machines.is_empty() && teams.is_empty())
        {
            return;
        }
        let rooms: Vec<(Room, &Machine)> = machines
            .iter()
            .filter_map(|n| self.machines.get(n))
            .filter(|m| matches!(m.listed, Listed::Open { .. }))
            .map(|m| (m.free(), m))
            .collect();
        let todo: Vec<JobId> = self
            .ready
            .values()
            .filter(|id| {
                all || jobs.contains(*id)
                    || self.jobs.get(*id).is_some_and(|j| {
                        (j.short && teams.contains(&j.spec.team))
                            || rooms.iter().any(|(free, m)| {
                                fits(*free, &j.spec)
                                    && j.spec.permits(&m.rec.flavor, &m.rec.zone, m.rec.spot)
                            })
                    })
            })
            .cloned()
            .collect();
        let mut short = false;
        for id in todo {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.not_before > v.now || job.waiting.is_empty() {
                continue;
            }
            job.short = false;
            if job.spec.kind == Kind::Gang {
                self.place_gang(&id, v);
            } else {
                self.place_tasks(&id, v);
            }
            self.rekey(&id, v);
            short |= self.jobs.get(&id).is_some_and(|j| j.short);
        }
        if !self.surplus.is_empty() {
            let next = self.ready.values().take(AHEAD);
            let waits: BTreeSet<bool> = next
                .filter_map(|id| self.jobs.get(id))
                .filter(|j| !j.short)
                .map(|j| j.narrow_to.is_some())
                .collect();
            for narrow in waits {
                self.reopen(narrow);
            }
        }
        // What was found wanting is asked for at once.
        if short {
            self.share_out(v);
        }
    }

    /// The best machine for a task of the job: the fitting one that holds the
    /// fewest tasks, in this zone if one is given, in none of the full ones.
    fn best_machine(
        &self,
        id: &JobId,
        zone: Option<&str>,
        full: &BTreeSet<String>,
        v: &View<'_>,
    ) -> Option<Rc<str>> {
        let job = self.jobs.get(id)?;
        let s = &job.spec;
        let wide = job.narrow_to.is_none();
        self.list.best(
            s,
            wide,
            |k| self.allowed(id, job, k, zone, full, v),
            |k, held, name| {
                let m = self.machines.get(name)?;
                let free = m.listed.room(wide)?;
                fits(free, s).then(|| {
                    (
                        // What may run elsewhere keeps off a type that others need.
                        wide && self.list.kept(k).is_some(),
                        job.failed_on.contains(name),
                        held,
                        !m.images.contains(&s.image),
                        !k.2 && s.spot,
                    )
                })
            },
        )
    }

    /// Gives a machine whose report is being answered the tasks that are meant for
    /// others and would begin later there. Starts go in answers to reports alone, so
    /// a task meant for the machine with the fewest tasks may wait a whole interval
    /// for it; one that holds no more takes it at once, any other after a while.
    /// Nothing was sent yet, so it is still sent once.
    pub(super) fn draw(&mut self, name: &Rc<str>, v: &View<'_>) {
        const LOOK: usize = 64;
        if self.unsent.is_empty() {
            return;
        }
        let patience = v.settings.report / 8;
        let todo: Vec<(Micros, JobId, u32)> = self.unsent.iter().take(LOOK).cloned().collect();
        for (since, id, n) in todo {
            let (Some(job), Some(m)) = (self.jobs.get(&id), self.machines.get(name)) else {
                continue;
            };
            let s = &job.spec;
            let wide = job.narrow_to.is_none();
            let Some(room) = m.listed.room(wide) else {
                return;
            };
            let Some(other) = job.out.get(&n).filter(|o| *o != name) else {
                continue;
            };
            let Some(o) = self.machines.get(other) else {
                continue;
            };
            let Some(h) = o.tasks.get(&(id.clone(), n)) else {
                continue;
            };
            // Where a job's tasks are together is settled; only the machine changes.
            let bound = s.kind == Kind::Gang || s.one_zone || s.spread;
            let fewer = m.tasks.len() < o.tasks.len();
            let scarce = wide && self.list.kept(&m.group).is_some();
            if scarce
                || h.stop.is_some()
                || !fits(room, s)
                || job.failed_on.contains(name)
                || (bound && m.group != o.group)
                || (!fewer && v.now < since + patience)
                || !self.allowed(&id, job, &m.group, None, &BTreeSet::new(), v)
            {
                continue;
            }
            let fetch = |g: &GroupKey| {
                let speed = v.replica.flavors.get(&*g.0).map_or(0, |f| f.value.fetch);
                (s.image_size * SECOND).checked_div(speed).unwrap_or(0)
            };
            let here = if m.images.contains(&s.image) {
                0
            } else {
                fetch(&m.group)
            };
            let report = (o.heard_at + v.settings.report * 9 / 8).saturating_sub(v.now);
            let there = report + if h.brings { fetch(&o.group) } else { 0 };
            if here + 300 * MILLI >= there {
                continue;
            }
            let attempt = h.attempt;
            log::debug!("region: {id}/{n}: meant for {other}, drawn by {name}");
            self.shift(&id, n, Place::Assigned, Some((name, attempt)), v.now);
        }
    }

    /// A task that was to bring its image to a machine doesn't go there: unless
    /// another task of its job does, the machine won't have it.
    pub(super) fn never_fetched(&mut self, machine: &str, id: &JobId) {
        let Some(image) = self.jobs.get(id).map(|j| &j.spec.image) else {
            return;
        };
        if let Some(m) = self.machines.get_mut(machine) {
            let first = (id.clone(), 0);
            let mut mates = m.tasks.range_mut(first..).take_while(|(k, _)| k.0 == *id);
            match mates.next() {
                Some((_, mate)) => mate.brings = true,
                None => {
                    m.images.remove(image);
                }
            }
        }
    }

    /// Whether a job's tasks may go to machines of a group just now.
    fn allowed(
        &self,
        id: &JobId,
        job: &Job,
        k: &GroupKey,
        zone: Option<&str>,
        full: &BTreeSet<String>,
        v: &View<'_>,
    ) -> bool {
        job.spec.permits(&k.0, &k.1, k.2)
            && zone.is_none_or(|z| z == &*k.1)
            && !full.contains(&*k.1)
            && self
                .list
                .groups
                .get(k)
                .is_none_or(|g| !held_back(self.hold.as_ref(), id, job, k, g, v))
    }

    /// How many of a job's tasks there is room for, up to `most`.
    fn room_for(&self, id: &JobId, zone: Option<&str>, most: u64, v: &View<'_>) -> u64 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let none = BTreeSet::new();
        let wide = job.narrow_to.is_none();
        let free = |n: &str| {
            let room = self.machines.get(n).and_then(|m| m.listed.room(wide));
            room.unwrap_or_default()
        };
        self.list.count(
            &job.spec,
            wide,
            |k| self.allowed(id, job, k, zone, &none, v),
            free,
            most,
        )
    }

    /// What the next jobs in line need of their teams' limits, those that have no
    /// room yet included. Guards against a machine that falls free and then stands
    /// idle for a report's interval, because the next task on it is of a team whose
    /// share must first be taken. No more than the region's machines could hold: a
    /// share kept for tasks that can't run here is lacking where they can.
    pub(super) fn count_wants(&mut self, v: &View<'_>) {
        const LOOK: usize = 60;
        for s in self.shares.values_mut() {
            s.want = Amount::default();
            s.ahead = Amount::default();
            s.turn = None;
        }
        // Guards against a small region that wants its whole hold for each job in line
        // on top of the others, and keeps the limit from where there is room.
        let mut left = self.list.capacity();
        let ids: Vec<JobId> = self.ready.values().take(LOOK).cloned().collect();
        for (i, id) in ids.iter().enumerate() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let waiting = job.waiting.len() as u64;
            let room = self.room_for(id, None, waiting, v);
            let mut n = if spec.kind == Kind::Gang {
                let could = self.list.potential(&spec, job.narrow_to.is_none(), |k| {
                    spec.permits(&k.0, &k.1, k.2)
                });
                if could >= waiting {
                    waiting
                } else {
                    0
                }
            } else {
                if i < AHEAD {
                    let could = self.list.potential(&spec, job.narrow_to.is_none(), |k| {
                        spec.permits(&k.0, &k.1, k.2)
                    });
                    room.max(could.min(waiting).min(16))
                } else {
                    room
                }
            };
            let each = spec.amount();
            let most = |left: u64, each: u64| left.checked_div(each).unwrap_or(u64::MAX);
            let fit = most(left.cpus, each.cpus).min(most(left.gpus, each.gpus));
            if spec.kind != Kind::Gang {
                n = n.min(fit);
            } else if n > fit {
                n = 0;
            }
            if n > 0 {
                let s = self.shares.entry(Rc::from(spec.team.as_str())).or_default();
                // What its team's limit keeps from starting takes up nothing.
                if !s.starved {
                    left = left.minus(each.times(n));
                }
                let now = match spec.kind {
                    Kind::Gang if room < n => 0,
                    _ => room.min(n),
                };
                s.want = s.want.plus(each.times(now));
                s.ahead = s.ahead.plus(each.times(n - now));
                let turn = turn(&spec);
                s.turn = Some(s.turn.map_or(turn, |t| t.min(turn)));
            }
        }
    }

    fn place_tasks(&mut self, id: &JobId, v: &View<'_>) {
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            let Some(n) = job.waiting.first() else { return };
            let spec = job.spec.clone();
            // Where the job's other tasks are at this moment binds the next.
            let mut zones: BTreeMap<String, u32> = BTreeMap::new();
            if spec.one_zone || spec.spread {
                if !job.unsettled.is_empty() {
                    return;
                }
                for m in job.out.values() {
                    if let Some(m) = self.machines.get(m) {
                        *zones.entry(m.rec.zone.clone()).or_default() += 1;
                    }
                }
            }
            let zone = if spec.one_zone {
                zones.keys().next().cloned()
            } else {
                None
            };
            let half = spec.tasks.div_ceil(2);
            let full: BTreeSet<String> = if spec.spread {
                zones
                    .iter()
                    .filter(|(_, c)| **c >= half)
                    .map(|(z, _)| z.clone())
                    .collect()
            } else {
                BTreeSet::new()
            };
            let Some(name) = self.best_machine(id, zone.as_deref(), &full, v) else {
                return;
            };
            if !spec.amount().within(self.headroom(&spec.team, v)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.short = true;
                }
                return;
            }
            let attempt = self.next_attempt();
            self.shift(id, n, Place::Assigned, Some((&name, attempt)), v.now);
        }
    }

    pub(super) fn next_attempt(&mut self) -> u64 {
        self.seq += 1;
        (self.token << 24) | (self.seq & 0xff_ffff)
    }

    /// The zones in which a gang could be, or just `None` if it may be anywhere.
    fn zones_for(&self, job: &Job) -> Vec<Option<Rc<str>>> {
        if let Some(Joint(_, Some(z))) = &job.joint {
            return vec![Some(Rc::from(z.as_str()))];
        }
        if !job.spec.one_zone {
            return vec![None];
        }
        let zones: BTreeSet<Rc<str>> = self.list.groups.keys().map(|k| k.1.clone()).collect();
        zones.into_iter().map(Some).collect()
    }

    fn place_gang(&mut self, id: &JobId, v: &View<'_>) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        // Of a gang over several regions, only this region's part is placed here.
        let n = job.mine.len();
        let whole = n == spec.tasks || job.joint.is_some();
        if job.breaking
            || !job.out.is_empty()
            || job.waiting.len() != n
            || !whole
            || job.stuck()
            || job.given_up
        {
            return;
        }
        let need = spec.amount().times(n as u64);
        let half = spec.tasks.div_ceil(2);
        let tasks: Vec<u32> = job.waiting.numbers().collect();
        let (since, joint) = (job.wait_since, job.joint.clone());
        for zone in self.zones_for(job) {
            if self.room_for(id, zone.as_deref(), n as u64, v) < n as u64 {
                continue;
            }
            if !need.within(self.headroom(&spec.team, v)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.short = true;
                }
                return;
            }
            let attempt = match &joint {
                Some(j) => j.0,
                None => self.next_attempt(),
            };
            let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut full = BTreeSet::new();
            let mut placed = 0;
            for t in &tasks {
                let Some(name) = self.best_machine(id, zone.as_deref(), &full, v) else {
                    break;
                };
                if spec.spread {
                    if let Some(m) = self.machines.get(&name) {
                        let c = per_zone.entry(m.rec.zone.clone()).or_default();
                        *c += 1;
                        if *c >= half {
                            full.insert(m.rec.zone.clone());
                        }
                    }
                }
                self.shift(id, *t, Place::Assigned, Some((&name, attempt)), v.now);
                placed += 1;
            }
            if placed < tasks.len() {
                for t in &tasks[..placed] {
                    self.shift(id, *t, Place::Waiting, None, v.now);
                }
                self.dirty_jobs.remove(id);
                if let Some(j) = self.jobs.get_mut(id) {
                    j.wait_since = since;
                }
                continue;
            }
            if self.hold.as_ref().is_some_and(|h| h.job == *id) {
                self.hold = None;
                self.dirty_all = true;
            }
            if joint.is_some() {
                log::info!("region: {id}: room held for our part, attempt {attempt}");
                if let Some(j) = self.jobs.get_mut(id) {
                    j.held_since = Some(v.now);
                }
                self.wake.insert((v.now + v.settings.gang_wait, id.clone()));
            }
            return;
        }
        self.hold_for(id, v);
    }

    /// Parts of gangs over several regions for which room is held here.
    pub(super) fn ready_parts(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.jobs.iter().filter_map(|(id, j)| {
            let joint = j.joint.as_ref()?;
            j.held_since.map(|_| (id, joint.0))
        })
    }

    /// All parts of a gang over several regions have room: start ours.
    pub fn go(&mut self, id: &str, attempt: u64, v: &View<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        let held = job.held_since.is_some() && job.joint.as_ref().is_some_and(|j| j.0 == attempt);
        if !held || job.over {
            return;
        }
        log::info!("region: {id}: all parts have room, attempt {attempt} starts");
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        if let Some(j) = self.jobs.get_mut(&id) {
            j.held_since = None;
            j.tried = attempt;
        }
        for (n, name) in out {
            if let Some(h) = self.held_mut(&id, n, &name) {
                h.wait_go = false;
                h.since = v.now;
            }
        }
    }

    /// A gang finds no room: if it is the first in line to wait, the places that
    /// fall free are kept for it.
    fn hold_for(&mut self, id: &JobId, v: &View<'_>) {
        if self.hold.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        // Since its submission: it may have been moved here.
        let age = v.wall.saturating_sub(job.spec.submitted);
        if age < HOLD_AFTER {
            self.wake.insert((v.now + HOLD_AFTER - age, id.clone()));
            return;
        }
        let n = job.mine.len() as u64;
        let wide = job.narrow_to.is_none();
        let best = self
            .zones_for(job)
            .into_iter()
            .map(|zone| {
                let could = self.list.potential(&job.spec, wide, |k| {
                    job.spec.permits(&k.0, &k.1, k.2) && zone.as_ref().is_none_or(|z| *z == k.1)
                });
                let room = self.room_for(id, zone.as_deref(), n, v);
                (could >= n, room, zone)
            })
            .max();
        let Some((true, room, zone)) = best else {
            return;
        };
        log::info!("region: {id}: places are kept for it, {room} of {n} free");
        self.hold = Some(Hold {
            job: id.clone(),
            rank: job.spec.rank,
            team: job.spec.team.clone(),
            short: false,
            outranked: false,
            zone,
            until: 0,
            looked: 0,
        });
        self.watch_hold(v);
    }

    /// Looks whether places must still be held, and until when they will fill.
    pub(super) fn watch_hold(&mut self, v: &View<'_>) {
        let Some(h) = &self.hold else { return };
        let stays = self
            .jobs
            .get(&h.job)
            .filter(|j| !j.over && j.key.is_some() && !j.stuck() && !j.writing);
        let Some(job) = stays else {
            self.hold = None;
            self.dirty_all = true;
            return;
        };
        if v.now < h.looked + 2 * SECOND {
            return;
        }
        let short = job.short;
        let rank = job.spec.rank;
        let next = self.ready.values().take(AHEAD);
        let outranked = next
            .filter_map(|id| self.jobs.get(id))
            .any(|j| j.spec.rank > rank && !j.short);
        let n = job.mine.len() as u64;
        // When each machine will have been left by all that is on it now.
        let mut free_at: Vec<(Micros, u64)> = Vec::new();
        for (k, g) in &self.list.groups {
            if !job.spec.permits(&k.0, &k.1, k.2) || h.zone.as_ref().is_some_and(|z| *z != k.1) {
                continue;
            }
            let each = job.spec.count_in(g.cap);
            for m in g.names().filter_map(|n| self.machines.get(n)) {
                let ends = m
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.narrow || g.kept.is_none())
                    .filter_map(|((id, _), t)| {
                        let est = self.jobs.get(id)?.spec.estimate;
                        Some(t.ran_at.unwrap_or(v.now) + est)
                    })
                    .max();
                free_at.push((ends.unwrap_or(0).max(v.now), each));
            }
        }
        free_at.sort_unstable();
        let mut have = 0;
        let until = free_at.iter().find_map(|(at, each)| {
            have += each;
            (have >= n).then_some(*at)
        });
        if let Some(h) = &mut self.hold {
            h.until = until.unwrap_or(0);
            h.looked = v.now;
            h.short = short;
            h.outranked = outranked;
        }
        self.dirty_all = true;
    }

    /// Stops work so that a job within its team's guarantee, or of higher rank,
    /// finds room: of lower rank, or of other teams beyond their own guarantees.
    /// Only for the first such job in line, only after it has waited for a while,
    /// and only as much as it needs; what has run for the shortest time goes first.
    pub(super) fn preempt(&mut self, v: &View<'_>) {
        const LOOK: usize = 8;
        if v.now < self.next_preempt || !self.settled || !v.starts {
            return;
        }
        let ids: Vec<JobId> = self.ready.values().take(LOOK).cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let guaranteed = job.key.as_ref().is_some_and(|k| !k.0 .0);
            let wait = v.now.saturating_sub(job.wait_since);
            if job.short || job.not_before > v.now || wait < PREEMPT_AFTER || job.writing {
                continue;
            }
            // Guards against room made for a job that its team's share here does not
            // let start: what was stopped takes the place again, and is stopped again.
            let least = if job.spec.kind == Kind::Gang {
                job.mine.len() as u64
            } else {
                1
            };
            let need = job.spec.amount().times(least);
            if !need.within(self.headroom(&job.spec.team, v)) {
                continue;
            }
            self.next_preempt = v.now + SECOND;
            if self.make_room(&id, guaranteed, v) {
                return;
            }
        }
    }

    /// Whether a task has most of its run before it, or can save: else it is soon
    /// through by itself, and to stop it would waste more than it gains.
    fn far_from_done(&self, id: &JobId, h: &Held, v: &View<'_>) -> bool {
        let ran = h.ran_at.map_or(0, |at| v.now.saturating_sub(at));
        self.jobs
            .get(id)
            .is_some_and(|j| j.spec.checkpoint > 0 || ran < j.spec.estimate / 3)
    }

    fn make_room(&mut self, id: &JobId, guaranteed: bool, v: &View<'_>) -> bool {
        const MOST: u64 = 16;
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = job.spec.clone();
        let gang = spec.kind == Kind::Gang;
        let wide = job.narrow_to.is_none();
        let rank = spec.rank;
        let n = if gang {
            job.mine.len() as u64
        } else {
            (job.waiting.len() as u64).min(MOST)
        };
        let may_stop = |other: &JobId, r: &Region| {
            r.jobs.get(other).is_some_and(|o| {
                let beyond = r
                    .guaranteed
                    .get(&o.spec.team)
                    .is_none_or(|last| (o.spec.submitted, &**other) > (last.0, last.1.as_str()));
                !o.over
                    && o.spec.kind != Kind::Service
                    // Guards against work within a guarantee that is stopped for higher
                    // rank beyond one: it goes first, takes its place again, and so on.
                    && (guaranteed || beyond)
                    && (o.spec.rank < rank || (guaranteed && beyond && o.spec.team != spec.team))
            })
        };
        for zone in self.zones_for(job) {
            // Machines on which stopping would make room, the cheapest first.
            let mut found: Vec<(Micros, u64, Rc<str>, Vec<JobId>)> = Vec::new();
            let mut have = 0;
            for (k, g) in &self.list.groups {
                if !spec.permits(&k.0, &k.1, k.2) || zone.as_ref().is_some_and(|z| *z != k.1) {
                    continue;
                }
                // Guards against work that is stopped again and again for a job that
                // may not go there, since the places are held for another.
                let held = held_back(self.hold.as_ref(), id, job, k, g, v);
                if held || (wide && g.kept.is_some()) {
                    continue;
                }
                for (name, m) in g.names().filter_map(|n| Some((n, self.machines.get(n)?))) {
                    let now = spec.count_in(m.free());
                    if m.tasks.values().any(|h| h.stop.is_some()) {
                        // Room is being made here already.
                        have += spec.count_in(m.cap).max(now);
                        continue;
                    }
                    have += now;
                    let mut room = m.free();
                    let mut cost = 0;
                    let mut stops = Vec::new();
                    for ((other, _), h) in &m.tasks {
                        if may_stop(other, self) && self.far_from_done(other, h, v) {
                            room = list::sum(room, h.room());
                            cost += v.now.saturating_sub(h.ran_at.unwrap_or(v.now));
                            stops.push(other.clone());
                        }
                    }
                    let gain = spec.count_in(room).saturating_sub(now);
                    if let Some(each) = cost.checked_div(gain) {
                        found.push((each, gain, name.clone(), stops));
                    }
                }
            }
            let could: u64 = found.iter().map(|f| f.1).sum();
            if have >= n || (gang && have + could < n) || could == 0 {
                continue;
            }
            found.sort_by_key(|a| a.0);
            let mut victims: BTreeMap<JobId, BTreeSet<Rc<str>>> = BTreeMap::new();
            for (_, gain, name, stops) in found {
                if have >= n {
                    break;
                }
                have += gain;
                for other in stops {
                    victims.entry(other).or_default().insert(name.clone());
                }
            }
            for (other, on) in victims {
                log::info!("region: {other}: makes room for {id}");
                self.stop_saving(&other, "makes room", |name, _| on.contains(name));
            }
            return true;
        }
        false
    }
}
