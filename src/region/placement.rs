//! The level-two list at work: which machine each task goes to.

use super::reservation::is_reserved_for_another;
use super::*;

/// For how many waiting jobs shares are taken ahead of room.
pub(super) const AHEAD: usize = 3;
/// How often old work that never began gets a task ahead of the order. Guards against a
/// flood of old jobs of one task each, all of which would go first.
const TURN_EVERY: Micros = 5 * SECOND;

impl Region {
    /// Sends waiting tasks to machines: each to the fitting one that holds the
    /// fewest tasks. Only jobs for which something changed are looked at: their own
    /// tasks, a machine's room, or their team's share.
    pub fn place(&mut self, context: &SchedulingContext<'_>) {
        self.look_at_guarantees(context);
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
            .filter(|m| matches!(m.listed, IndexEntry::Available { .. }))
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
                                    && j.spec.permits(&m.rec.machine_type, &m.rec.zone, m.rec.spot)
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
            if job.not_before > context.now || job.waiting.is_empty() {
                continue;
            }
            job.short = false;
            if job.spec.kind == JobKind::Gang {
                self.place_gang(&id, context);
            } else {
                self.place_tasks(&id, context);
            }
            self.rekey(&id, context);
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
            self.share_out(context);
        }
    }

    /// The best machine for a task of the job: the fitting one that holds the
    /// fewest tasks, in this zone if one is given, in none of the full ones.
    pub(super) fn best_machine(
        &self,
        id: &JobId,
        zone: Option<&str>,
        full: &BTreeSet<String>,
        context: &SchedulingContext<'_>,
    ) -> Option<Rc<str>> {
        let job = self.jobs.get(id)?;
        let s = &job.spec;
        let wide = job.narrow_to.is_none();
        self.list.best(
            s,
            wide,
            |k| self.allowed(id, job, k, zone, full, context),
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
    pub(super) fn draw(&mut self, name: &Rc<str>, context: &SchedulingContext<'_>) {
        const LOOK: usize = 64;
        if self.unsent.is_empty() {
            return;
        }
        let patience = context.settings.report / 8;
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
            let bound = s.kind == JobKind::Gang || s.one_zone || s.spread;
            let fewer = m.tasks.len() < o.tasks.len();
            let scarce = wide && self.list.kept(&m.group).is_some();
            if scarce
                || h.stop.is_some()
                || !fits(room, s)
                || job.failures.failed_on(name)
                || (bound && m.group != o.group)
                || (!fewer && context.now < since + patience)
                || !self.allowed(&id, job, &m.group, None, &BTreeSet::new(), context)
            {
                continue;
            }
            let fetch = |g: &GroupKey| {
                let speed = context
                    .replica
                    .machine_types
                    .get(&*g.0)
                    .map_or(0, |f| f.value.fetch);
                (s.image_size * SECOND).checked_div(speed).unwrap_or(0)
            };
            let here = if m.images.contains(&s.image) {
                0
            } else {
                fetch(&m.group)
            };
            let report = (o.heard_at + context.settings.report * 9 / 8).saturating_sub(context.now);
            let there = report + if h.brings { fetch(&o.group) } else { 0 };
            if here + 300 * MILLISECOND >= there {
                continue;
            }
            let attempt = h.attempt;
            log::debug!("region: {id}/{n}: meant for {other}, drawn by {name}");
            self.transition(
                &id,
                n,
                TaskState::Assigned,
                Some((name, attempt)),
                context.now,
            );
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
        context: &SchedulingContext<'_>,
    ) -> bool {
        job.spec.permits(&k.0, &k.1, k.2)
            && zone.is_none_or(|z| z == &*k.1)
            && !full.contains(&*k.1)
            && self.list.groups.get(k).is_none_or(|g| {
                !is_reserved_for_another(self.hold.as_ref(), id, job, k, g, context)
            })
    }

    /// How many of a job's tasks there is room for, up to `most`.
    pub(super) fn room_for(
        &self,
        id: &JobId,
        zone: Option<&str>,
        most: u64,
        context: &SchedulingContext<'_>,
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
            |k| self.allowed(id, job, k, zone, &none, context),
            free,
            most,
        )
    }

    /// What the next jobs in line need of their teams' limits, those that have no
    /// room yet included. Guards against a machine that falls free and then stands
    /// idle for a report's interval, because the next task on it is of a team whose
    /// share must first be taken. No more than the region's machines could hold: a
    /// share kept for tasks that can't run here is lacking where they can.
    pub(super) fn count_wants(&mut self, context: &SchedulingContext<'_>) {
        const LOOK: usize = 60;
        for s in self.shares.values_mut() {
            s.want = QuotaAmount::default();
            s.ahead = QuotaAmount::default();
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
            let waiting = u64::from(job.wanted(context.now));
            let suspect = job.failures.is_suspect();
            let room = self.room_for(id, None, waiting, context);
            // A suspect job takes what is free now, and no share ahead of that.
            let mut n = if suspect && room < waiting {
                0
            } else if spec.kind == JobKind::Gang {
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
            if spec.kind != JobKind::Gang {
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
                    JobKind::Gang if room < n => 0,
                    _ => room.min(n),
                };
                s.want = s.want.plus(each.times(now));
                s.ahead = s.ahead.plus(each.times(n - now));
                let turn = scheduling_order(&spec);
                s.turn = Some(s.turn.map_or(turn, |t| t.min(turn)));
            }
        }
    }

    fn place_tasks(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            if job.wanted(context.now) == 0 {
                return;
            }
            let one_only = job.key.as_ref().is_some_and(OrderKey::is_ahead);
            if one_only && context.now < self.next_turn {
                // Another has had its turn: this one is served in the usual order.
                self.dirty_jobs.insert(id.clone());
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
            let Some(name) = self.best_machine(id, zone.as_deref(), &full, context) else {
                return;
            };
            if !spec.amount().within(self.headroom(&spec.team, context)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.short = true;
                }
                return;
            }
            let attempt = self.next_attempt();
            self.transition(
                id,
                n,
                TaskState::Assigned,
                Some((&name, attempt)),
                context.now,
            );
            if one_only {
                // The rest of it takes its place in the order again.
                self.next_turn = context.now + TURN_EVERY;
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
        if let Some(MultiRegionAttempt(_, Some(z))) = &job.joint {
            return vec![Some(Rc::from(z.as_str()))];
        }
        if !job.spec.one_zone {
            return vec![None];
        }
        let zones: BTreeSet<Rc<str>> = self.list.groups.keys().map(|k| k.1.clone()).collect();
        zones.into_iter().map(Some).collect()
    }
}
