//! Handling of the tasks listed in a heartbeat.
//!
//! Ended tasks change their state, and their results are recorded. Tasks that a former owner
//! started are adopted. All other tasks that must not run on the machine are stopped.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{Micros, SECOND};

use super::failure_attribution;
use super::job::Job;
use super::recent_starts::Start;
use super::task::AssignmentTarget;
use super::{only_fitting_type, Region, SchedulingContext, TaskState};
use crate::worker_protocol::{Command, ExitReason, ReportedState, ReportedTask};

/// Backoff of a job after a worker rejected one of its tasks as unknown.
const UNKNOWN_TASK_BACKOFF: Micros = 5 * SECOND;
/// Backoff of a job after a worker rejected one of its tasks for another reason.
const REJECTED_BACKOFF: Micros = SECOND;

/// Outcome of handling a task that a heartbeat lists.
pub(super) enum TaskOutcome {
    /// The task stays on the machine.
    Kept,
    /// This command is sent to the worker.
    Reply(Command),
    /// Nothing is sent about the task, and the worker keeps listing it. It has ended, and its result is
    /// not recorded yet or a copy of its start may still arrive; or the records that don't expect it
    /// are not verified yet.
    NoCommand,
}

/// Whether a worker reports the current attempt of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The attempt was dispatched to the machine by this owner, or adopted.
    Current,
    /// Any other attempt.
    Other,
}

