//! Gang scheduling: gangs are placed as a whole, and the parts of a gang over several regions
//! start together after a start barrier.

use salttiller_records::model::JobId;
use salttiller_records::units::{Micros, SECOND};

use super::job::Job;
use super::placement::ZoneLimits;
use super::task::{AssignmentTarget, TaskState};
use super::{Region, SchedulingContext};

/// Delay before a gang is placed again after its start barrier timed out.
const BARRIER_RETRY_DELAY: Micros = 2 * SECOND;

impl Region {
    /// Places all tasks of a gang that are bound to this region, or none. If there is too little
    /// capacity for all of them, the gang may get a reservation.
    pub(super) fn place_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id).filter(|job| is_placeable(job)) else {
            return;
        };
        let spec = job.spec.clone();
        let tasks: Vec<u32> = job.tasks.pending().iter().collect();
        let count = tasks.len() as u64;
        let multi_region_attempt = job.gang.attempt();
        for zone in self.candidate_zones(job) {
            let mut limits = ZoneLimits::for_job(&spec, zone);
            if self.tasks_placeable_now(id, &limits, count, context) < count {
                continue;
            }
            let needed = spec.quota_per_task().times(count);
            if !needed.within(self.quota_headroom(&spec.team, context)) {
                self.mark_quota_blocked(id);
                return;
            }
            let attempt = multi_region_attempt.unwrap_or_else(|| self.next_attempt());
            if self.assign_gang(id, &tasks, attempt, &mut limits, context) {
                self.on_gang_assigned(id, multi_region_attempt, context);
                return;
            }
        }
        self.reserve_for_gang(id, context);
    }

    /// Assigns all tasks of a gang to machines. If one task finds no machine, reverts the
    /// assignments made so far and returns `false`.
    fn assign_gang(
        &mut self,
        id: &JobId,
        tasks: &[u32],
        attempt: u64,
        limits: &mut ZoneLimits,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let Some(pending_since) = self.jobs.get(id).map(|job| job.tasks.pending_since()) else {
            return false;
        };
        let mut assigned: Vec<u32> = Vec::new();
        for task in tasks {
            let Some(machine) = self.best_machine(id, limits, context) else {
                break;
            };
            if let Some(machine) = self.inventory.machine(&machine) {
                limits.add_task(&machine.record.zone);
            }
            let target = AssignmentTarget {
                machine: &machine,
                attempt,
            };
            self.transition(id, *task, TaskState::Assigned, Some(target), context.now);
            assigned.push(*task);
        }
        if assigned.len() == tasks.len() {
            return true;
        }
        for task in assigned {
            self.transition(id, task, TaskState::Pending, None, context.now);
        }
        self.triggers.forget_job(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.tasks.restore_pending_since(pending_since);
        }
        false
    }

    /// Releases the reservation of a gang whose local tasks are all assigned. The tasks of a gang
    /// over several regions then wait at the start barrier until all parts are at it, or until the
    /// barrier times out.
    fn on_gang_assigned(
        &mut self,
        id: &JobId,
        multi_region_attempt: Option<u64>,
        context: &SchedulingContext<'_>,
    ) {
        self.release_reservation_of(id);
        let Some(attempt) = multi_region_attempt else {
            return;
        };
        log::info!(
            "region={} job={id}: all tasks of our part assigned, at the start barrier of \
             attempt {attempt}",
            self.name
        );
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang.reach_barrier(context.now);
        }
        self.queue.wake_at(
            context.now + context.settings.gang_start_timeout,
            id.clone(),
        );
    }

    /// Returns the multi-region gangs whose local part is at the start barrier, with the attempt.
    pub(super) fn gang_parts_ready(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.jobs
            .iter()
            .filter_map(|(id, job)| Some((id, job.gang.attempt_at_barrier()?)))
    }

    /// Starts the local part of a multi-region gang, all parts of which are at the start barrier.
    pub fn start_gang_part(&mut self, id: &str, attempt: u64, context: &SchedulingContext<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        if job.gang.attempt_at_barrier() != Some(attempt) || job.has_ended {
            return;
        }
        log::info!(
            "region={} job={id}: all parts are at the start barrier, attempt {attempt} starts",
            self.name
        );
        let tasks = job.tasks_on_machines();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.gang.start_attempt(attempt);
        }
        for (task, machine) in tasks {
            if let Some(assignment) = self.assignment_mut(&id, task, &machine) {
                assignment.awaits_start_barrier = false;
                assignment.since = context.now;
            }
        }
    }

    /// Removes the local part of a multi-region gang from the start barrier once the barrier has
    /// timed out. Guards against holding capacity forever for a gang of which another part is
    /// never placed.
    pub(super) fn leave_expired_barrier(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let timeout = context.settings.gang_start_timeout;
        if !job.gang.leave_expired_barrier(context.now, timeout) {
            return;
        }
        log::info!(
            "region={} job={id}: start barrier timed out, not all parts have their places",
            self.name
        );
        job.not_before = context.now + BARRIER_RETRY_DELAY;
        self.queue.wake_at(job.not_before, id.clone());
        self.restart_gang(id, context);
    }

    /// Restarts a gang that lost a task or left its start barrier: withdraws its undispatched tasks
    /// and stops the others. The gang is placed again as a whole, under a new attempt, once its
    /// last task has left its machine.
    pub(super) fn restart_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.gang.begin_restart();
        for (task, machine) in job.tasks_on_machines() {
            match self.assignment_mut(id, task, &machine) {
                Some(assignment) if assignment.state == TaskState::Assigned => {
                    self.transition(id, task, TaskState::Pending, None, context.now);
                }
                // A task that is already being stopped with a grace period may finish its
                // checkpoint.
                Some(assignment) => {
                    assignment.stop_grace.get_or_insert(0);
                }
                None => {}
            }
        }
        self.update_queue_position(id, context);
        self.clean_up_if_inactive(id);
    }
}

/// Whether all tasks of a gang that are bound to this region are pending and may be placed
/// together. For a gang over several regions, only this region's part counts.
fn is_placeable(job: &Job) -> bool {
    job.is_fully_bound()
        && job.gang.may_be_placed()
        && job.tasks.on_machines().is_empty()
        && job.tasks.are_all_pending()
        && !job.needs_new_attempt()
}
