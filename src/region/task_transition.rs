//! The states of tasks, and the events that lead from one to another.
//!
//! [`Region::transition`] moves a single task: it leaves the former [`TaskState`] and enters
//! the new one, and keeps everything that follows from a task's state up to date: the sets of
//! its job, the capacity in use on its machine, its team's quota, the tasks that are not yet
//! dispatched and the triggers of placement. Whether the new state is due is up to the caller.
//!
//! Two kinds of change need none of that and are made elsewhere: tasks that are on no machine
//! move between the sets of their job as a whole (`job_lifecycle`, `hand_over`, `commits`,
//! `reconciliation`), and an assignment that stays on its machine is noted as dispatched or
//! reported there (`heartbeats`).
//!
//! | from | event | to |
//! | --- | --- | --- |
//! | (none) | it is bound here | `Pending` |
//! | (none) | the region is acquired with the job's record | `Unreconciled` |
//! | `Unreconciled` | reconciliation ends | `Pending` |
//! | `Unreconciled`, `Pending` | a machine reports it, started by a former owner | `Reported` |
//! | `Pending` | a machine is chosen for it | `Assigned` |
//! | `Pending` | its hand-over is being committed | `Rebinding` |
//! | `Rebinding` | the hand-over failed | `Pending` |
//! | `Pending`, `Unreconciled`, `Rebinding` | it is bound to another region | (none) |
//! | `Assigned` | a machine that reports sooner takes it over | `Assigned` |
//! | `Assigned` | its machine's heartbeat is answered | `Dispatched` |
//! | `Assigned` | it is withdrawn, or its gang breaks | `Pending` |
//! | `Assigned`, `Dispatched` | its machine reports it | `Reported` |
//! | `Dispatched`, `Reported` | its machine's heartbeat lacks it | `Pending` |
//! | `Dispatched`, `Reported` | it ended without a result | `Pending` |
//! | `Assigned`, `Dispatched`, `Reported` | its machine is proven empty | `Pending` |
//! | any | it ended with a result, or its job is over | `Done` |

use std::rc::Rc;

use salttiller_records::model::JobId;
use salttiller_records::units::{to_seconds, Micros};

use super::job::Job;
use super::task::{Assignment, AssignmentTarget, TaskState};
use super::Region;

impl Region {
    /// Moves a task to another state. `target` names machine and attempt of states on a
    /// machine.
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
                "region={} machine={machine} job={id} task={task}: left the machine for {to:?} \
                 after {:.1} s, {:.1} s of them before running",
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

    /// Schedules a check of a machine that holds no more work of its purpose: at once if it is
    /// cordoned, else after it has been idle for as long as a new one takes to boot.
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
        if !job.is_over && job.tasks.enter_pending(task, now) {
            self.triggers.job_changed(id);
        }
    }

    fn enter_done(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_over && job.tasks.is_open(task) {
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
            job.last_assigned = now;
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
        started_by_us: is_new,
        awaits_start_barrier: is_new && job.gang.is_multi_region(),
        image_missing,
        stop_grace: job.is_over.then_some(0),
        since: now,
        running_since: None,
    }
}
