//! Stopping work for work that goes before it.

use super::reservation::is_reserved_for_another;
use super::*;

/// A job within its guarantee waits so long for room before others make it.
const PREEMPT_AFTER: Micros = 6 * SECOND;

impl Region {
    /// Stops work so that a job within its team's guarantee, or of higher priority,
    /// finds room: of lower priority, or of other teams beyond their own guarantees.
    /// Only for the first such job in line, only after it has waited for a while,
    /// and only as much as it needs; what has run for the shortest time goes first.
    pub(super) fn preempt(&mut self, context: &SchedulingContext<'_>) {
        const LOOK: usize = 8;
        if context.now < self.next_preemption_at
            || !self.reconciliation.is_complete()
            || !context.may_start
        {
            return;
        }
        let ids: Vec<JobId> = self.queue.ready.values().take(LOOK).cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let guaranteed = job.queue_key.as_ref().is_some_and(|k| !k.beyond_guarantee);
            let wait = context.now.saturating_sub(job.pending_since);
            if job.quota_blocked
                || job.not_before > context.now
                || wait < PREEMPT_AFTER
                || job.commit_in_flight
                || job.failures.is_suspect()
            {
                continue;
            }
            // Guards against room made for a job that its team's share here does not
            // let start: what was stopped takes the place again, and is stopped again.
            let least = if job.spec.kind == JobKind::Gang {
                job.bound.len() as u64
            } else {
                1
            };
            let need = job.spec.quota_per_task().times(least);
            if !need.within(self.quota_headroom(&job.spec.team, context)) {
                continue;
            }
            self.next_preemption_at = context.now + SECOND;
            if self.preempt_for(&id, guaranteed, context) {
                return;
            }
        }
    }

    /// Whether a task has most of its run before it, or can save: else it is soon
    /// through by itself, and to stop it would waste more than it gains.
    pub(super) fn is_worth_preempting(
        &self,
        id: &JobId,
        h: &Assignment,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let ran = h
            .running_since
            .map_or(0, |at| context.now.saturating_sub(at));
        self.jobs
            .get(id)
            .is_some_and(|j| j.spec.checkpoint_interval > 0 || ran < j.spec.estimated_run_time / 3)
    }

    pub(super) fn preempt_for(
        &mut self,
        id: &JobId,
        guaranteed: bool,
        context: &SchedulingContext<'_>,
    ) -> bool {
        const MOST: u64 = 16;
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = job.spec.clone();
        let gang = spec.kind == JobKind::Gang;
        let wide = job.only_type.is_none();
        let priority = spec.priority;
        let n = if gang {
            job.bound.len() as u64
        } else {
            (job.pending.len() as u64).min(MOST)
        };
        let may_stop = |other: &JobId, r: &Region| {
            r.jobs.get(other).is_some_and(|o| {
                let beyond = r
                    .queue.last_guaranteed
                    .get(&o.spec.team)
                    .is_none_or(|last| !last.is_not_before(o.spec.submitted_at, other));
                !o.is_over
                    && o.spec.kind != JobKind::Service
                    // Guards against work within a guarantee that is stopped for higher
                    // priority beyond one: it goes first, takes its place again, and so on.
                    && (guaranteed || beyond)
                    && (o.spec.priority < priority || (guaranteed && beyond && o.spec.team != spec.team))
            })
        };
        for zone in self.candidate_zones(job) {
            // Machines on which stopping would make room, the cheapest first.
            let mut found: Vec<(Micros, u64, Rc<str>, Vec<JobId>)> = Vec::new();
            let mut have = 0;
            for (k, g) in self.inventory.index().pools() {
                if !k.permits(&spec) || zone.as_ref().is_some_and(|z| *z != k.zone) {
                    continue;
                }
                // Guards against work that is stopped again and again for a job that
                // may not go there, since the places are held for another.
                let held =
                    is_reserved_for_another(self.reservation.as_ref(), id, job, k, g, context);
                if held || (wide && g.reserved.is_some()) {
                    continue;
                }
                for (name, m) in g
                    .available_machines()
                    .filter_map(|n| Some((n, self.inventory.machine(n)?)))
                {
                    let now = spec.tasks_fitting_in(m.free());
                    if m.tasks.values().any(|h| h.stop_grace.is_some()) {
                        // Room is being made here already.
                        have += spec.tasks_fitting_in(m.capacity).max(now);
                        continue;
                    }
                    have += now;
                    let mut room = m.free();
                    let mut cost = 0;
                    let mut stops = Vec::new();
                    for ((other, _), h) in &m.tasks {
                        if may_stop(other, self) && self.is_worth_preempting(other, h, context) {
                            room = room.plus(h.resources());
                            cost += context
                                .now
                                .saturating_sub(h.running_since.unwrap_or(context.now));
                            stops.push(other.clone());
                        }
                    }
                    let gain = spec.tasks_fitting_in(room).saturating_sub(now);
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
                self.stop_with_checkpoint(&other, "makes room", |name, _| on.contains(name));
            }
            return true;
        }
        false
    }
}
