//! Workers' heartbeats, and the commands that answer them.
//!
//! A heartbeat that is accepted lists all tasks on the machine: tasks that ended or are missing
//! change their state, tasks that are not to run are stopped. The answer then starts the tasks
//! that are assigned to the machine.

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{Micros, SECOND};

use super::failure_attribution;
use super::job::Job;
use super::machine::{Machine, MachineState};
use super::reachability::AnswerEvidence;
use super::{only_fitting_type, HeartbeatOutcome, Region, SchedulingContext, TaskState};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::worker_protocol::{
    Command, ExitReason, Heartbeat, ReportedState, ReportedTask, MAX_COMMANDS,
};

/// Back-off of a job whose task the worker did not know.
const UNKNOWN_TASK_BACKOFF: Micros = 5 * SECOND;
/// Back-off of a job whose task a worker rejected.
const REJECTED_BACKOFF: Micros = SECOND;

/// What follows from a task that a heartbeat lists.
enum TaskOutcome {
    /// It runs on the machine as it should.
    Kept,
    /// The worker is sent this command.
    Reply(Command),
    /// It is done: the worker keeps the result until that is recorded.
    AwaitsRecord,
}

/// What follows from all tasks that a heartbeat lists.
#[derive(Default)]
struct ReportedTasks {
    /// Tasks that run on the machine as they should.
    kept: BTreeSet<(JobId, u32)>,
    /// What the worker is sent about the others.
    replies: Vec<Command>,
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
    /// Applies a heartbeat and returns what to answer. The caller has checked that the region
    /// is owned and checks it again when the answer is written.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some(name) = self.inventory.shared_name(&heartbeat.machine) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        if let Some(refusal) = self.refusal(&name, heartbeat) {
            return refusal;
        }
        if heartbeat.token < self.token {
            return self.acknowledge_outdated_token(&name, context);
        }
        let starts_sent = self
            .inventory
            .tasks(&name)
            .any(|(_, assignment)| assignment.state == TaskState::Dispatched);
        let answers_lost = self.record_heartbeat(&name, heartbeat, context);
        let ReportedTasks { kept, replies } = self.apply_reported_tasks(&name, heartbeat, context);
        let start_ignored = self.return_missing_tasks(&name, &kept, context);
        let starts_carried_out = starts_sent.then_some(!start_ignored);
        let evidence = AnswerEvidence::new(answers_lost, starts_carried_out);
        self.update_reachability(&name, evidence, context);
        if !self.reconciliation.is_complete() {
            self.try_complete_reconciliation(context);
        }
        self.place_pending(context);
        self.reassign_to_reporting(&name, context);
        HeartbeatOutcome::Accepted(self.answer_commands(&name, replies, context))
    }

    /// Why a heartbeat is not to be applied, if so.
    fn refusal(&self, name: &str, heartbeat: &Heartbeat) -> Option<HeartbeatOutcome> {
        let machine = self.inventory.machine(name)?;
        let is_order_checked = !is_disabled(Safeguard::ReportOrder);
        // Guards against heartbeats that were held back, and copies: they are as old as their
        // sequence number says, and what they list may long be untrue.
        if heartbeat.id <= machine.last_heartbeat && is_order_checked {
            return Some(HeartbeatOutcome::Stale);
        }
        // Guards against one that comes in after the machine's lease was found to be expired:
        // had it been sent since, its session would be a later one.
        if machine.state == MachineState::LeaseExpired
            && heartbeat.id.incarnation <= machine.last_heartbeat.incarnation
            && is_order_checked
        {
            return Some(HeartbeatOutcome::Stale);
        }
        // The machine sent it before the cloud took the machine back.
        if machine.is_gone {
            return Some(HeartbeatOutcome::UnknownMachine);
        }
        (heartbeat.token > self.token).then_some(HeartbeatOutcome::Superseded)
    }

    /// Records a newer heartbeat under the current token. Returns whether it shows that the
    /// answers before it did not arrive.
    fn record_heartbeat(
        &mut self,
        name: &Rc<str>,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let (settings, now) = (context.settings, context.now);
        let acquired_at = self.reconciliation.acquired_at();
        let machine = self.inventory.machine(name);
        let becomes_ready = machine.is_some_and(|machine| machine.state != MachineState::Ready);
        let was_booting = machine.is_some_and(|machine| machine.is_booting_for(acquired_at));
        self.request_activation(name);
        let answers_lost = self
            .inventory
            .record_heartbeat(name, heartbeat, settings, now);
        if becomes_ready {
            log::info!("region={} machine={name}: ready", self.name);
            if was_booting {
                self.inventory.machine_booted(name, now);
            }
            self.reconciliation.machine_reconciled(name);
            self.triggers.machines.insert(name.clone());
        }
        answers_lost
    }

    fn apply_reported_tasks(
        &mut self,
        machine: &Rc<str>,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> ReportedTasks {
        let mut reported = ReportedTasks::default();
        for task in &heartbeat.tasks {
            match self.on_reported_task(machine, task, context) {
                TaskOutcome::Kept => {
                    reported.kept.insert((task.job.clone(), task.task));
                }
                TaskOutcome::Reply(command) => reported.replies.push(command),
                TaskOutcome::AwaitsRecord => {}
            }
        }
        reported
    }

    /// Tasks that should be on the machine but are not among those kept are pending again.
    /// Returns whether one of them was dispatched in the last answer.
    fn return_missing_tasks(
        &mut self,
        name: &str,
        kept: &BTreeSet<(JobId, u32)>,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let missing: Vec<((JobId, u32), TaskState)> = self
            .inventory
            .tasks(name)
            .filter(|(_, assignment)| assignment.state != TaskState::Assigned)
            .filter(|(task, _)| !kept.contains(*task))
            .map(|(task, assignment)| (task.clone(), assignment.state))
            .collect();
        let start_ignored = missing
            .iter()
            .any(|(_, state)| *state == TaskState::Dispatched);
        for ((id, task), _) in missing {
            self.return_to_pending(&id, task, "not on its machine", context);
        }
        start_ignored
    }

    /// A heartbeat lists a task.
    fn on_reported_task(
        &mut self,
        machine: &Rc<str>,
        task: &ReportedTask,
        context: &SchedulingContext<'_>,
    ) -> TaskOutcome {
        match task.stage {
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
            job.done.contains(task.task) && !job.unrecorded_done.contains(task.task)
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
            let state = TaskState::Reported(task.stage);
            if assignment.state != state {
                assignment.state = state;
                if task.stage == ReportedState::Running {
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
            TaskState::Reported(task.stage),
            Some((machine, task.attempt)),
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
        let assigned_to = job.on_machines.get(&task.task);
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
            || job.unreconciled.contains(task.task)
            || assigned_to.is_some();
        if is_expected {
            return None;
        }
        if job.pending.contains(task.task) {
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
        if job.is_over || job.done.contains(task.task) || !job.bound.contains(task.task) {
            if attempt == Attempt::Current {
                self.transition(&task.job, task.task, TaskState::Done, None, context.now);
                self.after_tasks_left(&task.job);
            }
            return;
        }
        job.failures.succeeded();
        // A gang's tasks complete together.
        let done: Vec<u32> = if job.spec.kind == JobKind::Gang {
            job.bound.numbers().collect()
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
        let other = job.on_machines.get(&task);
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
        job.done.insert(task);
        job.unrecorded_done.insert(task);
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
            let wakeup = (job.not_before, task.job.clone());
            self.queue.wakeups.insert(wakeup);
        }
        let is_suspect = job.failures.is_suspect();
        self.return_to_pending(&task.job, task.task, "ended", context);
        if is_suspect {
            self.withdraw_undispatched(&task.job, context);
            let again = context.now + failure_attribution::TRY_AGAIN_AFTER + SECOND;
            self.queue.wakeups.insert((again, task.job.clone()));
        }
    }

    /// Completes the answer to a machine's heartbeat: replies about listed tasks, then stops,
    /// then starts, `MAX_COMMANDS` at the most.
    fn answer_commands(
        &mut self,
        name: &str,
        replies: Vec<Command>,
        context: &SchedulingContext<'_>,
    ) -> Vec<Command> {
        let mut commands = replies;
        let Some(machine) = self.inventory.machine(name) else {
            return commands;
        };
        commands.truncate(MAX_COMMANDS);
        let stops = Stops::of(machine, MAX_COMMANDS - commands.len());
        commands.extend(stops.commands);
        // Guards against starts of jobs whose cancellation was confirmed while the state
        // service rejects this controller: what is known of jobs is some seconds old.
        if context.may_start {
            let starts = self.dispatch_assigned(name, MAX_COMMANDS - commands.len(), context);
            commands.extend(starts);
        }
        for (id, task) in stops.withdrawn {
            self.transition(&id, task, TaskState::Pending, None, context.now);
            self.update_queue_position(&id, context);
        }
        commands
    }

    /// Dispatches tasks that are assigned to a machine, `limit` at the most.
    fn dispatch_assigned(
        &mut self,
        machine: &str,
        limit: usize,
        context: &SchedulingContext<'_>,
    ) -> Vec<Command> {
        let assigned = self
            .inventory
            .assignments_mut(machine)
            .filter(|(_, assignment)| {
                assignment.state == TaskState::Assigned
                    && assignment.stop_grace.is_none()
                    && !assignment.awaits_start_barrier
            });
        let mut starts = Vec::new();
        for ((id, task), assignment) in assigned.take(limit) {
            self.undispatched
                .remove(&(assignment.since, id.clone(), *task));
            assignment.state = TaskState::Dispatched;
            assignment.since = context.now;
            log::debug!(
                "region={} machine={machine} job={id} task={task}: start, attempt {}",
                self.name,
                assignment.attempt
            );
            starts.push(Command::start(id.clone(), *task, assignment.attempt));
        }
        starts
    }
}

/// Tasks of a machine that are to be stopped.
#[derive(Default)]
struct Stops {
    commands: Vec<Command>,
    /// Tasks that were not dispatched yet: they are pending again instead.
    withdrawn: Vec<(JobId, u32)>,
}

impl Stops {
    /// The stops of a machine, `limit` commands at the most.
    fn of(machine: &Machine, limit: usize) -> Self {
        let mut stops = Stops::default();
        for ((id, task), assignment) in &machine.tasks {
            if stops.commands.len() >= limit {
                break;
            }
            let Some(grace) = assignment.stop_grace else {
                continue;
            };
            match assignment.state {
                TaskState::Assigned => stops.withdrawn.push((id.clone(), *task)),
                TaskState::Reported(_) | TaskState::Dispatched => {
                    let stop = Command::stop(id.clone(), *task, assignment.attempt, grace);
                    stops.commands.push(stop);
                }
                _ => {}
            }
        }
        stops
    }
}
