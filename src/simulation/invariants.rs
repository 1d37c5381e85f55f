//! The rules that hold on every day. Those for starts ([`starts`]) and for responses to users
//! are checked as these happen; [`World::check_invariants`] checks the others every few seconds.
//!
//! A violation is recorded with the rule's name and what was seen; the day ends there.

mod starts;
mod waiting;

pub(super) use waiting::NeedlessWait;

use std::collections::BTreeMap;
use std::fmt;

use salttiller_records::units::{Micros, SECOND};

use super::users::Job;
use super::workers::{task_id, Worker};
use super::world::World;
use super::CANCEL_DEADLINE;

/// Once all faults are over, an accepted job has an answer at least this often.
const LONGEST_SILENCE: Micros = 75 * SECOND;

/// Tolerance of sums of processors and memory.
const ROUNDING: f64 = 1e-6;

/// A rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
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
    pub(super) fn name(self) -> &'static str {
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
pub(super) struct Violation {
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

impl World {
    /// Checks what is checked every few seconds of a day.
    pub(super) fn check_invariants(&mut self) {
        self.check_cancelled();
        self.check_answered();
        self.check_waiting();
    }

    /// Records the violation of a rule.
    pub(super) fn violate(&mut self, rule: Rule, seen: String) {
        let at = self.now;
        self.violations.push(Violation { at, rule, seen });
    }

    /// Whether a rule was violated.
    pub(super) fn has_violated(&self, rule: Rule) -> bool {
        self.violations.iter().any(|v| v.rule == rule)
    }

    /// The job that a task is a part of.
    fn job_of(&self, task: &str) -> &Job {
        &self.users.jobs[task_id(task).0]
    }

    /// A job that must be done before this one and isn't.
    fn open_dependency<'a>(&self, job: &'a Job) -> Option<&'a String> {
        let is_open = |id: &&String| !self.users.jobs[*id].has_all_results();
        job.dependencies.iter().find(is_open)
    }

    /// Checks that no team's tasks use more than its limit.
    pub(super) fn check_quota(&mut self) {
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
    pub(super) fn check_answered(&mut self) {
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

    /// Checks that every cancelled job's tasks are gone in time, those on paused machines
    /// included.
    pub(super) fn check_cancelled(&mut self) {
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
    pub(super) fn live_workers(&self) -> impl Iterator<Item = (&String, &Worker)> {
        let workers = self.workers.iter();
        workers.filter(|(_, worker)| !worker.has_lost_tasks(self.now))
    }
}
