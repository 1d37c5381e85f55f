//! Gangs: placed whole, parts of joint ones, places held for the one whose turn it is.

use super::placement::AHEAD;
use super::*;

/// A gang has been with us for so long when places begin to be kept for it. Until
/// then smaller ones go ahead, since more of them are in time that way; a minute
/// leaves three for the places to fill up, of the four in which it must begin.
const HOLD_AFTER: Micros = 60 * SECOND;

impl Region {
    pub(super) fn place_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        // Of a gang over several regions, only this region's part is placed here.
        let n = job.bound.len();
        let whole = n == spec.task_count || job.multi_region.is_some();
        if job.restarting_gang
            || !job.on_machines.is_empty()
            || job.pending.len() != n
            || !whole
            || job.needs_new_attempt()
            || job.has_unbound_part
        {
            return;
        }
        let need = spec.quota_per_task().times(n as u64);
        let half = spec.task_count.div_ceil(2);
        let tasks: Vec<u32> = job.pending.numbers().collect();
        let (since, joint) = (job.pending_since, job.multi_region.clone());
        for zone in self.candidate_zones(job) {
            if self.tasks_placeable_now(id, zone.as_deref(), n as u64, context) < n as u64 {
                continue;
            }
            if !need.within(self.quota_headroom(&spec.team, context)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.quota_blocked = true;
                }
                return;
            }
            let attempt = match &joint {
                Some(j) => j.attempt,
                None => self.next_attempt(),
            };
            let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut full = BTreeSet::new();
            let mut placed = 0;
            for t in &tasks {
                let Some(name) = self.best_machine(id, zone.as_deref(), &full, context) else {
                    break;
                };
                if spec.spread_zones {
                    if let Some(m) = self.inventory.machines.get(&name) {
                        let c = per_zone.entry(m.record.zone.clone()).or_default();
                        *c += 1;
                        if *c >= half {
                            full.insert(m.record.zone.clone());
                        }
                    }
                }
                self.transition(
                    id,
                    *t,
                    TaskState::Assigned,
                    Some((&name, attempt)),
                    context.now,
                );
                placed += 1;
            }
            if placed < tasks.len() {
                for t in &tasks[..placed] {
                    self.transition(id, *t, TaskState::Pending, None, context.now);
                }
                self.triggers.jobs.remove(id);
                if let Some(j) = self.jobs.get_mut(id) {
                    j.pending_since = since;
                }
                continue;
            }
            if self.reservation.as_ref().is_some_and(|h| h.job == *id) {
                self.reservation = None;
                self.triggers.all = true;
            }
            if joint.is_some() {
                log::info!("region: {id}: room held for our part, attempt {attempt}");
                if let Some(j) = self.jobs.get_mut(id) {
                    j.barrier_since = Some(context.now);
                }
                self.queue.wakeups.insert((
                    context.now + context.settings.gang_start_timeout,
                    id.clone(),
                ));
            }
            return;
        }
        self.reserve_for_gang(id, context);
    }

    /// Parts of gangs over several regions for which room is held here.
    pub(super) fn gang_parts_ready(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.jobs.iter().filter_map(|(id, j)| {
            let joint = j.multi_region.as_ref()?;
            j.barrier_since.map(|_| (id, joint.attempt))
        })
    }

    /// All parts of a gang over several regions have room: start ours.
    pub fn start_gang_part(&mut self, id: &str, attempt: u64, context: &SchedulingContext<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        let held = job.barrier_since.is_some()
            && job
                .multi_region
                .as_ref()
                .is_some_and(|j| j.attempt == attempt);
        if !held || job.is_over {
            return;
        }
        log::info!("region: {id}: all parts have room, attempt {attempt} starts");
        let out: Vec<(u32, Rc<str>)> = job
            .on_machines
            .iter()
            .map(|(n, m)| (*n, m.clone()))
            .collect();
        if let Some(j) = self.jobs.get_mut(&id) {
            j.barrier_since = None;
            j.last_multi_region_attempt = attempt;
        }
        for (n, name) in out {
            if let Some(h) = self.assignment_mut(&id, n, &name) {
                h.awaits_start_barrier = false;
                h.since = context.now;
            }
        }
    }

    /// A gang finds no room: if it is the first in line to wait, the places that
    /// fall free are kept for it.
    pub(super) fn reserve_for_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if self.reservation.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.failures.is_suspect() {
            return;
        }
        // Since its submission: it may have been moved here.
        let age = context.wall.saturating_sub(job.spec.submitted_at);
        if age < HOLD_AFTER {
            self.queue
                .wakeups
                .insert((context.now + HOLD_AFTER - age, id.clone()));
            return;
        }
        let n = job.bound.len() as u64;
        let wide = job.only_type.is_none();
        let best = self
            .candidate_zones(job)
            .into_iter()
            .map(|zone| {
                let could = self
                    .inventory
                    .index
                    .tasks_fitting_when_empty(&job.spec, wide, |k| {
                        k.permits(&job.spec) && zone.as_ref().is_none_or(|z| *z == k.zone)
                    });
                let room = self.tasks_placeable_now(id, zone.as_deref(), n, context);
                (could >= n, room, zone)
            })
            .max();
        let Some((true, room, zone)) = best else {
            return;
        };
        log::info!("region: {id}: places are kept for it, {room} of {n} free");
        self.reservation = Some(GangReservation {
            job: id.clone(),
            priority: job.spec.priority,
            team: job.spec.team.clone(),
            quota_blocked: false,
            outranked: false,
            zone,
            filled_at: 0,
            updated_at: 0,
        });
        self.update_reservation(context);
    }

    /// Looks whether places must still be held, and until when they will fill.
    pub(super) fn update_reservation(&mut self, context: &SchedulingContext<'_>) {
        let Some(h) = &self.reservation else { return };
        let stays = self.jobs.get(&h.job).filter(|j| {
            !j.is_over && j.queue_key.is_some() && !j.needs_new_attempt() && !j.commit_in_flight
        });
        let Some(job) = stays else {
            self.reservation = None;
            self.triggers.all = true;
            return;
        };
        if context.now < h.updated_at + 2 * SECOND {
            return;
        }
        let short = job.quota_blocked;
        let priority = job.spec.priority;
        let next = self.queue.ready.values().take(AHEAD);
        let outranked = next
            .filter_map(|id| self.jobs.get(id))
            .any(|j| j.spec.priority > priority && !j.quota_blocked);
        let n = job.bound.len() as u64;
        // When each machine will have been left by all that is on it now.
        let mut free_at: Vec<(Micros, u64)> = Vec::new();
        for (k, g) in &self.inventory.index.pools {
            if !k.permits(&job.spec) || h.zone.as_ref().is_some_and(|z| *z != k.zone) {
                continue;
            }
            let each = job.spec.tasks_fitting_in(g.capacity);
            for m in g
                .available_machines()
                .filter_map(|n| self.inventory.machines.get(n))
            {
                let ends = m
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.constrained || g.reserved.is_none())
                    .filter_map(|((id, _), t)| {
                        let est = self.jobs.get(id)?.spec.estimated_run_time;
                        Some(t.running_since.unwrap_or(context.now) + est)
                    })
                    .max();
                free_at.push((ends.unwrap_or(0).max(context.now), each));
            }
        }
        free_at.sort_unstable();
        let mut have = 0;
        let until = free_at.iter().find_map(|(at, each)| {
            have += each;
            (have >= n).then_some(*at)
        });
        if let Some(h) = &mut self.reservation {
            h.filled_at = until.unwrap_or(0);
            h.updated_at = context.now;
            h.quota_blocked = short;
            h.outranked = outranked;
        }
        self.triggers.all = true;
    }
}
