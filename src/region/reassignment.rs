//! Assigned tasks that a machine which reports now would start sooner than the one that they
//! are assigned to.
//!
//! Starts are dispatched in the answers to heartbeats alone, so a task may wait a whole
//! interval for the heartbeat of its machine. Nothing of it was dispatched yet, so to assign it
//! to another machine dispatches it still once.

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

/// How many of the oldest undispatched tasks are considered.
const MAX_CANDIDATES: usize = 64;
/// The least time by which a task must start sooner to be reassigned.
const MIN_GAIN: Micros = 300 * MILLISECOND;

/// An assignment that is to move to another machine.
struct Reassignment {
    from: Rc<str>,
    attempt: u64,
}

/// How long a task is left to its machine although another, with as many tasks or more, could
/// start it sooner.
fn patience(context: &SchedulingContext<'_>) -> Micros {
    context.settings.heartbeat_interval / 8
}

/// By when a machine is expected to report again: the interval and an eighth of it for jitter.
fn next_heartbeat_at(machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
    machine.last_heartbeat_at + context.settings.heartbeat_interval * 9 / 8
}

impl Region {
    /// Assigns to a machine whose heartbeat is being answered tasks of other machines that
    /// would start later there. A machine that holds fewer tasks gets them at once, any other
    /// after a while.
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

    /// Whether a task is to move to a machine that reports.
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
        let is_due = holds_fewer || context.now >= task.since + patience(context);
        // Where the tasks of a job are together is decided; only the machine may change.
        let is_place_kept = !job.has_dependent_placement() || to.pool == from.pool;
        let may_move = is_due
            && is_place_kept
            && assignment.stop_grace.is_none()
            && self.may_take(task, job, name, to, context)
            && Self::starts_sooner(&job.spec, assignment, from, to, context);
        may_move.then(|| Reassignment {
            from: from_name.clone(),
            attempt: assignment.attempt,
        })
    }

    /// Whether a machine has the capacity for a task, and the task may be there.
    fn may_take(
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

    /// Whether a task would start sooner on the machine that reports now.
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
        let delay_there = fetch_time(!to.has_image(&spec.image), &to.pool);
        let until_heartbeat = next_heartbeat_at(from, context).saturating_sub(context.now);
        let delay_here = until_heartbeat + fetch_time(assignment.image_missing, &from.pool);
        delay_there + MIN_GAIN < delay_here
    }
}

/// How long a machine takes to fetch a job's image; 0 if its type is not known.
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
