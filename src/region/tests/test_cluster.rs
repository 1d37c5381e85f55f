//! A region with simulated machines that execute their commands, for tests over a longer time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::key::Key;
use salttiller_records::units::{Micros, SECOND};
use serde_json::json;

use super::fixture::{heartbeat, Fixture};
use crate::peer_protocol::PendingJob;
use crate::region::{Action, HeartbeatOutcome, Region};
use crate::state_store::Transaction;
use crate::worker_protocol::{Command, CommandKind, ExitReason, ReportedState, ReportedTask};

/// Run time of each task.
const RUN_TIME: Micros = 4 * SECOND;
/// Fencing token of the region.
const TOKEN: u64 = 7;

/// A task running on a machine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunningTask {
    job: String,
    task: u32,
    attempt: u64,
}

impl RunningTask {
    fn reported_as(&self, state: ReportedState) -> ReportedTask {
        ReportedTask {
            job: Rc::from(self.job.as_str()),
            task: self.task,
            attempt: self.attempt,
            state,
        }
    }
}

/// A region and its machines, which execute their commands.
pub(in crate::region) struct TestCluster {
    pub(super) fixture: Fixture,
    pub(in crate::region) region: Region,
    /// Sequence number of the last heartbeat of every machine.
    sequence: u64,
    /// Running tasks by machine, with the time at which each ends.
    running: BTreeMap<String, BTreeMap<RunningTask, Micros>>,
    /// When each task (job, number) was first started.
    pub(in crate::region) first_starts: BTreeMap<(String, u32), Micros>,
    /// Number of task starts by job.
    pub(in crate::region) starts: BTreeMap<String, u32>,
    /// Jobs whose tasks fail on every machine.
    pub(in crate::region) failing_jobs: BTreeSet<String>,
    /// Machines on which all tasks fail.
    pub(in crate::region) faulty_machines: BTreeSet<String>,
}

impl TestCluster {
    /// Creates a cluster with this number of machines, named from `m-0` on.
    pub(in crate::region) fn new(machines: usize) -> Self {
        let mut fixture = Fixture::new();
        let names: Vec<String> = (0..machines).map(|i| format!("m-{i}")).collect();
        for name in &names {
            fixture.add_machine(name);
        }
        // Raises the limits, so that they do not affect these tests.
        for team in &mut fixture.settings.teams {
            team.limit = team.limit.map(|limit| limit.times(100));
        }
        let region = fixture.acquire(TOKEN, SECOND);
        TestCluster {
            fixture,
            region,
            sequence: 0,
            running: names
                .into_iter()
                .map(|name| (name, BTreeMap::new()))
                .collect(),
            first_starts: BTreeMap::new(),
            starts: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            faulty_machines: BTreeSet::new(),
        }
    }

    /// Submits a job of normal priority.
    pub(in crate::region) fn submit(
        &mut self,
        id: &str,
        kind: &str,
        team: &str,
        tasks: u32,
        cpus: u64,
        now: Micros,
    ) {
        self.submit_with(id, team, (kind, "1"), tasks, cpus, now);
    }

