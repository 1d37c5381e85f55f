//! State machine of tasks: the states and the events that cause transitions between them.
//!
//! [`Region::transition`] moves a single task from its current [`TaskState`] to another and
//! updates all dependent state: the task sets of the job, the capacity in use on the machine,
//! the team's quota, the undispatched tasks and the placement triggers. The caller decides
//! whether the transition is valid.
//!
//! Two kinds of change need no transition and are made elsewhere. Tasks on no machine move between
//! the sets of their job in groups (`job_lifecycle`, `hand_over`, `commits`, `reconciliation`). An
//! assignment that stays on its machine is updated in place when its start is dispatched
//! (`heartbeat_answers`) and when the machine reports the task (`task_reports`).
//!
//! | from | event | to |
//! | --- | --- | --- |
//! | (none) | the task is bound to the region | `Pending` |
//! | (none) | the region is acquired with the job's record | `Unreconciled` |
//! | `Unreconciled` | reconciliation ends | `Pending` |
//! | `Unreconciled`, `Pending` | a machine reports an attempt of a former owner | `Reported` |
//! | `Pending` | the task is assigned to a machine | `Assigned` |
//! | `Pending` | the commit of the task's handover is submitted | `Rebinding` |
//! | `Rebinding` | the handover fails | `Pending` |
//! | `Pending`, `Unreconciled`, `Rebinding` | the task is bound to another region | (none) |
//! | `Assigned` | the task is reassigned to a machine that reports earlier | `Assigned` |
//! | `Assigned` | the answer to the machine's heartbeat starts the task | `Dispatched` |
//! | `Assigned` | the assignment is withdrawn, or the task's gang must restart | `Pending` |
//! | `Assigned`, `Dispatched` | the machine reports the task | `Reported` |
//! | `Dispatched`, `Reported` | the machine's heartbeat does not list the task | `Pending` |
//! | `Dispatched`, `Reported` | the task ends without a result | `Pending` |
//! | `Assigned`, `Dispatched`, `Reported` | the machine is proven empty | `Pending` |
//! | any | the task ends with a result, or its job ends | `Done` |

use std::rc::Rc;

use salttiller_records::model::JobId;
use salttiller_records::units::{to_seconds, Micros};

use super::job::Job;
use super::task::{Assignment, AssignmentTarget, TaskState};
use super::Region;

impl Region {
    /// Moves a task to another state. `target` is the machine and the attempt; states on a
    /// machine require it.
    pub(super) fn transition(
        &mut self,
        id: &JobId,
        task: u32,
        to: TaskState,
        target: Option<AssignmentTarget<'_>>,
        now: Micros,
    ) {
        self.leave_state(id, task, to, now);
        match to {
            TaskState::Pending => self.enter_pending(id, task, now),
            TaskState::Done => self.enter_done(id, task),
            TaskState::Unreconciled => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.tasks.enter_unreconciled(task);
                }
            }
            TaskState::Rebinding => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.tasks.enter_rebinding(task);
                }
            }
            TaskState::Assigned | TaskState::Dispatched | TaskState::Reported(_) => {
                if let Some(target) = target {
                    self.enter_machine(id, task, to, target, now);
                }
            }
        }
    }

    fn leave_state(&mut self, id: &JobId, task: u32, to: TaskState, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(machine) = job.tasks.leave(task) {
            self.leave_machine(id, task, &machine, to, now);
        }
    }

    fn leave_machine(
        &mut self,
        id: &JobId,
        task: u32,
        machine: &Rc<str>,
        to: TaskState,
        now: Micros,
    ) {
        let Some(assignment) = self.inventory.remove_assignment(machine, id, task, now) else {
            return;
        };
        if to == TaskState::Done && !assignment.constrained {
            if let Some(job) = self.jobs.get(id) {
                self.runtime_estimates
                    .record(&job.spec, now - assignment.since, now);
            }
        }
        if assignment.state == TaskState::Assigned {
            self.undispatched.remove(assignment.since, id.clone(), task);
            if assignment.image_missing {
                self.forget_image(machine, id);
            }
        } else {
            log::debug!(
                "region={} machine={machine} job={id} task={task}: left the machine after {:.1} s \
                 ({:.1} s of them before running), new state {to:?}",
                self.name,
                to_seconds(now - assignment.since),
                to_seconds(assignment.running_since.unwrap_or(now) - assignment.since)
            );
        }
        self.quotas.credit(&assignment);
        self.triggers.team_changed(&assignment.team);
        self.triggers.machine_changed(machine);
        self.check_if_idle(machine, &assignment, now);
    }

    /// Schedules a check of a machine that no longer has tasks of the kind for which it is kept:
    /// at once if the machine is cordoned, otherwise after it has been idle for as long as a new
    /// machine takes to boot.
    fn check_if_idle(&mut self, name: &Rc<str>, left: &Assignment, now: Micros) {
        let Some(machine) = self.inventory.machine(name) else {
            return;
        };
        let is_idle =
            machine.tasks.is_empty() || (left.constrained && !machine.justifies_its_cost(true));
        if is_idle {
            let delay = if machine.cordoned.is_some() {
                0
            } else {
                machine.boot_time
            };
            self.inventory.schedule_check(name, now + delay);
        }
    }

    fn enter_pending(&mut self, id: &JobId, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.has_ended && job.tasks.enter_pending(task, now) {
            self.triggers.job_changed(id);
        }
    }

    fn enter_done(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.has_ended && job.tasks.is_open(task) {
            job.tasks.add_result(task);
            self.unrecorded_jobs.insert(id.clone());
        }
    }

    fn enter_machine(
        &mut self,
        id: &JobId,
        task: u32,
        to: TaskState,
        target: AssignmentTarget<'_>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(machine) = self.inventory.machine(target.machine) else {
            return;
        };
        let image_missing = !machine.has_image(&job.spec.image);
        let assignment = new_assignment(job, to, target.attempt, image_missing, now);
        if to == TaskState::Assigned {
            job.last_assigned_at = now;
            if !assignment.awaits_start_barrier {
                self.undispatched.insert(now, id.clone(), task);
            }
        }
        self.quotas.charge(&assignment);
        self.inventory.add_assignment(
            target.machine,
            (id.clone(), task),
            assignment,
            &job.spec.image,
        );
        job.tasks.enter_machine(task, Rc::from(target.machine));
    }
}

fn new_assignment(
    job: &Job,
    state: TaskState,
    attempt: u64,
    image_missing: bool,
    now: Micros,
) -> Assignment {
    let is_new = state == TaskState::Assigned;
    Assignment {
        attempt,
        state,
        quota: job.spec.quota_per_task(),
        memory: job.spec.memory,
        team: Rc::from(job.spec.team.as_str()),
        constrained: job.only_type.is_some(),
        started_under_own_token: is_new,
        awaits_start_barrier: is_new && job.gang.is_multi_region(),
        image_missing,
        stop_grace: job.has_ended.then_some(0),
        since: now,
        running_since: None,
    }
}
