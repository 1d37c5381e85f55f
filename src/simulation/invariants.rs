//! The rules that hold on every day. Some are checked as something happens: a start, a
//! response. [`World::check_invariants`] checks the others every few seconds.
//!
//! A violation is recorded with the rule's name and what was seen; the day ends there.

use std::collections::BTreeMap;
use std::fmt;

use crate::state_store::FRESH_FOR;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::users::{Job, JobKind};
use super::workers::{task_id, Worker};
use super::world::World;
use super::CANCEL_DEADLINE;

/// Once all faults are over, an accepted job has an answer at least this often.
const LONGEST_SILENCE: Micros = 75 * SECOND;
/// Once all faults are over, a job that could run waits no longer than this.
const LONGEST_NEEDLESS_WAIT: Micros = 90 * SECOND;

/// How long a start command may be on its way after a cancellation was confirmed.
const COMMAND_LATENCY: Micros = 100 * MILLISECOND;
/// The same while responses to workers are delayed: longer ones are dropped.
const DELAYED_COMMAND_LATENCY: Micros = 4 * SECOND;
/// Responses of a period of delays may arrive so long after it.
const LONGEST_RESPONSE_DELAY: Micros = 6 * SECOND;

/// Tolerance of sums of processors and memory.
const ROUNDING: f64 = 1e-6;

/// A rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A task runs on one machine at a time.
    RanTwice,
    /// Nothing of a cancelled job runs after the deadline.
    RanCancelled,
    /// No task starts before all that its job needs is done.
    TooEarly,
    /// Tasks run on machines that will do.
    WrongPlace,
    /// No team uses more than its limit.
    Quota,
    /// What was accepted is known, and answered about.
    Forgotten,
    /// A refusal says when to try again.
    NoRetryAfter,
    /// A final stage stays.
    WentBack,
    /// A job is cancelled with those that it needs.
    Orphaned,
    /// A job is done only with every task's result.
    NotDone,
    /// No job waits for long beside free capacity.
    Waits,
}

impl Rule {
    /// The protocol's name for a violation of the rule.
    pub fn name(self) -> &'static str {
        match self {
            Rule::RanTwice => "ran_twice",
            Rule::RanCancelled => "ran_cancelled",
            Rule::TooEarly => "too_early",
            Rule::WrongPlace => "wrong_place",
            Rule::Quota => "quota",
            Rule::Forgotten => "forgotten",
            Rule::NoRetryAfter => "no_retry_after",
            Rule::WentBack => "went_back",
            Rule::Orphaned => "orphaned",
            Rule::NotDone => "not_done",
            Rule::Waits => "waits",
        }
    }
}

/// A violation of a rule, and what was seen of it.
#[derive(Clone)]
pub struct Violation {
    pub at: Micros,
    pub rule: Rule,
    pub seen: String,
}

impl fmt::Debug for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at as f64 / SECOND as f64;
        write!(out, "{seconds:.3} {}: {}", self.rule.name(), self.seen)
    }
}

/// Capacity of a machine that no task uses.
struct FreeCapacity {
    spot: bool,
    cpus: f64,
    memory_gb: f64,
}

/// What tasks use of the machines.
#[derive(Default)]
struct ClusterUsage {
    free: Vec<FreeCapacity>,
    cpus_by_team: BTreeMap<&'static str, f64>,
    tasks_by_job: BTreeMap<String, u32>,
}

/// Whether a job could run more tasks now.
enum Outlook {
    /// It waits for nothing but time or other jobs.
    NotWaiting,
    NoCapacity,
    OverLimit,
    /// It could; what speaks for that.
    CouldRun(String),
}

impl World {
    /// Checks what is checked every few seconds of a day.
    pub fn check_invariants(&mut self) {
        self.check_cancelled();
        self.check_answered();
        self.check_waiting();
    }

    /// Records the violation of a rule.
    pub fn violate(&mut self, rule: Rule, seen: String) {
        let at = self.now;
        self.violations.push(Violation { at, rule, seen });
    }

    /// Whether a rule was violated.
    pub fn has_violated(&self, rule: Rule) -> bool {
        self.violations.iter().any(|v| v.rule == rule)
    }

    /// Checks the rules for starts; false if one is violated.
    pub fn check_start(&mut self, machine: &str, task: &str) -> bool {
        if let Some(other) = self.other_machine_with(machine, task) {
            let seen = format!("{task} starts on {machine} while on {other}");
            self.violate(Rule::RanTwice, seen);
            return false;
        }
        let controller = self.workers[machine].controller;
        let without_store = self.is_without_store(controller);
        self.observations.starts_without_store += u32::from(without_store);
        let violated = self
            .start_after_cancel(controller, task)
            .or_else(|| self.start_before_dependencies(task))
            .or_else(|| self.start_on_wrong_machine(machine, task));
        match violated {
            Some((rule, seen)) => {
                self.violate(rule, seen);
                false
            }
            None => true,
        }
    }