    /// Submits a job with an explicit kind and priority.
    pub(super) fn submit_with(
        &mut self,
        id: &str,
        team: &str,
        (kind, priority): (&str, &str),
        tasks: u32,
        cpus: u64,
        now: Micros,
    ) {
        let record = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":"x","t":team,"k":kind,"r":priority,"n":tasks,
            "u":cpus,"m":1_000_000,"i":"img","e":4_000_000,"a":now}});
        self.fixture.put(&format!("st/job/{id}"), record);
        self.region.on_job(id, &self.fixture.context(now));
    }

    /// Returns the region's pending jobs as reported to the other controllers.
    pub(in crate::region) fn pending_jobs(&self, now: Micros) -> Vec<PendingJob> {
        self.region.report(&self.fixture.context(now)).pending_jobs
    }

    /// Returns how many of a job's tasks have been started at least once.
    pub(in crate::region) fn started_tasks(&self, job: &str) -> usize {
        let tasks = self.first_starts.keys();
        tasks.filter(|(id, _)| id == job).count()
    }

    /// Submits more small jobs of a team than can be started in this second.
    pub(super) fn overload(&mut self, second: u64, team: &str) {
        for i in 0..3 {
            let id = format!("req-{}", second * 10 + i);
            self.submit(&id, "a", team, 1, 2_000_000, second * SECOND);
        }
    }

    /// Reports these tasks (job, task, attempt) of a machine as failed. Returns the number of
    /// commands that the machine gets.
    pub(in crate::region) fn report_failures(
        &mut self,
        machine: &str,
        tasks: &[(String, u32, u64)],
        now: Micros,
    ) -> usize {
        self.sequence += 1;
        let mut failures = heartbeat(machine, self.sequence, TOKEN, &[]);
        failures.tasks = tasks
            .iter()
            .map(|(job, task, attempt)| ReportedTask {
                job: Rc::from(job.as_str()),
                task: *task,
                attempt: *attempt,
                state: ReportedState::Ended(ExitReason::Failed),
            })
            .collect();
        let context = self.fixture.context(now);
        match self.region.on_heartbeat(&failures, &context) {
            HeartbeatOutcome::Accepted(commands) => commands.len(),
            other => panic!("{machine}: {other:?}"),
        }
    }

    /// Runs one second: tasks past their run time end, each machine sends a heartbeat and
    /// executes its commands, and the region's commits succeed. Answers to the machine
    /// `unreachable` are lost.
    pub(in crate::region) fn run_second(&mut self, now: Micros, unreachable: Option<&str>) {
        self.sequence += 1;
        let machines: Vec<String> = self.running.keys().cloned().collect();
        for machine in machines {
            let commands = self.report(&machine, now);
            if unreachable != Some(machine.as_str()) {
                self.execute(&machine, commands, now);
            }
        }
        self.region.tick(&self.fixture.context(now));
        for action in self.region.take_actions() {
            if let Action::Commit(transaction, _, kind) = action {
                self.apply(transaction, now);
                let context = self.fixture.context(now);
                self.region.conclude_commit(kind, true, &context);
            }
        }
    }

    /// Sends a heartbeat of a machine, in which tasks past their run time have ended. The machine
    /// lists them until they are reaped. Returns the commands of the answer.
    fn report(&mut self, machine: &str, now: Micros) -> Vec<Command> {
        let mut report = heartbeat(machine, self.sequence, TOKEN, &[]);
        let tasks = self.running.get_mut(machine).unwrap();
        for (task, ends_at) in tasks.iter() {
            let fails =
                self.failing_jobs.contains(&task.job) || self.faulty_machines.contains(machine);
            report
                .tasks
                .push(task.reported_as(match (*ends_at <= now, fails) {
                    (false, _) => ReportedState::Running,
                    (true, true) => ReportedState::Ended(ExitReason::Failed),
                    (true, false) => ReportedState::Ended(ExitReason::Done),
                }));
        }
        let context = self.fixture.context(now);
        match self.region.on_heartbeat(&report, &context) {
            HeartbeatOutcome::Accepted(commands) => commands,
            other => panic!("{machine}: {other:?}"),
        }
    }

    fn execute(&mut self, machine: &str, commands: Vec<Command>, now: Micros) {
        let tasks = self.running.get_mut(machine).unwrap();
        for command in commands {
            if command.kind == CommandKind::Start {
                let job = command.job.to_string();
                let first_start = self.first_starts.entry((job.clone(), command.task));
                first_start.or_insert(now);
                *self.starts.entry(job.clone()).or_default() += 1;
                let task = RunningTask {
                    job,
                    task: command.task,
                    attempt: command.attempt,
                };
                tasks.insert(task, now + RUN_TIME);
            } else if command.kind == CommandKind::Reap {
                let is_reaped = |task: &RunningTask| {
                    (task.job.as_str(), task.task, task.attempt)
                        == (&*command.job, command.task, command.attempt)
                };
                tasks.retain(|task, ends_at| !is_reaped(task) || *ends_at > now);
            }
        }
    }

    fn apply(&mut self, transaction: Transaction, now: Micros) {
        for (key, value) in transaction.changes {
            let fixture = &mut self.fixture;
            match value {
                Some(value) => fixture.put(&key.text(), value),
                None => drop(
                    fixture
                        .replica
                        .apply_event(&key.text(), None, fixture.revision + 1),
                ),
            }
            if let Key::Job(id) = &key {
                self.region.on_job(id, &self.fixture.context(now));
            }
        }
    }
}
