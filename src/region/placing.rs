//! The level-two list at work: the order of waiting jobs, and which machine
//! each task goes to.

use super::*;

pub(super) type OrderKey = (
    bool,
    std::cmp::Reverse<crate::model::Rank>,
    usize,
    bool,
    bool,
    u64,
    u64,
);

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
    types: BTreeMap<String, ((u64, u64, u64), Micros)>,
}

impl NarrowMemory {
    /// Remembers a job, if it is one that fits on one type only.
    pub fn note(&mut self, spec: &JobSpec, r: &Replica, now: Micros) {
        if let Some(f) = narrow_type(spec, r) {
            let e = self.types.entry(f).or_insert(((0, 0, 0), now));
            e.0 .0 = e.0 .0.max(spec.cpus);
            e.0 .1 = e.0 .1.max(spec.gpus);
            e.0 .2 = e.0 .2.max(spec.mem);
            e.1 = now;
        }
    }

    /// What is kept clear on machines of a type.
    pub fn kept_for(&self, flavor: &str, now: Micros) -> Option<(u64, u64, u64)> {
        self.types
            .get(flavor)
            .filter(|(_, seen)| now < seen + NARROW_MEMORY)
            .map(|(n, _)| *n)
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

pub(super) fn fits(free: (u64, u64, u64), s: &JobSpec) -> bool {
    s.cpus <= free.0 && s.gpus <= free.1 && s.mem <= free.2
}

/// For how many waiting jobs shares are taken ahead of room.
const AHEAD: usize = 3;

/// How long a type is kept clear for jobs that fit nowhere else, after the last
/// of them was seen.
const NARROW_MEMORY: Micros = 180 * SECOND;

impl Region {
    /// The order in which waiting jobs are served: those within their team's
    /// guarantee, then rank, then the operators' precedence. Among equals, those
    /// that can still meet an aim of their class go before those that can't, the
    /// pressing ones first, then the short ones: that way the most are in time.
    pub(super) fn order_key(&self, id: &str, s: &JobSpec, v: &View<'_>) -> OrderKey {
        let precedence = v
            .settings
            .operator
            .precedence
            .iter()
            .position(|c| *c == s.class)
            .unwrap_or(usize::MAX);
        let due = latest_start(s, v);
        let size = s.estimate.saturating_mul(s.tasks.into()) / 1000 * (s.cpus / 1000).max(1);
        let pressing = due.is_some_and(|d| d < v.wall + PRESSING);
        (
            !self.guaranteed.contains(id),
            std::cmp::Reverse(s.rank),
            precedence,
            due.is_none(),
            !pressing,
            if pressing { due.unwrap_or(0) } else { size },
            s.submitted,
        )
    }

    /// Sends waiting tasks to machines: each to the fitting one that holds the
    /// fewest tasks.
    pub fn place(&mut self, v: &View<'_>) {
        self.dirty = false;
        if self.guarantee_stale {
            self.guaranteed = quota::within_guarantee(v.replica, v.settings);
            self.guarantee_stale = false;
        }
        for s in self.shares.values_mut() {
            s.want = Amount::default();
        }
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.waiting.is_empty() && !j.over && j.not_before <= v.now)
            .map(|(id, j)| (self.order_key(id, &j.spec, v), id.clone()))
            .collect();
        order.sort();
        let mut ahead = 0;
        for (_, id) in order {
            if self.jobs[&id].spec.kind == Kind::Gang {
                self.place_gang(&id, v);
            } else {
                self.place_tasks(&id, v);
            }
            if ahead < AHEAD && !self.jobs[&id].waiting.is_empty() {
                ahead += 1;
                self.prepare(&id);
            }
        }
        // What was found wanting is asked for at once.
        if self.shares.values().any(|s| s.want != Amount::default()) {
            self.share_out(v);
        }
        self.dirty = false;
    }

    pub(super) fn best_machine(
        &self,
        job: &Job,
        zone: Option<&str>,
        extra: &BTreeMap<String, (u64, u64, u64)>,
        full_zones: &BTreeSet<String>,
        v: &View<'_>,
    ) -> Option<String> {
        let s = &job.spec;
        type Order = (bool, usize, bool, bool);
        let mut best: Option<(Order, &String)> = None;
        for (name, m) in &self.machines {
            if !m.open() || m.notice.is_some() {
                continue;
            }
            let mut free = m.free();
            if let Some(x) = extra.get(name) {
                free = (
                    free.0.saturating_sub(x.0),
                    free.1.saturating_sub(x.1),
                    free.2.saturating_sub(x.2),
                );
            }
            if !fits(free, s)
                || (m.rec.spot && !s.spot)
                || s.zone.as_ref().is_some_and(|z| *z != m.rec.zone)
                || zone.is_some_and(|z| z != m.rec.zone)
                || full_zones.contains(&m.rec.zone)
                || s.types.as_ref().is_some_and(|t| !t.contains(&m.rec.flavor))
            {
                continue;
            }
            // Kept clear for jobs that fit on no other type.
            if job.narrow_to.is_none() && !m.rec.spot {
                if let Some(n) = self.narrow.kept_for(&m.rec.flavor, v.now) {
                    let wide = m
                        .tasks
                        .values()
                        .filter(|h| !h.narrow)
                        .fold((0, 0, 0), |a, h| {
                            (a.0 + h.need.cpus, a.1 + h.need.gpus, a.2 + h.mem)
                        });
                    if wide.0 + s.cpus + n.0 > m.cap.0
                        || wide.1 + s.gpus + n.1 > m.cap.1
                        || wide.2 + s.mem + n.2 > m.cap.2
                    {
                        continue;
                    }
                }
            }
            let held = m.tasks.len() + usize::from(extra.contains_key(name));
            let key = (
                job.failed_on.contains(name),
                held,
                !m.images.contains(&s.image),
                !m.rec.spot && s.spot,
            );
            if best.as_ref().is_none_or(|(k, _)| key < *k) {
                best = Some((key, name));
            }
        }
        best.map(|(_, n)| n.clone())
    }

    /// Asks for the share that the next jobs in line will need, before there is
    /// room for them. Guards against a machine that falls free and then stands
    /// idle for a report's interval, because the next task on it is of a team
    /// whose share must first be taken.
    pub(super) fn prepare(&mut self, id: &JobId) {
        let job = &self.jobs[id];
        let spec = &job.spec;
        // No more than the region's machines could hold: a share kept for tasks
        // that can't run here is lacking where they can.
        let most: u64 = self
            .machines
            .values()
            .filter(|m| m.open() && spec.permits(&m.rec.flavor, &m.rec.zone, m.rec.spot))
            .map(|m| spec.count_in(m.cap))
            .sum();
        let n = match spec.kind {
            Kind::Gang if most < spec.tasks.into() => 0,
            Kind::Gang => spec.tasks.into(),
            _ => most.min(job.waiting.len().min(16).into()),
        };
        let need = spec.amount().times(n);
        let s = self
            .shares
            .entry(Rc::from(job.spec.team.as_str()))
            .or_default();
        s.want = Amount {
            cpus: s.want.cpus.max(need.cpus),
            gpus: s.want.gpus.max(need.gpus),
        };
    }

    pub(super) fn place_tasks(&mut self, id: &JobId, v: &View<'_>) {
        let none = BTreeMap::new();
        loop {
            let job = &self.jobs[id];
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
            let Some(name) = self.best_machine(job, zone.as_deref(), &none, &full, v) else {
                return;
            };
            let need = spec.amount();
            if !need.within(self.headroom(&spec.team, v)) {
                let waiting = job.waiting.len() as u64;
                let room: u64 = self
                    .machines
                    .values()
                    .filter(|m| m.open())
                    .map(|m| {
                        let f = m.free();
                        f.0.checked_div(spec.cpus).unwrap_or(waiting)
                    })
                    .sum();
                let s = self.shares.entry(Rc::from(spec.team.as_str())).or_default();
                s.want = s.want.plus(need.times(waiting.min(room.max(1))));
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

    pub(super) fn place_gang(&mut self, id: &JobId, v: &View<'_>) {
        let job = &self.jobs[id];
        let spec = job.spec.clone();
        if job.breaking || !job.out.is_empty() || job.waiting.len() != spec.tasks {
            return;
        }
        let need = spec.amount().times(spec.tasks as u64);
        let zones: Vec<Option<String>> = if spec.one_zone {
            let z: BTreeSet<String> = self.machines.values().map(|m| m.rec.zone.clone()).collect();
            z.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let half = spec.tasks.div_ceil(2);
        for zone in zones {
            let mut extra: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
            let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut full = BTreeSet::new();
            let mut picks = Vec::new();
            for n in job.waiting.numbers() {
                let Some(name) = self.best_machine(job, zone.as_deref(), &extra, &full, v) else {
                    break;
                };
                let e = extra.entry(name.clone()).or_default();
                *e = (e.0 + spec.cpus, e.1 + spec.gpus, e.2 + spec.mem);
                if spec.spread {
                    let z = self.machines[&name].rec.zone.clone();
                    let c = per_zone.entry(z.clone()).or_default();
                    *c += 1;
                    if *c >= half {
                        full.insert(z);
                    }
                }
                picks.push((n, name));
            }
            if picks.len() as u32 != spec.tasks {
                continue;
            }
            if !need.within(self.headroom(&spec.team, v)) {
                let s = self.shares.entry(Rc::from(spec.team.as_str())).or_default();
                s.want = s.want.plus(need);
                return;
            }
            let attempt = self.next_attempt();
            for (n, name) in picks {
                self.shift(id, n, Place::Assigned, Some((&name, attempt)), v.now);
            }
            return;
        }
    }
}
