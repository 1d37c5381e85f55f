//! Tasks on a worker's machine: how heartbeats report them, and how they end.

use salttiller_records::model::parse_task;
use salttiller_records::units::{Micros, MILLISECOND};
use serde_json::{json, Value};

use crate::simulation::events::Event;
use crate::simulation::users::{JobKind, UserAction};
use crate::simulation::world::World;

/// Delay of the heartbeat that reports the end of a task.
const END_REPORT_DELAY: Micros = 10 * MILLISECOND;

/// Reason for the end of a task.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitReason {
    Done,
    Stopped,
    Error,
    /// The other tasks of the gang did not gather in time.
    Incomplete,
    /// Another task of the gang was lost.
    PeersGone,
}

impl ExitReason {
    fn wire_name(self) -> &'static str {
        match self {
            ExitReason::Done => "done",
            ExitReason::Stopped => "stopped",
            ExitReason::Error => "error",
            ExitReason::Incomplete => "incomplete",
            ExitReason::PeersGone => "mates_gone",
        }
    }
}

/// Stage of a task on a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStage {
    /// The task waits for the other tasks of its gang.
    Gathering,
    Running,
    Ended(ExitReason),
}

impl TaskStage {
    fn wire_name(self) -> &'static str {
        match self {
            TaskStage::Gathering => "gathering",
            TaskStage::Running => "running",
            TaskStage::Ended(_) => "ended",
        }
    }
}

/// A task on a machine.
#[derive(Clone)]
pub(crate) struct WorkerTask {
    pub attempt: u64,
    pub stage: TaskStage,
    /// Time at which the task ends unless it is stopped.
    pub ends_at: Micros,
}

impl WorkerTask {
    /// Whether the task has ended.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.stage, TaskStage::Ended(_))
    }

    /// Whether the task is running in an attempt.
    pub(crate) fn is_running_in(&self, attempt: u64) -> bool {
        self.attempt == attempt && self.stage == TaskStage::Running
    }

    /// Returns the task's entry in a heartbeat.
    pub(crate) fn report(&self, id: &str) -> Value {
        let mut report =
            json!({"sheaf": id, "sowing": self.attempt, "stage": self.stage.wire_name()});
        if let TaskStage::Ended(reason) = self.stage {
            report["blight"] = json!(reason.wire_name());
        }
        report
    }
}

/// Splits a task id into the job's id and the number of the task.
pub(crate) fn task_id(task: &str) -> (&str, u32) {
    parse_task(task).unwrap()
}

impl World {
    /// Ends the tasks of a machine that have reached their end. Does nothing if the event belongs
    /// to an earlier incarnation, whose tasks are gone.
    pub(crate) fn on_tasks_due(&mut self, machine: &str, incarnation: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.incarnation != incarnation || worker.has_lost_tasks(now) {
            return;
        }
        if now < worker.paused_until {
            let resumed_at = worker.paused_until;
            let machine = machine.to_owned();
            let event = Event::TasksDue {
                machine,
                incarnation,
            };
            return self.schedule(resumed_at, event);
        }
        let timer = worker.restart_timer();
        let due = worker.active_tasks().filter(|(_, t)| t.ends_at <= now);
        let due: Vec<(String, WorkerTask)> = due.map(|(id, t)| (id.clone(), t.clone())).collect();
        for (id, task) in due {
            self.end_task(machine, &id, &task);
        }
        self.schedule_heartbeat(machine, now + END_REPORT_DELAY, timer);
    }

    fn end_task(&mut self, machine: &str, id: &str, task: &WorkerTask) {
        let reason = self.exit_reason(id, task);
        self.observations.task_failures += u32::from(reason == ExitReason::Error);
        let worker_task = self
            .workers
            .get_mut(machine)
            .and_then(|worker| worker.tasks.get_mut(id));
        if let Some(worker_task) = worker_task {
            worker_task.stage = TaskStage::Ended(reason);
        }
        if reason == ExitReason::Done {
            self.record_result(id);
        }
    }

    fn exit_reason(&self, id: &str, task: &WorkerTask) -> ExitReason {
        let (job_id, number) = task_id(id);
        let job = &self.users.jobs[job_id];
        if job.always_fails && task.stage == TaskStage::Running {
            return ExitReason::Error;
        }
        if task.stage == TaskStage::Gathering {
            return ExitReason::Incomplete;
        }
        // All tasks of a gang succeed together or none does.
        let has_result = job.results.contains(&number);
        let is_complete =
            job.kind != JobKind::Gang || has_result || self.is_gang_running(job_id, task.attempt);
        match is_complete {
            true => ExitReason::Done,
            false => ExitReason::PeersGone,
        }
    }

    /// Whether every task of a gang is running in an attempt.
    fn is_gang_running(&self, job: &str, attempt: u64) -> bool {
        (0..self.users.jobs[job].tasks).all(|number| {
            let id = format!("{job}/{number}");
            self.live_workers().any(|(_, worker)| {
                let task = worker.tasks.get(&id);
                task.is_some_and(|task| task.is_running_in(attempt))
            })
        })
    }

    /// Records that a task, or the whole gang of the task, is done.
    fn record_result(&mut self, id: &str) {
        let (job_id, number) = task_id(id);
        let Some(job) = self.users.jobs.get_mut(job_id) else {
            return;
        };
        match job.kind {
            JobKind::Gang => job.results.extend(0..job.tasks),
            JobKind::Batch | JobKind::Service => drop(job.results.insert(number)),
        }
        let elections = self.observations.leader_elections;
        if job.results.len() == 1 {
            job.elections_before_result = elections;
        } else if job.elections_before_result < elections {
            self.observations.results_across_elections += 1;
        }
        let cancels = self.now < self.users.cancel_on_completion_until;
        if job.has_all_results() && cancels && !job.cancel_requested {
            let delay = self.rng.u64(0..200) * MILLISECOND;
            self.schedule_user(self.now + delay, job_id, UserAction::Cancel);
        }
    }
}
