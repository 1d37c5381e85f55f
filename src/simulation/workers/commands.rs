//! Execution of the commands in responses to heartbeats: start, stop and forget a task.

use salttiller_records::units::{Micros, SECOND};
use serde_json::Value;

use crate::simulation::events::Event;
use crate::simulation::users::JobKind;
use crate::simulation::workload::Workload;
use crate::simulation::world::World;

use super::tasks::{task_id, ExitReason, TaskStage, WorkerTask};

/// Time that the tasks of a gang wait for each other.
const GANG_WAIT: Micros = 30 * SECOND;
/// Run time of services, which run until they are stopped: longer than any day.
const SERVICE_RUN_TIME: Micros = 100_000 * SECOND;
/// Factor by which the first task of a job runs longer in [`Workload::UnevenTasks`].
const UNEVEN_FACTOR: u64 = 4;

/// Returns the position, from 1 on, at which a task of [`Workload::StaggeredTasks`] ends: a
/// permutation of each sixteen tasks.
fn staggered_position(number: u32) -> u64 {
    u64::from(number * 7 % 16) + 1
}

impl World {
    /// Executes a command of an accepted response.
    pub(crate) fn execute_command(&mut self, machine: &str, command: &Value) {
        let task = command["sheaf"].as_str().unwrap();
        let attempt = command["sowing"].as_u64().unwrap();
        match command["call"].as_str().unwrap() {
            "start" => self.start_task(machine, task, attempt),
            "stop" => self.stop_task(machine, task, attempt),
            _ => self.forget_task(machine, task, attempt),
        }
    }

    fn start_task(&mut self, machine: &str, task: &str, attempt: u64) {
        let (job_id, _) = task_id(task);
        let Some(job) = self.users.jobs.get_mut(job_id) else {
            return;
        };
        let known = self.workers[machine].tasks.get(task);
        if known.is_some_and(|known| known.attempt == attempt) {
            return;
        }
        self.starts += 1;
        job.starts += 1;
        let is_gang = job.kind == JobKind::Gang;
        if !self.check_start(machine, task) {
            return;
        }
        let started = self.new_task(task, attempt);
        let ends_at = started.ends_at;
        let mut incarnation = 0;
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.tasks.insert(task.into(), started);
            incarnation = worker.incarnation;
        }
        self.check_quota();
        self.schedule_tasks_due(ends_at, machine, incarnation);
        if is_gang {
            self.start_complete_gang(job_id, attempt);
        }
    }

    /// Creates a task that starts now. A task that already has a result ends immediately.
    fn new_task(&self, task: &str, attempt: u64) -> WorkerTask {
        let (job_id, number) = task_id(task);
        let job = &self.users.jobs[job_id];
        let uneven = self.workload == Workload::UnevenTasks && number == 0;
        let run_time = match job.kind {
            JobKind::Service => SERVICE_RUN_TIME,
            _ if uneven => UNEVEN_FACTOR * job.run_time,
            JobKind::Batch if self.workload == Workload::StaggeredTasks => {
                job.run_time * staggered_position(number)
            }
            JobKind::Gang => GANG_WAIT,
            JobKind::Batch => job.run_time,
        };
        let has_result = job.results.contains(&number);
        let ends_at = match has_result {
            true => self.now,
            false => self.now + run_time,
        };
        let stage = match job.kind {
            JobKind::Gang if !has_result => TaskStage::Gathering,
            _ => TaskStage::Running,
        };
        WorkerTask {
            attempt,
            stage,
            ends_at,
        }
    }

    fn schedule_tasks_due(&mut self, at: Micros, machine: &str, incarnation: u64) {
        let machine = machine.to_owned();
        let event = Event::TasksDue {
            machine,
            incarnation,
        };
        self.schedule(at, event);
    }

    /// Starts the run of a gang's tasks if all of them have gathered.
    fn start_complete_gang(&mut self, job: &str, attempt: u64) {
        let gathered = self.gathered_tasks(job, attempt);
        if gathered.len() as u32 != self.users.jobs[job].tasks {
            return;
        }
        let ends_at = self.now + self.users.jobs[job].run_time;
        for (machine, task) in gathered {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            let incarnation = worker.incarnation;
            if let Some(task) = worker.tasks.get_mut(&task) {
                task.stage = TaskStage::Running;
                task.ends_at = ends_at;
            }
            self.schedule_tasks_due(ends_at, &machine, incarnation);
        }
    }

    /// Returns the gathered tasks of a gang's attempt with their machines.
    fn gathered_tasks(&self, job: &str, attempt: u64) -> Vec<(String, String)> {
        let prefix = format!("{job}/");
        let is_gathered = |id: &str, task: &WorkerTask| {
            id.starts_with(&prefix) && task.attempt == attempt && task.stage == TaskStage::Gathering
        };
        let mut gathered = Vec::new();
        for (machine, worker) in self.workers.iter().filter(|(_, w)| !w.failed) {
            let tasks = worker.tasks.iter().filter(|(id, t)| is_gathered(id, t));
            gathered.extend(tasks.map(|(id, _)| (machine.clone(), id.clone())));
        }
        gathered
    }

    fn stop_task(&mut self, machine: &str, task: &str, attempt: u64) {
        let worker = self.workers.get_mut(machine);
        let task = worker.and_then(|worker| worker.tasks.get_mut(task));
        if let Some(task) = task.filter(|t| t.attempt == attempt && !t.has_ended()) {
            task.stage = TaskStage::Ended(ExitReason::Stopped);
        }
    }

    /// Removes an ended task whose end has been recorded.
    fn forget_task(&mut self, machine: &str, task: &str, attempt: u64) {
        if let Some(worker) = self.workers.get_mut(machine) {
            let is_removable = |t: &WorkerTask| t.attempt == attempt && t.has_ended();
            if worker.tasks.get(task).is_some_and(is_removable) {
                worker.tasks.remove(task);
            }
        }
    }
}