    /// Another machine that has a task already, whatever that machine is doing.
    fn other_machine_with(&self, machine: &str, task: &str) -> Option<String> {
        let has_task = |worker: &Worker| worker.tasks.get(task).is_some_and(|t| !t.has_ended());
        let mut others = self.live_workers().filter(|(name, _)| *name != machine);
        let other = others.find(|(_, worker)| has_task(worker))?;
        Some(other.0.clone())
    }

    fn start_after_cancel(&mut self, controller: usize, task: &str) -> Option<(Rule, String)> {
        let confirmed_at = self.job_of(task).cancel_confirmed_at?;
        let on_its_way_until = confirmed_at + self.longest_command_latency(controller);
        self.observations.starts_after_cancel += u32::from(self.now > on_its_way_until);
        let is_late = self.now > confirmed_at + CANCEL_DEADLINE;
        is_late.then(|| (Rule::RanCancelled, task.to_owned()))
    }

    /// How long after a confirmed cancellation a start by a controller may be seen.
    fn longest_command_latency(&self, controller: usize) -> Micros {
        let delayed_until = self.network.worker_responses_delayed_until + LONGEST_RESPONSE_DELAY;
        if self.now < delayed_until {
            return DELAYED_COMMAND_LATENCY;
        }
        // Without its peers a controller learns of the cancellation from its next read.
        if self.now < self.controllers[controller].partitions.peers_until {
            return FRESH_FOR + COMMAND_LATENCY;
        }
        COMMAND_LATENCY
    }

    fn start_before_dependencies(&mut self, task: &str) -> Option<(Rule, String)> {
        let job = self.job_of(task);
        let open = self.open_dependency(job);
        if let Some(open) = open {
            return Some((Rule::TooEarly, format!("{task} starts, {open} isn't done")));
        }
        let has_dependencies = !job.dependencies.is_empty();
        self.observations.dependent_starts += u32::from(has_dependencies);
        None
    }