impl Region {
    /// Handles a task that a heartbeat lists.
    pub(super) fn on_reported_task(
        &mut self,
        machine: &Rc<str>,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> TaskOutcome {
        match task.state {
            ReportedState::Ended(reason) => self.on_reported_end(machine, task, reason, context),
            _ => self.on_reported_running(machine, task, context),
        }
    }

    /// Handles a listed task that has ended. The answer reaps the task at once or, if the
    /// task is done, once its result is recorded.
    ///
    /// Guards against a copy of the answer that started the task: after the reap the worker would
    /// start the task once more, beside the next attempt on another machine or after the job was
    /// cancelled. While a copy may still be executed, the task is not reaped, and one that must be
    /// repeated stays on its machine. A later heartbeat shows the machine without the task.
    fn on_reported_end(
        &mut self,
        machine: &Rc<str>,
        task: &ReportedTask,
        reason: ExitReason,
        context: &SchedulingContext<'_>,
    ) -> TaskOutcome {
        let assignment = self.inventory.assignment_mut(machine, &task.job, task.task);
        let attempt = match assignment {
            Some(assignment)
                if assignment.attempt == task.attempt
                    && assignment.state != TaskState::Assigned =>
            {
                Attempt::Current
            }
            _ => Attempt::Other,
        };
        let start = Start {
            machine: machine.clone(),
            job: task.job.clone(),
            task: task.task,
            attempt: task.attempt,
        };
        let may_be_repeated = self.recent_starts.may_be_repeated(&start, context.now);
        if may_be_repeated && attempt == Attempt::Current && !self.is_result(&task.job, reason) {
            return TaskOutcome::Kept;
        }
        if attempt == Attempt::Current || reason == ExitReason::Done {
            self.on_ended(machine, task, reason, attempt, context);
        }
        let is_recorded = self.jobs.get(&task.job).is_none_or(|job| {
            job.tasks.done().contains(task.task) && !job.tasks.unrecorded_done().contains(task.task)
        });
        let is_over = reason != ExitReason::Done || context.has_job_ended(&task.job) || is_recorded;
        if is_over && !may_be_repeated && context.are_records_verified {
            TaskOutcome::Reply(Command::reap(task.job.clone(), task.task, task.attempt))
        } else {
            TaskOutcome::NoCommand
        }
    }

    /// Whether a task of a job that ended for this reason has a result. A service has none.
    fn is_result(&self, job: &str, reason: ExitReason) -> bool {
        let job = self.jobs.get(job);
        reason == ExitReason::Done && job.is_none_or(|job| job.spec.kind != JobKind::Service)
    }

    /// Handles a listed task that has not ended. The task is kept if it is the assigned attempt
    /// or may be adopted from a former owner; otherwise it is stopped.
    fn on_reported_running(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> TaskOutcome {
        let assignment = self.inventory.assignment_mut(machine, &task.job, task.task);
        if let Some(assignment) = assignment.filter(|current| current.attempt == task.attempt) {
            let state = TaskState::Reported(task.state);
            if assignment.state != state {
                assignment.state = state;
                if task.state == ReportedState::Running {
                    assignment.running_since.get_or_insert(context.now);
                }
            }
            return TaskOutcome::Kept;
        }
        if self.adopt(machine, task, context) {
            TaskOutcome::Kept
        } else if !context.are_records_verified && !context.is_job_cancelled(&task.job) {
            TaskOutcome::NoCommand
        } else {
            TaskOutcome::Reply(Command::stop(task.job.clone(), task.task, task.attempt, 0))
        }
    }

    /// Adopts a task that a former owner started on a machine. Returns whether the task may stay
    /// there.
    fn adopt(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.track_ended_job(&task.job, context);
        if let Some(refusal) = self.adoption_refusal(machine, task, context) {
            let (region, id, number) = (&self.name, &task.job, task.task);
            log::info!("region={region} machine={machine} job={id} task={number}: {refusal}");
            return false;
        }
        log::debug!(
            "region={} machine={machine} job={} task={}: adopted, attempt {}",
            self.name,
            task.job,
            task.task,
            task.attempt
        );
        self.transition(
            &task.job,
            task.task,
            TaskState::Reported(task.state),
            Some(AssignmentTarget {
                machine,
                attempt: task.attempt,
            }),
            context.now,
        );
        true
    }

    /// Adds a job that has ended to the tracked jobs, since its running tasks count against its
    /// team's quota until they have left their machines. Does nothing for other jobs.
    fn track_ended_job(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if !context.has_job_ended(id) {
            return;
        }
        let record = context.replica.jobs.get(&**id);
        let Some(spec) = record.and_then(|record| record.value.spec.as_ref()) else {
            return;
        };
        let only_type = only_fitting_type(spec, context.replica);
        self.jobs.entry(id.clone()).or_insert_with(|| Job {
            has_ended: true,
            ..Job::new(spec, only_type, context.now)
        });
    }

    /// Returns why a task that this owner did not start must leave a machine, or `None` if the
    /// task may stay.
    fn adoption_refusal(
        &self,
        machine: &str,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> Option<&'static str> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Some("job is not bound to this region, task stopped");
        };
        let assigned_to = job.tasks.on_machines().get(&task.task);
        if let Some(other) = assigned_to.filter(|other| ***other != *machine) {
            log::error!(
                "region={} machine={machine} job={} task={}: also on machine {other}",
                self.name,
                task.job,
                task.task
            );
            return Some("task is on two machines, stopped on this one");
        }
        let is_expected = context.has_job_ended(&task.job)
            || job.tasks.unreconciled().contains(task.task)
            || assigned_to.is_some();
        if is_expected {
            return None;
        }
        if job.tasks.pending().contains(task.task) {
            log::info!(
                "region={} machine={machine} job={} task={}: not expected on this \
                 machine, but pending: kept",
                self.name,
                task.job,
                task.task
            );
            None
        } else {
            Some("not expected on this machine, task stopped")
        }
    }

    /// Handles the end of a task that is done or was the current attempt.
    fn on_ended(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        reason: ExitReason,
        attempt: Attempt,
        context: &SchedulingContext<'_>,
    ) {
        if !self.jobs.contains_key(&task.job) {
            return;
        }
        if self.is_result(&task.job, reason) {
            self.on_done(machine, task, attempt, context);
        } else if attempt == Attempt::Current {
            self.on_ended_without_result(machine, task, reason, context);
        }
    }

    /// Handles a task that is done. The result is accepted from any attempt on any machine.
    fn on_done(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        attempt: Attempt,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.has_ended || !job.tasks.is_open(task.task) {
            if attempt == Attempt::Current {
                self.transition(&task.job, task.task, TaskState::Done, None, context.now);
                self.clean_up_if_inactive(&task.job);
            }
            return;
        }
        job.failures.record_success();
        // The tasks of a gang complete together.
        let done: Vec<u32> = if job.spec.kind == JobKind::Gang {
            job.tasks.bound().iter().collect()
        } else {
            vec![task.task]
        };
        for number in done {
            if !self.mark_done_elsewhere(machine, &task.job, number) {
                self.transition(&task.job, number, TaskState::Done, None, context.now);
            }
        }
        if let Some(failures) = self.inventory.failures_mut(machine) {
            failures.record_success();
        }
        self.clean_up_if_inactive(&task.job);
        self.record_progress(&task.job, context);
    }

    /// Marks a task as done while it is still on a machine other than `machine`, and returns
    /// whether there is such a machine. The task counts against the other machine's capacity
    /// until that machine no longer lists it. Guards against overcommitting a machine when a
    /// gang is done but one of its tasks hangs at its end and still uses the capacity.
    fn mark_done_elsewhere(&mut self, machine: &str, id: &JobId, task: u32) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let other = job.tasks.on_machines().get(&task);
        let Some(other) = other.filter(|other| ***other != *machine) else {
            return false;
        };
        let assignment = self.inventory.assignment_mut(other, id, task);
        let dispatched = assignment.filter(|current| current.state != TaskState::Assigned);
        let Some(assignment) = dispatched else {
            return false;
        };
        if job.spec.kind != JobKind::Gang {
            log::error!(
                "region={} machine={machine} job={id} task={task}: done, but also on machine \
                 {other}",
                self.name
            );
            assignment.stop_grace = Some(0);
        }
        job.tasks.add_result(task);
        self.unrecorded_jobs.insert(id.clone());
        true
    }

    /// Handles the end of the current attempt of a task that must be repeated.
    fn on_ended_without_result(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        reason: ExitReason,
        context: &SchedulingContext<'_>,
    ) {
        let level = match reason {
            ExitReason::NoCapacity => log::Level::Info,
            _ => log::Level::Debug,
        };
        log::log!(
            level,
            "region={} machine={machine} job={} task={}: ended without a result: {reason:?}",
            self.name,
            task.job,
            task.task
        );
        let backoff = match reason {
            ExitReason::Failed => self.on_task_failed(machine, &task.job, context),
            ExitReason::UnknownTask => UNKNOWN_TASK_BACKOFF,
            ExitReason::NoCapacity | ExitReason::AttemptConflict => REJECTED_BACKOFF,
            _ => 0,
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if backoff > 0 {
            job.not_before = job.not_before.max(context.now + backoff);
            self.queue.wake_at(job.not_before, task.job.clone());
        }
        let is_suspect = job.failures.is_suspect();
        self.return_to_pending(&task.job, task.task, "ended", context);
        if is_suspect {
            self.withdraw_undispatched(&task.job, context);
            let again = context.now + failure_attribution::SUSPECT_RETRY_DELAY + SECOND;
            self.queue.wake_at(again, task.job.clone());
        }
    }
}
