//! The level-two list at work: the order of waiting jobs, and which machine
//! each task goes to.

use super::list::Group;
use super::*;
use crate::fault_injection::{is_left_out, Guard};

/// The order of waiting jobs, least first; see [`Region::order_key`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// Its turn has not come for so long that one task of it goes first.
    pub turn: std::cmp::Reverse<bool>,
    /// It failed on several machines without a result: after all others.
    suspect: bool,
    /// It goes beyond its team's guarantee.
    pub beyond_guarantee: bool,
    priority: std::cmp::Reverse<crate::model::Priority>,
    /// Place of its class in the operators' precedence.
    precedence: usize,
    /// None of its aims can be met any more.
    past_aims: bool,
    /// No aim presses.
    relaxed: bool,
    /// What decides among equals: a time to start by, a size, or the age.
    weight: u64,
    submitted: Micros,
    id: JobId,
}

/// Places kept for the gang whose turn it is, so that they fill up under steady
/// small work.
#[derive(Debug)]
pub(super) struct Hold {
    pub job: JobId,
    pub priority: crate::model::Priority,
    pub team: String,
    /// It has room, but its team's share here is too small.
    pub short: bool,
    /// Work of higher priority waits: what falls free goes to that first.
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
pub fn latest_start(s: &JobSpec, view: &View<'_>) -> Option<Micros> {
    let mut any = false;
    let mut best: Option<Micros> = None;
    let mut aim = |at: Micros| {
        any = true;
        if at >= view.wall {
            best = Some(best.map_or(at, |b| b.min(at)));
        }
    };
    for span in waiting_spans(s, view.settings) {
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

/// For how long a gang that lacks a share of its team's limit keeps a job of the same team
/// from starting a task. Half of the 90 s for which no job may wait beside free machines,
/// since a job may have waited in another region before.
pub(super) const SHARE_HOLD_LIMIT: Micros = 45 * SECOND;
/// For how long other regions may use what is kept for such a gang: time for them to hear
/// of it, for two changes of shares and a report.
pub(super) const SHARE_REST: Micros = 10 * SECOND;
/// What a task that runs in the meantime takes beside its run time.
const BACKFILL_SLACK: Micros = 10 * SECOND;
/// Whatever has waited so long since its submission goes by age from then on. Guards
/// against a class's largest jobs, or a class whose aims are all past, being passed
/// over under lasting overload: a minute is left of the four in which they must begin.
const PATIENCE: Micros = 180 * SECOND;
/// For how many waiting jobs shares are taken ahead of room.
pub(super) const AHEAD: usize = 3;

/// How long a type is kept clear for jobs that fit nowhere else, after the last
/// of them was seen.
const NARROW_MEMORY: Micros = 180 * SECOND;

/// What a job may not use because of a hold.
pub(super) fn held_back(
    hold: Option<&Hold>,
    id: &JobId,
    job: &Job,
    key: &GroupKey,
    g: &Group,
    view: &View<'_>,
) -> bool {
    // Guards against work of higher priority that waits behind a hold while all that it
    // has stopped for its sake is started again.
    let Some(h) = hold.filter(|h| h.job != *id && h.priority >= job.spec.priority) else {
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
    let waited = view.now.saturating_sub(job.last_assigned);
    if h.short && waited > SHARE_HOLD_LIMIT && !is_left_out(Guard::ShareHoldLimit) {
        return false;
    }
    // Nor for one that work of higher priority goes before again and again.
    if h.outranked {
        return false;
    }
    // What is kept clear for narrow tasks is out of the others' reach anyway.
    if g.kept.is_some() && job.narrow_to.is_none() {
        return false;
    }
    // Work that ends in time may run in the meantime.
    view.now + job.spec.estimate * 3 / 2 + BACKFILL_SLACK > h.until
}

impl Region {
    /// The order in which waiting jobs are served: those within their team's
    /// guarantee, then priority, then the operators' precedence. Among equals, gangs go
    /// by their age, so that a large one is never passed over for ever; of the
    /// others, those that can still meet an aim of their class go before those that
    /// can't, the pressing ones first, then the short ones: that way the most are in
    /// time. Also returns after what span this changes by itself.
    pub(super) fn order_key(
        &self,
        id: &JobId,
        s: &JobSpec,
        view: &View<'_>,
    ) -> (OrderKey, Option<Micros>) {
        let precedence = view
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
        let suspect = self.jobs.get(id).is_some_and(|j| j.failures.is_suspect());
        // Guards against work of low priority that never begins while higher priority keeps
        // coming: once it is old enough a task starts now and then.
        let turn_in = self.jobs.get(id).and_then(|j| {
            let never_served = j.out.is_empty() && s.kind == Kind::Array && !suspect;
            let by_age = (s.submitted + PATIENCE).saturating_sub(view.wall);
            let by_last = (j.last_assigned + SHARE_HOLD_LIMIT).saturating_sub(view.now);
            never_served.then_some(by_age.max(by_last))
        });
        let key = |past_aims: bool, relaxed: bool, weight: u64| OrderKey {
            turn: std::cmp::Reverse(turn_in == Some(0)),
            suspect,
            beyond_guarantee: !guaranteed,
            priority: std::cmp::Reverse(s.priority),
            precedence,
            past_aims,
            relaxed,
            weight,
            submitted: s.submitted,
            id: id.clone(),
        };
        // One task needs no others' places: it goes by its aims like the rest.
        let together = s.kind == Kind::Gang && s.tasks > 1;
        let aged = s.submitted + PATIENCE;
        if together || view.wall >= aged {
            let change = turn_in.filter(|span| *span > 0);
            return (key(false, false, s.submitted), change.map(|c| c + MILLI));
        }
        let due = latest_start(s, view);
        let size = s.estimate.saturating_mul(s.tasks.into()) / 1000 * (s.cpus / 1000).max(1);
        let pressing = due.is_some_and(|d| d < view.wall + PRESSING);
        let weight = if pressing { due.unwrap_or(0) } else { size };
        let change = match due {
            Some(d) if pressing => d,
            Some(d) => d - PRESSING,
            None => aged,
        };
        let span = change.min(aged).saturating_sub(view.wall) + MILLI;
        (key(due.is_none(), !pressing, weight), Some(span))
    }

    /// Enters a job into the order of waiting jobs, or takes it out.
    pub(super) fn rekey(&mut self, id: &JobId, view: &View<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let waits = !job.waiting.is_empty() && !job.over;
        let (key, again) = if waits {
            let spec = job.spec.clone();
            let (k, again) = self.order_key(id, &spec, view);
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
                    self.wake.insert((view.now + span, id.clone()));
                }
            }
        }
    }

    /// Follows which jobs fit into their teams' guarantees.
    fn look_at_guarantees(&mut self, view: &View<'_>) {
        for team in std::mem::take(&mut self.stale_teams) {
            let last = quota::last_guaranteed(view.replica, view.settings, &team);
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
                    self.rekey(&id, view);
                }
            }
        }
    }

