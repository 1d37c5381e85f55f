//! Reassignment of undispatched tasks to a reporting machine that would start them sooner.
//!
//! Starts are dispatched only in the answers to heartbeats, so a task may wait a whole interval
//! for the next heartbeat of its machine. A task that is not dispatched yet can move to another
//! machine without being dispatched twice.

use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::job::Job;
use super::machine::Machine;
use super::machine_pool::MachinePool;
use super::placement::ZoneLimits;
use super::task::{Assignment, AssignmentTarget, TaskState};
use super::undispatched::UndispatchedTask;
use super::{Region, SchedulingContext};

/// Maximum number of undispatched tasks that are considered, oldest first.
const MAX_CANDIDATES: usize = 64;
/// Minimum time by which a task must start sooner to be reassigned.
const MIN_GAIN: Micros = 300 * MILLISECOND;

/// Machine and attempt of an assignment that moves to another machine.
struct Reassignment {
    from: Rc<str>,
    attempt: u64,
}

/// Time for which a task stays assigned to its machine although another machine, with at least
/// as many tasks, could start it sooner.
fn reassignment_delay(context: &SchedulingContext<'_>) -> Micros {
    context.settings.heartbeat_interval / 8
}

/// Time by which a machine's next heartbeat is expected: the heartbeat interval and an eighth of
/// it for jitter.
fn next_heartbeat_at(machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
    machine.last_heartbeat_at + context.settings.heartbeat_interval * 9 / 8
}

impl Region {
    /// Reassigns undispatched tasks of other machines to a machine whose heartbeat is being
    /// answered if they would start sooner on it. A machine with fewer tasks than the current one
    /// receives them at once, any other machine after `reassignment_delay`.
    pub(super) fn reassign_to_reporting(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) {
        if self.undispatched.is_empty() {
            return;
        }
        let candidates: Vec<UndispatchedTask> =
            self.undispatched.oldest(MAX_CANDIDATES).cloned().collect();
        for candidate in candidates {
            let Some(reassignment) = self.reassignment(&candidate, name, context) else {
                continue;
            };
            let UndispatchedTask { job: id, task, .. } = candidate;
            log::debug!(
                "region={} machine={name} job={id} task={task}: reassigned from {}",
                self.name,
                reassignment.from
            );
            let target = AssignmentTarget {
                machine: name,
                attempt: reassignment.attempt,
            };
            self.transition(&id, task, TaskState::Assigned, Some(target), context.now);
        }
    }

    /// Returns the reassignment if a task should move to a reporting machine.
    fn reassignment(
        &self,
        task: &UndispatchedTask,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> Option<Reassignment> {
        let job = self.jobs.get(&task.job)?;
        let to = self.inventory.machine(name)?;
        let from_name = job
            .tasks
            .on_machines()
            .get(&task.task)
            .filter(|from| *from != name)?;
        let from = self.inventory.machine(from_name)?;
        let assignment = from.tasks.get(&(task.job.clone(), task.task))?;
        let holds_fewer = to.tasks.len() < from.tasks.len();
        let is_due = holds_fewer || context.now >= task.assigned_at + reassignment_delay(context);
        // If the placements of a job's tasks depend on each other, their pool is already chosen,
        // and a task may only move within it.
        let is_placement_kept = !job.spec.is_indivisible() || to.pool == from.pool;
        let may_move = is_due
            && is_placement_kept
            && assignment.stop_grace.is_none()
            && self.can_place_on(task, job, name, to, context)
            && Self::starts_sooner(&job.spec, assignment, from, to, context);
        may_move.then(|| Reassignment {
            from: from_name.clone(),
            attempt: assignment.attempt,
        })
    }

    /// Whether a machine has free capacity for a task and the task may run on it.
    fn can_place_on(
        &self,
        task: &UndispatchedTask,
        job: &Job,
        name: &Rc<str>,
        machine: &Machine,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let is_flexible = job.is_flexible();
        let is_reserved_type =
            is_flexible && self.inventory.index().reserved(&machine.pool).is_some();
        let free = machine.index_entry.free_for(is_flexible);
        !is_reserved_type
            && free.is_some_and(|free| job.spec.task_fits_in(free))
            && !job.failures.failed_on(name)
            && self.may_use_pool(&task.job, job, &machine.pool, &ZoneLimits::none(), context)
    }

    /// Whether a task would start sooner on the reporting machine.
    fn starts_sooner(
        spec: &JobSpec,
        assignment: &Assignment,
        from: &Machine,
        to: &Machine,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let fetch_time = |is_missing: bool, pool: &MachinePool| {
            if is_missing {
                image_fetch_time(spec, pool, context)
            } else {
                0
            }
        };
        let delay_on_target = fetch_time(!to.has_image(&spec.image), &to.pool);
        let until_heartbeat = next_heartbeat_at(from, context).saturating_sub(context.now);
        let delay_on_source = until_heartbeat + fetch_time(assignment.image_missing, &from.pool);
        delay_on_target + MIN_GAIN < delay_on_source
    }
}

/// Time that a machine takes to fetch a job's image; 0 if its type is not known.
fn image_fetch_time(spec: &JobSpec, pool: &MachinePool, context: &SchedulingContext<'_>) -> Micros {
    let bytes_per_second = context
        .replica
        .machine_types
        .get(&*pool.machine_type)
        .map_or(0, |machine_type| machine_type.value.fetch_rate);
    (spec.image_size * SECOND)
        .checked_div(bytes_per_second)
        .unwrap_or(0)
}
