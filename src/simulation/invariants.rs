//! The invariants, which hold on every day. The invariants on starts of tasks ([`starts`]) and on
//! responses to users are checked at each start and response; [`World::check_invariants`] checks
//! the others every few seconds.
//!
//! A violation is recorded with the invariant's name and the details observed, and ends the day.

mod starts;
mod waiting;

pub(super) use waiting::StartableJob;

use std::collections::BTreeMap;
use std::fmt;

use salttiller_records::units::{Micros, SECOND};

use super::users::Job;
use super::workers::{task_id, Worker};
use super::world::World;
use super::CANCEL_DEADLINE;

/// Maximum time without a response about an accepted job, once all faults are over.
const MAX_RESPONSE_GAP: Micros = 75 * SECOND;

/// Tolerance for rounding errors in sums of processors and memory.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An invariant of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// A task runs on at most one machine at a time.
    RanTwice,
    /// No task of a cancelled job runs after the deadline.
    RanCancelled,
    /// No task starts before all dependencies of its job are done.
    TooEarly,
    /// Tasks run only on machines that meet their job's requirements.
    WrongPlace,
    /// No team uses more than its quota.
    Quota,
    /// Accepted jobs stay known, and requests about them are answered.
    Forgotten,
    /// A response that refuses a request contains the delay before a retry.
    NoRetryAfter,
    /// A final stage never changes.
    WentBack,
    /// A job is cancelled when one of its dependencies is cancelled.
    Orphaned,
    /// A job is done only when every task has a result.
    NotDone,
    /// No job waits for long while there is free capacity for it.
    Waits,
}

impl Invariant {
    /// Returns the protocol's name for a violation of the invariant.
    pub(super) fn name(self) -> &'static str {
        match self {
            Invariant::RanTwice => "ran_twice",
            Invariant::RanCancelled => "ran_cancelled",
            Invariant::TooEarly => "too_early",
            Invariant::WrongPlace => "wrong_place",
            Invariant::Quota => "quota",
            Invariant::Forgotten => "forgotten",
            Invariant::NoRetryAfter => "no_retry_after",
            Invariant::WentBack => "went_back",
            Invariant::Orphaned => "orphaned",
            Invariant::NotDone => "not_done",
            Invariant::Waits => "waits",
        }
    }
}

/// A violation of an invariant, with the details observed.
#[derive(Clone)]
pub(super) struct Violation {
    pub at: Micros,
    pub invariant: Invariant,
    pub details: String,
}

impl fmt::Debug for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at as f64 / SECOND as f64;
        write!(
            out,
            "{seconds:.3} {}: {}",
            self.invariant.name(),
            self.details
        )
    }
}

impl World {
    /// Checks the invariants that are checked periodically.
    pub(super) fn check_invariants(&mut self) {
        self.check_cancelled();
        self.check_answered();
        self.check_waiting();
    }

    /// Records the violation of an invariant.
    pub(super) fn record_violation(&mut self, invariant: Invariant, details: String) {
        let at = self.now;
        self.violations.push(Violation {
            at,
            invariant,
            details,
        });
    }

    /// Whether an invariant has been violated on this day.
    pub(super) fn has_violated(&self, invariant: Invariant) -> bool {
        self.violations.iter().any(|v| v.invariant == invariant)
    }

    /// Returns the job that a task belongs to.
    fn job_of(&self, task: &str) -> &Job {
        &self.users.jobs[task_id(task).0]
    }

    /// Returns the first of a job's dependencies that is not done, if any.
    fn unfinished_dependency<'a>(&self, job: &'a Job) -> Option<&'a String> {
        let is_open = |id: &&String| !self.users.jobs[*id].has_all_results();
        job.dependencies.iter().find(is_open)
    }

    /// Checks that no team's tasks use more than the team's quota.
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
            if used > limit + ROUNDING_TOLERANCE {
                self.record_violation(Invariant::Quota, format!("{team} uses {used} of {limit}"));
            }
        }
    }

    /// Returns the number of processors that a team may use.
    fn cpu_limit(&self, team: &str) -> f64 {
        let limit = self.settings[0].team(team).unwrap().limit;
        limit.map_or(f64::INFINITY, |l| l.cpus as f64 / 1e6)
    }

    /// Checks that requests about every accepted job, finished or not, are answered once all faults
    /// are over. Each job is checked on its own, independently of responses about other jobs.
    pub(super) fn check_answered(&mut self) {
        let is_unanswered = |job: &Job| {
            let since = job.last_answered_at.max(self.faults_end);
            job.accepted && self.now > since + MAX_RESPONSE_GAP
        };
        let unanswered = self.users.jobs.iter().filter(|(_, job)| is_unanswered(job));
        let unanswered: Vec<String> = unanswered.map(|(id, _)| id.clone()).collect();
        for id in unanswered {
            self.record_violation(Invariant::Forgotten, format!("{id}: no response for 75 s"));
        }
    }

    /// Checks that the tasks of cancelled jobs, including those on paused machines, end before the
    /// deadline.
    pub(super) fn check_cancelled(&mut self) {
        let is_late = |task: &str| {
            let confirmed_at = self.job_of(task).cancel_confirmed_at;
            confirmed_at.is_some_and(|at| self.now > at + CANCEL_DEADLINE)
        };
        let active = self.live_workers().flat_map(|(_, w)| w.active_tasks());
        let late = active.map(|(task, _)| task).filter(|task| is_late(task));
        let late: Vec<String> = late.cloned().collect();
        for task in late {
            self.record_violation(Invariant::RanCancelled, task);
        }
    }

    /// Returns the workers that have not lost their tasks.
    pub(super) fn live_workers(&self) -> impl Iterator<Item = (&String, &Worker)> {
        let workers = self.workers.iter();
        workers.filter(|(_, worker)| !worker.has_lost_tasks(self.now))
    }
}