    /// Sends waiting tasks to machines: each to the fitting one that holds the
    /// fewest tasks. Only jobs for which something changed are looked at: their own
    /// tasks, a machine's room, or their team's share.
    pub fn place(&mut self, view: &View<'_>) {
        self.look_at_guarantees(view);
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
            if job.not_before > view.now || job.waiting.is_empty() {
                continue;
            }
            job.short = false;
            if job.spec.kind == Kind::Gang {
                self.place_gang(&id, view);
            } else {
                self.place_tasks(&id, view);
            }
            self.rekey(&id, view);
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
            self.share_out(view);
        }
    }

    /// The best machine for a task of the job: the fitting one that holds the
    /// fewest tasks, in this zone if one is given, in none of the full ones.
    pub(super) fn best_machine(
        &self,
        id: &JobId,
        zone: Option<&str>,
        full: &BTreeSet<String>,
        view: &View<'_>,
    ) -> Option<Rc<str>> {
        let job = self.jobs.get(id)?;
        let s = &job.spec;
        let wide = job.narrow_to.is_none();
        self.list.best(
            s,
            wide,
            |k| self.allowed(id, job, k, zone, full, view),
            |k, held, name| {
                let m = self.machines.get(name)?;
                let free = m.listed.room(wide)?;
                fits(free, s).then(|| {
                    (
                        // What may run elsewhere keeps off a type that others need.
                        wide && self.list.kept(k).is_some(),
                        job.failures.failed_on(name),
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
    pub(super) fn draw(&mut self, name: &Rc<str>, view: &View<'_>) {
        const LOOK: usize = 64;
        if self.unsent.is_empty() {
            return;
        }
        let patience = view.settings.report / 8;
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
                || job.failures.failed_on(name)
                || (bound && m.group != o.group)
                || (!fewer && view.now < since + patience)
                || !self.allowed(&id, job, &m.group, None, &BTreeSet::new(), view)
            {
                continue;
            }
            let fetch = |g: &GroupKey| {
                let speed = view.replica.flavors.get(&*g.0).map_or(0, |f| f.value.fetch);
                (s.image_size * SECOND).checked_div(speed).unwrap_or(0)
            };
            let here = if m.images.contains(&s.image) {
                0
            } else {
                fetch(&m.group)
            };
            let report = (o.heard_at + view.settings.report * 9 / 8).saturating_sub(view.now);
            let there = report + if h.brings { fetch(&o.group) } else { 0 };
            if here + 300 * MILLI >= there {
                continue;
            }
            let attempt = h.attempt;
            log::debug!("region: {id}/{n}: meant for {other}, drawn by {name}");
            self.transition(&id, n, Place::Assigned, Some((name, attempt)), view.now);
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
        view: &View<'_>,
    ) -> bool {
        job.spec.permits(&k.0, &k.1, k.2)
            && zone.is_none_or(|z| z == &*k.1)
            && !full.contains(&*k.1)
            && self
                .list
                .groups
                .get(k)
                .is_none_or(|g| !held_back(self.hold.as_ref(), id, job, k, g, view))
    }

    /// How many of a job's tasks there is room for, up to `most`.
    pub(super) fn room_for(
        &self,
        id: &JobId,
        zone: Option<&str>,
        most: u64,
        view: &View<'_>,
    ) -> u64 {
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
            |k| self.allowed(id, job, k, zone, &none, view),
            free,
            most,
        )
    }

    /// What the next jobs in line need of their teams' limits, those that have no
    /// room yet included. Guards against a machine that falls free and then stands
    /// idle for a report's interval, because the next task on it is of a team whose
    /// share must first be taken. No more than the region's machines could hold: a
    /// share kept for tasks that can't run here is lacking where they can.
    pub(super) fn count_wants(&mut self, view: &View<'_>) {
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
            let waiting = u64::from(job.wanted(view.now));
            let suspect = job.failures.is_suspect();
            let room = self.room_for(id, None, waiting, view);
            // A suspect job takes what is free now, and no share ahead of that.
            let mut n = if suspect && room < waiting {
                0
            } else if spec.kind == Kind::Gang {
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
                let turn = scheduling_order(&spec);
                s.turn = Some(s.turn.map_or(turn, |t| t.min(turn)));
            }
        }
    }

    fn place_tasks(&mut self, id: &JobId, view: &View<'_>) {
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            if job.wanted(view.now) == 0 {
                return;
            }
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
            let Some(name) = self.best_machine(id, zone.as_deref(), &full, view) else {
                return;
            };
            if !spec.amount().within(self.headroom(&spec.team, view)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.short = true;
                }
                return;
            }
            let one_only = job.key.as_ref().is_some_and(|k| k.turn.0);
            let attempt = self.next_attempt();
            self.transition(id, n, Place::Assigned, Some((&name, attempt)), view.now);
            if one_only {
                // The rest of it takes its place in the order again.
                self.dirty_jobs.insert(id.clone());
                return;
            }
        }
    }

    pub(super) fn next_attempt(&mut self) -> u64 {
        self.seq += 1;
        (self.token << 24) | (self.seq & 0xff_ffff)
    }

    /// The zones in which a gang could be, or just `None` if it may be anywhere.
    pub(super) fn zones_for(&self, job: &Job) -> Vec<Option<Rc<str>>> {
        if let Some(Joint(_, Some(z))) = &job.joint {
            return vec![Some(Rc::from(z.as_str()))];
        }
        if !job.spec.one_zone {
            return vec![None];
        }
        let zones: BTreeSet<Rc<str>> = self.list.groups.keys().map(|k| k.1.clone()).collect();
        zones.into_iter().map(Some).collect()
    }
}
