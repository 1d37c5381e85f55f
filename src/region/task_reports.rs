//! Tasks that a heartbeat lists: tasks that end change their state, tasks that a former owner
//! started are adopted, all others that are not to run are stopped.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{Micros, SECOND};

use super::failure_attribution;
use super::job::Job;
use super::task::AssignmentTarget;
use super::{only_fitting_type, Region, SchedulingContext, TaskState};
use crate::worker_protocol::{Command, ExitReason, ReportedState, ReportedTask};

/// Back-off of a job whose task the worker did not know.
const UNKNOWN_TASK_BACKOFF: Micros = 5 * SECOND;
/// Back-off of a job whose task a worker rejected.
const REJECTED_BACKOFF: Micros = SECOND;

/// What follows from a task that a heartbeat lists.
pub(super) enum TaskOutcome {
    /// It runs on the machine as it should.
    Kept,
    /// The worker is sent this command.
    Reply(Command),
    /// It is done: the worker keeps the result until that is recorded.
    AwaitsRecord,
}

/// Which attempt of a task a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// It was dispatched to the machine by this owner, or adopted.
    Current,
    /// Any other.
    Other,
}

impl Region {
    /// A heartbeat lists a task.
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

    /// A listed task has ended. The worker forgets it once a result is recorded.
    fn on_reported_end(
        &mut self,
        machine: &str,
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
        if attempt == Attempt::Current || reason == ExitReason::Done {
            self.on_ended(machine, task, reason, attempt, context);
        }
        let is_recorded = self.jobs.get(&task.job).is_none_or(|job| {
            job.tasks.done().contains(task.task) && !job.tasks.unrecorded_done().contains(task.task)
        });
        if reason != ExitReason::Done || context.is_job_over(&task.job) || is_recorded {
            TaskOutcome::Reply(Command::reap(task.job.clone(), task.task, task.attempt))
        } else {
            TaskOutcome::AwaitsRecord
        }
    }

    /// A listed task has not ended: it is kept if it is the assigned attempt, or one that a
    /// former owner started, else stopped.
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
        } else {
            TaskOutcome::Reply(Command::stop(task.job.clone(), task.task, task.attempt, 0))
        }
    }

    /// A task on a machine that this owner did not start: a former owner did. Returns whether
    /// it may stay.
    fn adopt(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.track_ended_job(&task.job, context);
        if let Some(obstacle) = self.adoption_obstacle(machine, task, context) {
            let (region, id, number) = (&self.name, &task.job, task.task);
            log::info!("region={region} machine={machine} job={id} task={number}: {obstacle}");
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

    /// A task of a cancelled job that still runs counts against its team's quota until it is
    /// gone.
    fn track_ended_job(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if !context.is_job_over(id) {
            return;
        }
        let record = context.replica.jobs.get(&**id);
        let Some(spec) = record.and_then(|record| record.value.spec.as_ref()) else {
            return;
        };
        let only_type = only_fitting_type(spec, context.replica);
        self.jobs.entry(id.clone()).or_insert_with(|| Job {
            is_over: true,
            ..Job::new(spec, only_type, context.now)
        });
    }

    /// Why a task that this owner did not start may not stay on a machine, if so.
    fn adoption_obstacle(
        &self,
        machine: &str,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> Option<&'static str> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Some("its job is not bound here");
        };
        let assigned_to = job.tasks.on_machines().get(&task.task);
        if let Some(other) = assigned_to.filter(|other| ***other != *machine) {
            log::error!(
                "region={} machine={machine} job={} task={}: also on machine {other}",
                self.name,
                task.job,
                task.task
            );
            return Some("on two machines at once, stopped here");
        }
        let is_expected = context.is_job_over(&task.job)
            || job.tasks.unreconciled().contains(task.task)
            || assigned_to.is_some();
        if is_expected {
            return None;
        }
        if job.tasks.pending().contains(task.task) {
            log::info!(
                "region={} machine={machine} job={} task={}: unexpected, but pending: kept",
                self.name,
                task.job,
                task.task
            );
            None
        } else {
            Some("unexpected, stopped")
        }
    }

    /// A task ended that is the current attempt, or is done.
    fn on_ended(
        &mut self,
        machine: &str,
        task: &ReportedTask,
        reason: ExitReason,
        attempt: Attempt,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if reason == ExitReason::Done && job.spec.kind != JobKind::Service {
            self.on_done(machine, task, attempt, context);
        } else if attempt == Attempt::Current {
            self.on_ended_without_result(machine, task, reason, context);
        }
    }

    /// A task is done. A result is final wherever it was found.
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
        if job.is_over || !job.tasks.is_open(task.task) {
            if attempt == Attempt::Current {
                self.transition(&task.job, task.task, TaskState::Done, None, context.now);
                self.after_tasks_left(&task.job);
            }
            return;
        }
        job.failures.succeeded();
        // A gang's tasks complete together.
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
            failures.succeeded();
        }
        self.after_tasks_left(&task.job);
        self.record_progress(&task.job, context);
    }

    /// Marks a task as done that is still on a machine other than `machine`: it counts there
    /// until that machine no longer lists it. Guards against a gang of which one member hangs
    /// at the end: its capacity is not free yet. Returns whether there is such a machine.
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

    /// The current attempt of a task ended and is to be repeated.
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
            let again = context.now + failure_attribution::TRY_AGAIN_AFTER + SECOND;
            self.queue.wake_at(again, task.job.clone());
        }
    }
}
