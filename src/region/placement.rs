//! The level-two list at work: which machine each task goes to.

use super::reservation::is_reserved_for_another;
use super::*;

/// What has changed since the last placement: only jobs that it may concern are looked at.
#[derive(Debug, Default)]
pub(super) struct PlacementTriggers {
    pub(super) jobs: BTreeSet<JobId>,
    pub(super) machines: BTreeSet<Rc<str>>,
    pub(super) teams: BTreeSet<String>,
    /// Everything.
    pub(super) all: bool,
}

/// For how many waiting jobs shares are taken ahead of room.
pub(super) const AHEAD: usize = 3;
/// How often old work that never began gets a task ahead of the order. Guards against a
/// flood of old jobs of one task each, all of which would go first.
const TURN_EVERY: Micros = 5 * SECOND;

impl Region {
    /// Sends waiting tasks to machines: each to the fitting one that holds the
    /// fewest tasks. Only jobs for which something changed are looked at: their own
    /// tasks, a machine's room, or their team's share.
    pub fn place_pending(&mut self, context: &SchedulingContext<'_>) {
        self.update_guaranteed_jobs(context);
        let jobs = std::mem::take(&mut self.triggers.jobs);
        let machines = std::mem::take(&mut self.triggers.machines);
        let teams = std::mem::take(&mut self.triggers.teams);
        let all = std::mem::take(&mut self.triggers.all) || machines.len() > 16;
        if self.queue.ready.is_empty()
            || (!all && jobs.is_empty() && machines.is_empty() && teams.is_empty())
        {
            return;
        }
        let rooms: Vec<(Resources, &Machine)> = machines
            .iter()
            .filter_map(|n| self.inventory.machines.get(n))
            .filter(|m| matches!(m.index_entry, IndexEntry::Available { .. }))
            .map(|m| (m.free(), m))
            .collect();
        let todo: Vec<JobId> = self
            .queue
            .ready
            .values()
            .filter(|id| {
                all || jobs.contains(*id)
                    || self.jobs.get(*id).is_some_and(|j| {
                        (j.quota_blocked && teams.contains(&j.spec.team))
                            || rooms.iter().any(|(free, m)| {
                                j.spec.task_fits_in(*free)
                                    && j.spec.permits_placement(
                                        &m.record.machine_type,
                                        &m.record.zone,
                                        m.record.spot,
                                    )
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
            if job.not_before > context.now || job.pending.is_empty() {
                continue;
            }
            job.quota_blocked = false;
            if job.spec.kind == JobKind::Gang {
                self.place_gang(&id, context);
            } else {
                self.place_tasks(&id, context);
            }
            self.update_queue_position(&id, context);
            short |= self.jobs.get(&id).is_some_and(|j| j.quota_blocked);
        }
        if !self.inventory.draining.is_empty() {
            let next = self.queue.ready.values().take(AHEAD);
            let waits: BTreeSet<bool> = next
                .filter_map(|id| self.jobs.get(id))
                .filter(|j| !j.quota_blocked)
                .map(|j| j.only_type.is_some())
                .collect();
            for narrow in waits {
                self.uncordon(narrow);
            }
        }
        // What was found wanting is asked for at once.
        if short {
            self.update_quota_shares(context);
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
        let wide = job.only_type.is_none();
        self.inventory.index.best_machine(
            s,
            wide,
            |k| self.may_use_pool(id, job, k, zone, full, context),
            |k, held, name| {
                let m = self.inventory.machines.get(name)?;
                let free = m.index_entry.free_for(wide)?;
                s.task_fits_in(free).then(|| {
                    (
                        // What may run elsewhere keeps off a type that others need.
                        wide && self.inventory.index.reserved(k).is_some(),
                        job.failures.failed_on(name),
                        held,
                        !m.images.contains(&s.image),
                        !k.spot && s.allows_spot,
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
    pub(super) fn reassign_to_reporting(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) {
        const LOOK: usize = 64;
        if self.undispatched.is_empty() {
            return;
        }
        let patience = context.settings.heartbeat_interval / 8;
        let todo: Vec<(Micros, JobId, u32)> =
            self.undispatched.iter().take(LOOK).cloned().collect();
        for (since, id, n) in todo {
            let (Some(job), Some(m)) = (self.jobs.get(&id), self.inventory.machines.get(name))
            else {
                continue;
            };
            let s = &job.spec;
            let wide = job.only_type.is_none();
            let Some(room) = m.index_entry.free_for(wide) else {
                return;
            };
            let Some(other) = job.on_machines.get(&n).filter(|o| *o != name) else {
                continue;
            };
            let Some(o) = self.inventory.machines.get(other) else {
                continue;
            };
            let Some(h) = o.tasks.get(&(id.clone(), n)) else {
                continue;
            };
            // Where a job's tasks are together is settled; only the machine changes.
            let bound = s.kind == JobKind::Gang || s.single_zone || s.spread_zones;
            let fewer = m.tasks.len() < o.tasks.len();
            let scarce = wide && self.inventory.index.reserved(&m.pool).is_some();
            if scarce
                || h.stop_grace.is_some()
                || !s.task_fits_in(room)
                || job.failures.failed_on(name)
                || (bound && m.pool != o.pool)
                || (!fewer && context.now < since + patience)
                || !self.may_use_pool(&id, job, &m.pool, None, &BTreeSet::new(), context)
            {
                continue;
            }
            let fetch = |g: &MachinePool| {
                let speed = context
                    .replica
                    .machine_types
                    .get(&*g.machine_type)
                    .map_or(0, |f| f.value.fetch_rate);
                (s.image_size * SECOND).checked_div(speed).unwrap_or(0)
            };
            let here = if m.images.contains(&s.image) {
                0
            } else {
                fetch(&m.pool)
            };
            let report = (o.last_heartbeat_at + context.settings.heartbeat_interval * 9 / 8)
                .saturating_sub(context.now);
            let there = report + if h.image_missing { fetch(&o.pool) } else { 0 };
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
    pub(super) fn forget_image(&mut self, machine: &str, id: &JobId) {
        let Some(image) = self.jobs.get(id).map(|j| &j.spec.image) else {
            return;
        };
        if let Some(m) = self.inventory.machines.get_mut(machine) {
            let first = (id.clone(), 0);
            let mut mates = m.tasks.range_mut(first..).take_while(|(k, _)| k.0 == *id);
            match mates.next() {
                Some((_, mate)) => mate.image_missing = true,
                None => {
                    m.images.remove(image);
                }
            }
        }
    }

    /// Whether a job's tasks may go to machines of a group just now.
    fn may_use_pool(
        &self,
        id: &JobId,
        job: &Job,
        k: &MachinePool,
        zone: Option<&str>,
        full: &BTreeSet<String>,
        context: &SchedulingContext<'_>,
    ) -> bool {
        k.permits(&job.spec)
            && zone.is_none_or(|z| z == &*k.zone)
            && !full.contains(&*k.zone)
            && self.inventory.index.pools.get(k).is_none_or(|g| {
                !is_reserved_for_another(self.reservation.as_ref(), id, job, k, g, context)
            })
    }

    /// How many of a job's tasks there is room for, up to `most`.
    pub(super) fn tasks_placeable_now(
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
        let wide = job.only_type.is_none();
        let free = |n: &str| {
            let room = self
                .inventory
                .machines
                .get(n)
                .and_then(|m| m.index_entry.free_for(wide));
            room.unwrap_or_default()
        };
        self.inventory.index.tasks_fitting_now(
            &job.spec,
            wide,
            |k| self.may_use_pool(id, job, k, zone, &none, context),
            free,
            most,
        )
    }

    /// What the next jobs in line need of their teams' limits, those that have no
    /// room yet included. Guards against a machine that falls free and then stands
    /// idle for a report's interval, because the next task on it is of a team whose
    /// share must first be taken. No more than the region's machines could hold: a
    /// share kept for tasks that can't run here is lacking where they can.
    pub(super) fn update_quota_demand(&mut self, context: &SchedulingContext<'_>) {
        const LOOK: usize = 60;
        for s in self.quotas.by_team.values_mut() {
            s.demand = QuotaAmount::default();
            s.demand_ahead = QuotaAmount::default();
            s.first_rank = None;
        }
        // Guards against a small region that wants its whole hold for each job in line
        // on top of the others, and keeps the limit from where there is room.
        let mut left = self.inventory.index.total_quota();
        let ids: Vec<JobId> = self.queue.ready.values().take(LOOK).cloned().collect();
        for (i, id) in ids.iter().enumerate() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let waiting = u64::from(job.tasks_to_schedule(context.now));
            let suspect = job.failures.is_suspect();
            let room = self.tasks_placeable_now(id, None, waiting, context);
            // A suspect job takes what is free now, and no share ahead of that.
            let mut n = if suspect && room < waiting {
                0
            } else if spec.kind == JobKind::Gang {
                let could = self.inventory.index.tasks_fitting_when_empty(
                    &spec,
                    job.only_type.is_none(),
                    |k| k.permits(&spec),
                );
                if could >= waiting {
                    waiting
                } else {
                    0
                }
            } else {
                if i < AHEAD {
                    let could = self.inventory.index.tasks_fitting_when_empty(
                        &spec,
                        job.only_type.is_none(),
                        |k| k.permits(&spec),
                    );
                    room.max(could.min(waiting).min(16))
                } else {
                    room
                }
            };
            let each = spec.quota_per_task();
            let most = |left: u64, each: u64| left.checked_div(each).unwrap_or(u64::MAX);
            let fit = most(left.cpus, each.cpus).min(most(left.gpus, each.gpus));
            if spec.kind != JobKind::Gang {
                n = n.min(fit);
            } else if n > fit {
                n = 0;
            }
            if n > 0 {
                let s = self
                    .quotas
                    .by_team
                    .entry(Rc::from(spec.team.as_str()))
                    .or_default();
                // What its team's limit keeps from starting takes up nothing.
                if !s.is_limited {
                    left = left.minus(each.times(n));
                }
                let now = match spec.kind {
                    JobKind::Gang if room < n => 0,
                    _ => room.min(n),
                };
                s.demand = s.demand.plus(each.times(now));
                s.demand_ahead = s.demand_ahead.plus(each.times(n - now));
                let turn = scheduling_order(&spec);
                s.first_rank = Some(s.first_rank.map_or(turn, |t| t.min(turn)));
            }
        }
    }

    fn place_tasks(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            if job.tasks_to_schedule(context.now) == 0 {
                return;
            }
            let one_only = job.queue_key.as_ref().is_some_and(OrderKey::is_ahead);
            if one_only && context.now < self.queue.next_aged_start_at {
                // Another has had its turn: this one is served in the usual order.
                self.triggers.jobs.insert(id.clone());
                return;
            }
            let Some(n) = job.pending.first() else { return };
            let spec = job.spec.clone();
            // Where the job's other tasks are at this moment binds the next.
            let mut zones: BTreeMap<String, u32> = BTreeMap::new();
            if spec.single_zone || spec.spread_zones {
                if !job.unreconciled.is_empty() {
                    return;
                }
                for m in job.on_machines.values() {
                    if let Some(m) = self.inventory.machines.get(m) {
                        *zones.entry(m.record.zone.clone()).or_default() += 1;
                    }
                }
            }
            let zone = if spec.single_zone {
                zones.keys().next().cloned()
            } else {
                None
            };
            let half = spec.task_count.div_ceil(2);
            let full: BTreeSet<String> = if spec.spread_zones {
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
            if !spec
                .quota_per_task()
                .within(self.quota_headroom(&spec.team, context))
            {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.quota_blocked = true;
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
                self.queue.next_aged_start_at = context.now + TURN_EVERY;
                self.triggers.jobs.insert(id.clone());
                return;
            }
        }
    }

    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt_sequence += 1;
        (self.token << 24) | (self.attempt_sequence & 0xff_ffff)
    }

    /// The zones in which a gang could be, or just `None` if it may be anywhere.
    pub(super) fn candidate_zones(&self, job: &Job) -> Vec<Option<Rc<str>>> {
        if let Some(MultiRegionAttempt { zone: Some(z), .. }) = &job.multi_region {
            return vec![Some(Rc::from(z.as_str()))];
        }
        if !job.spec.single_zone {
            return vec![None];
        }
        let zones: BTreeSet<Rc<str>> = self
            .inventory
            .index
            .pools
            .keys()
            .map(|k| k.zone.clone())
            .collect();
        zones.into_iter().map(Some).collect()
    }
}