    fn open_dependency<'a>(&self, job: &'a Job) -> Option<&'a String> {
        let is_open = |id: &&String| !self.users.jobs[*id].has_all_results();
        job.dependencies.iter().find(is_open)
    }

    fn start_on_wrong_machine(&self, machine: &str, task: &str) -> Option<(Rule, String)> {
        let is_wrong = self.workers[machine].spot && !self.job_of(task).spot_allowed;
        is_wrong.then(|| (Rule::WrongPlace, task.to_owned()))
    }

    /// The job that a task is a part of.
    fn job_of(&self, task: &str) -> &Job {
        &self.users.jobs[task_id(task).0]
    }

    /// Checks that no team's tasks use more than its limit.
    pub fn check_quota(&mut self) {
        let mut used: BTreeMap<&'static str, f64> = BTreeMap::new();
        for (_, worker) in self.live_workers() {
            for (task, _) in worker.active_tasks() {
                let job = self.job_of(task);
                *used.entry(job.team).or_default() += job.cpus;
            }
        }
        for (team, used) in used {
            let limit = self.cpu_limit(team);
            let peak = self.observations.peak_quota_use;
            self.observations.peak_quota_use = peak.max(used / limit);
            if used > limit + ROUNDING {
                self.violate(Rule::Quota, format!("{team} uses {used} of {limit}"));
            }
        }
    }

    /// The processors that a team may use.
    fn cpu_limit(&self, team: &str) -> f64 {
        let limit = self.settings[0].team(team).unwrap().limit;
        limit.map_or(f64::INFINITY, |l| l.cpus as f64 / 1e6)
    }

    /// Once all faults are over, no accepted job is left without an answer, however the others
    /// fare, and whether it is done or not.
    pub fn check_answered(&mut self) {
        let is_silent = |job: &Job| {
            let since = job.last_answered_at.max(self.faults_end);
            job.accepted && self.now > since + LONGEST_SILENCE
        };
        let silent = self.users.jobs.iter().filter(|(_, job)| is_silent(job));
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.violate(Rule::Forgotten, format!("{id}: no answer for 75 s"));
        }
    }

    /// Once all faults are over, no job waits for long while machines have capacity for what
    /// it lacks and its team is under its limit.
    fn check_waiting(&mut self) {
        let usage = self.cluster_usage();
        let jobs = self.users.jobs.iter();
        let outlooks: Vec<(String, Outlook)> = jobs
            .map(|(id, job)| (id.clone(), self.outlook(id, job, &usage)))
            .collect();
        for (id, outlook) in outlooks {
            let no_capacity = matches!(outlook, Outlook::NoCapacity);
            self.observations.capacity_shortages += u32::from(no_capacity);
            match outlook {
                Outlook::CouldRun(seen) => self.check_needless_wait(id, seen),
                Outlook::NotWaiting | Outlook::NoCapacity | Outlook::OverLimit => {
                    self.needless_waits.remove(&id);
                }
            }
        }
    }

    /// A job could run: checks that it has not been so for long without a start.
    fn check_needless_wait(&mut self, id: String, seen: String) {
        let starts = self.users.jobs[&id].starts;
        let now_waiting = NeedlessWait {
            since: self.now,
            starts,
        };
        let wait = self.needless_waits.entry(id.clone()).or_insert(now_waiting);
        if wait.starts != starts {
            *wait = now_waiting;
        }
        let since = wait.since.max(self.faults_end);
        if self.now > since + LONGEST_NEEDLESS_WAIT {
            self.violate(Rule::Waits, format!("{id}: {seen}"));
        }
    }

    fn cluster_usage(&self) -> ClusterUsage {
        let mut usage = ClusterUsage::default();
        for (_, worker) in self.live_workers().filter(|(_, w)| w.token != 0) {
            let (cpus, memory_gb) = match worker.machine_type.as_str() {
                "box" => (4.0, 16.0),
                _ => (8.0, 64.0),
            };
            let mut free = FreeCapacity {
                spot: worker.spot,
                cpus,
                memory_gb,
            };
            for (task, _) in worker.active_tasks() {
                let job = self.job_of(task);
                free.cpus -= job.cpus;
                free.memory_gb -= 1.0;
                *usage.cpus_by_team.entry(job.team).or_default() += job.cpus;
                let id = task_id(task).0.to_owned();
                *usage.tasks_by_job.entry(id).or_default() += 1;
            }
            usage.free.push(free);
        }
        usage
    }

    fn outlook(&self, id: &str, job: &Job, usage: &ClusterUsage) -> Outlook {
        let active = usage.tasks_by_job.get(id).copied().unwrap_or(0);
        let present = active + job.results.len() as u32;
        let is_over = job.is_final() || job.cancel_requested;
        let is_blocked = self.open_dependency(job).is_some();
        if !job.accepted || is_over || is_blocked || present >= job.tasks {
            return Outlook::NotWaiting;
        }
        // All tasks of a gang or a service start together.
        let lacking = match job.kind {
            JobKind::Batch => 1,
            JobKind::Gang | JobKind::Service => job.tasks - present,
        };
        let capacity: u32 = usage.free.iter().map(|free| free.tasks_of(job)).sum();
        if capacity < lacking {
            return Outlook::NoCapacity;
        }
        let used = usage.cpus_by_team.get(job.team).copied().unwrap_or(0.0);
        let limit = self.cpu_limit(job.team);
        if used + lacking as f64 * job.cpus > limit + ROUNDING {
            return Outlook::OverLimit;
        }
        Outlook::CouldRun(format!(
            "{present} of {} tasks present, capacity for {capacity}, team uses {used} of {limit}, {}",
            job.tasks, job.submission
        ))
    }

    /// Checks that every cancelled job's tasks are gone in time, those on paused machines
    /// included.
    pub fn check_cancelled(&mut self) {
        let is_late = |task: &str| {
            let confirmed_at = self.job_of(task).cancel_confirmed_at;
            confirmed_at.is_some_and(|at| self.now > at + CANCEL_DEADLINE)
        };
        let active = self.live_workers().flat_map(|(_, w)| w.active_tasks());
        let late = active.map(|(task, _)| task).filter(|task| is_late(task));
        let late: Vec<String> = late.cloned().collect();
        for task in late {
            self.violate(Rule::RanCancelled, task);
        }
    }

    /// Workers that have not lost their tasks.
    pub fn live_workers(&self) -> impl Iterator<Item = (&String, &Worker)> {
        let workers = self.workers.iter();
        workers.filter(|(_, worker)| !worker.has_lost_tasks(self.now))
    }
}

/// Since when a job could run more tasks, and how many starts it had then.
#[derive(Clone, Copy)]
pub struct NeedlessWait {
    since: Micros,
    starts: u32,
}

impl FreeCapacity {
    /// How many tasks of a job it has space for.
    fn tasks_of(&self, job: &Job) -> u32 {
        if self.spot && !job.spot_allowed {
            return 0;
        }
        let by_cpus = self.cpus / job.cpus + ROUNDING;
        by_cpus.min(self.memory_gb).max(0.0) as u32
    }
}
