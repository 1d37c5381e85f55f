//! Queue of pending jobs: the scheduling order and the times at which the order changes.
//!
//! [`JobQueue`] owns the order, the wake-ups, and the state that the order depends on apart
//! from the jobs themselves: each team's last guaranteed job and the rate limit of aged starts.
//! Only [`Region`] uses the queue. A job is in the queue exactly while its
//! [`Job::queue_key`](super::job::Job) is set.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::model::{JobId, JobKind, JobSpec, Priority};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::job::Job;
use super::objectives::latest_start;
use super::reservation::MAX_SAME_TEAM_BLOCK_TIME;
use super::{Region, SchedulingContext};
use crate::quota;
use crate::state_store::replica::SubmissionKey;

/// Time before a job's latest start from which the job is ranked before smaller jobs.
const DEADLINE_WINDOW: Micros = 15 * SECOND;

/// Time since submission from which a pending job is ranked by age alone (priority aging).
/// Guards against starvation of the largest jobs of a class, or of a class whose objectives are
/// all missed, under sustained overload. The threshold leaves one of the four minutes within which
/// a job must start.
const AGING_THRESHOLD: Micros = 180 * SECOND;

/// Interval between aged starts: starts of one task of an aged job ahead of the job's regular
/// rank. Guards against a large number of old jobs with one task each, which would all be
/// started before other jobs.
const AGED_START_INTERVAL: Micros = 5 * SECOND;

/// Delay of a wake-up after the time at which a job's position changes, so that the
/// re-evaluation takes place strictly after that time.
const WAKEUP_MARGIN: Micros = MILLISECOND;

/// Pending jobs in scheduling order, and the state that the order depends on.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    /// Pending jobs in scheduling order.
    ready: BTreeMap<QueueKey, JobId>,
    wakeups: BTreeSet<Wakeup>,
    /// Time from which the next aged start is allowed.
    next_aged_start_at: Micros,
    /// The last job of each team that fits into the team's guaranteed quota.
    last_guaranteed: BTreeMap<String, SubmissionKey>,
    /// Teams whose guaranteed jobs must be recomputed.
    stale_teams: BTreeSet<String>,
}

/// Scheduled re-evaluation of a job, whose rank changes or whose backoff ends at that time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Wakeup {
    at: Micros,
    job: JobId,
}

impl JobQueue {
    /// Creates an empty queue. The guaranteed jobs of `teams` are computed at the first update.
    pub(super) fn new(teams: impl Iterator<Item = String>) -> Self {
        JobQueue {
            stale_teams: teams.collect(),
            ..JobQueue::default()
        }
    }

    /// Whether no job is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// Returns all pending jobs in scheduling order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.ready.values()
    }

    /// Returns the first `count` pending jobs in scheduling order.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = &JobId> {
        self.iter().take(count)
    }

    fn insert(&mut self, key: QueueKey, job: JobId) {
        self.ready.insert(key, job);
    }

    /// Removes the entry of a job that is no longer pending or changes its position.
    pub(super) fn remove(&mut self, key: &QueueKey) {
        self.ready.remove(key);
    }

    /// Schedules a re-evaluation of a job at this monotonic time.
    pub(super) fn wake_at(&mut self, at: Micros, job: JobId) {
        self.wakeups.insert(Wakeup { at, job });
    }

    /// Removes and returns the first job whose wake-up is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<JobId> {
        if self.wakeups.first()?.at > now {
            return None;
        }
        self.wakeups.pop_first().map(|wakeup| wakeup.job)
    }

    /// Marks the guaranteed jobs of a team as stale after one of its jobs was added, changed or
    /// ended.
    pub(super) fn team_changed(&mut self, team: &str) {
        self.stale_teams.insert(team.to_owned());
    }

    /// Whether a job is within its team's guaranteed quota.
    pub(super) fn is_guaranteed(&self, id: &str, spec: &JobSpec) -> bool {
        self.last_guaranteed
            .get(&spec.team)
            .is_some_and(|last| last.is_not_before(spec.submitted_at, id))
    }

    /// Sets the last guaranteed job of a team. Returns whether it has changed.
    fn set_last_guaranteed(&mut self, team: &str, last: Option<SubmissionKey>) -> bool {
        let previous = match &last {
            Some(job) => self.last_guaranteed.insert(team.to_owned(), job.clone()),
            None => self.last_guaranteed.remove(team),
        };
        previous != last
    }

    /// Whether the rate limit allows an aged start at this time.
    pub(super) fn allows_aged_start(&self, now: Micros) -> bool {
        now >= self.next_aged_start_at
    }

    /// Records an aged start for the rate limit.
    pub(super) fn record_aged_start(&mut self, now: Micros) {
        self.next_aged_start_at = now + AGED_START_INTERVAL;
    }
}

/// Scheduling rank of a pending job; the job with the least key is scheduled first. Keys are
/// compared field by field in the order of declaration: aged starts, suspect jobs last, jobs
/// within their team's guaranteed quota, priority, the operators' class precedence, and then
/// [`Urgency`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    start_order: StartOrder,
    /// Whether the job failed on several machines without a result. Suspect jobs rank after
    /// all others.
    is_suspect: bool,
    beyond_guarantee: bool,
    priority: Reverse<Priority>,
    /// Position of the job's class in the operators' class precedence.
    precedence: usize,
    urgency: Urgency,
    submitted_at: Micros,
    id: JobId,
}

impl QueueKey {
    /// Whether one task of the job is to be started ahead of the job's regular rank.
    pub(super) fn is_aged_start(&self) -> bool {
        matches!(self.start_order, StartOrder::AgedStart(_))
    }

    /// Whether the job is within its team's guaranteed quota.
    pub(super) fn is_guaranteed(&self) -> bool {
        !self.beyond_guarantee
    }
}

/// Whether a job is scheduled at its regular rank or ahead of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StartOrder {
    /// The job has not started for so long that one of its tasks is started first, regardless
    /// of priority. Jobs with an aged start are ordered by their time of submission.
    AgedStart(Micros),
    /// The job is scheduled at its regular rank.
    Regular,
}

/// Rank among jobs of equal guarantee, priority and class precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// Whether none of the job's objectives can be met any more.
    missed_objectives: bool,
    /// Whether no latest start lies within [`DEADLINE_WINDOW`].
    is_far_from_deadline: bool,
    /// The latest start, the size, or the time of submission of the job.
    sort_value: u64,
}

impl Urgency {
    /// Ranks a job by its age alone.
    fn by_age(spec: &JobSpec) -> Self {
        Urgency {
            missed_objectives: false,
            is_far_from_deadline: false,
            sort_value: spec.submitted_at,
        }
    }

    /// Ranks a job by its objectives: jobs near their latest start first, then other jobs that
    /// can still meet an objective, smaller ones first, then jobs that cannot meet any. This
    /// order lets the largest number of jobs meet an objective. Also returns the wall-clock
    /// time at which the rank changes without any event.
    fn by_objectives(spec: &JobSpec, context: &SchedulingContext<'_>) -> (Self, Micros) {
        let due = latest_start(spec, context);
        let is_near_deadline = due.is_some_and(|at| at < context.wall + DEADLINE_WINDOW);
        let urgency = Urgency {
            missed_objectives: due.is_none(),
            is_far_from_deadline: !is_near_deadline,
            sort_value: if is_near_deadline {
                due.unwrap_or(0)
            } else {
                job_size(spec)
            },
        };
        let changes_at = match due {
            Some(at) if is_near_deadline => at,
            Some(at) => at - DEADLINE_WINDOW,
            None => aged_at(spec),
        };
        (urgency, changes_at.min(aged_at(spec)))
    }
}

/// Returns the wall-clock time from which a job is ranked by age alone.
fn aged_at(spec: &JobSpec) -> Micros {
    spec.submitted_at + AGING_THRESHOLD
}

/// Returns the expected CPU time of a job, in milliseconds times thousandths of a CPU (the job's
/// specification has microseconds and millionths of a CPU).
fn job_size(spec: &JobSpec) -> u64 {
    const MICROS_PER_MILLI: u64 = 1000;
    let run_time = spec
        .estimated_run_time
        .saturating_mul(spec.task_count.into());
    run_time / MICROS_PER_MILLI * (spec.cpus / MICROS_PER_MILLI).max(1)
}

/// Position of a job in the queue.
#[derive(Debug, Default)]
struct QueuePosition {
    /// `None` if the job is not in the queue.
    key: Option<QueueKey>,
    /// Time after which the position changes without any event; `None` if it does not.
    changes_in: Option<Micros>,
}

impl Region {
    /// Updates the position of a job in the queue: inserts, moves or removes the job.
    pub(super) fn update_queue_position(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let position = self.queue_position(id, job, context);
        if job.queue_key != position.key {
            self.set_queue_position(id, position, context.now);
        }
    }

    /// Updates the position of a job whose wake-up was due and always schedules the next
    /// wake-up. Guards against an aged job that is never re-evaluated: its position may be
    /// unchanged at the wake-up because another aged job was started instead.
    pub(super) fn renew_queue_position(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let position = self.queue_position(id, job, context);
        self.set_queue_position(id, position, context.now);
    }

    fn set_queue_position(&mut self, id: &JobId, position: QueuePosition, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(previous) = job.queue_key.take() {
            self.queue.remove(&previous);
        }
        job.queue_key.clone_from(&position.key);
        if let Some(key) = position.key {
            self.queue.insert(key, id.clone());
        }
        if let Some(span) = position.changes_in {
            self.queue.wake_at(now + span, id.clone());
        }
    }

    fn queue_position(
        &self,
        id: &JobId,
        job: &Job,
        context: &SchedulingContext<'_>,
    ) -> QueuePosition {
        if job.tasks.pending().is_empty() || job.has_ended {
            return QueuePosition::default();
        }
        let spec = &job.spec;
        let aged_start_in = self.aged_start_in(job, context);
        let is_multi_task_gang = spec.kind == JobKind::Gang && spec.task_count > 1;
        // Gangs are ranked by age, so that a large gang is not starved. A gang with a single
        // task needs no simultaneous placements and is ranked by its objectives like other jobs.
        let (urgency, changes_in) = if is_multi_task_gang || context.wall >= aged_at(spec) {
            let changes_in = aged_start_in.filter(|span| *span > 0);
            (Urgency::by_age(spec), changes_in)
        } else {
            let (urgency, changes_at) = Urgency::by_objectives(spec, context);
            (urgency, Some(changes_at.saturating_sub(context.wall)))
        };
        let start_order = match aged_start_in {
            Some(0) => StartOrder::AgedStart(spec.submitted_at),
            _ => StartOrder::Regular,
        };
        QueuePosition {
            key: Some(self.queue_key(id, job, start_order, urgency, context)),
            changes_in: changes_in.map(|span| span + WAKEUP_MARGIN),
        }
    }

    fn queue_key(
        &self,
        id: &JobId,
        job: &Job,
        start_order: StartOrder,
        urgency: Urgency,
        context: &SchedulingContext<'_>,
    ) -> QueueKey {
        let spec = &job.spec;
        let mut precedence = context.settings.operator.class_precedence.iter();
        QueueKey {
            start_order,
            is_suspect: job.failures.is_suspect(),
            beyond_guarantee: !self.queue.is_guaranteed(id, spec),
            priority: Reverse(spec.priority),
            precedence: precedence
                .position(|class| *class == spec.class)
                .unwrap_or(usize::MAX),
            urgency,
            submitted_at: spec.submitted_at,
            id: id.clone(),
        }
    }

    /// Returns the time after which a job without tasks on machines gets an aged start; `None`
    /// if the job is not eligible. Guards against starvation of low-priority jobs while jobs of
    /// higher priority keep arriving: an old job starts a single task, [`MAX_SAME_TEAM_BLOCK_TIME`]
    /// after its last assignment at the earliest.
    fn aged_start_in(&self, job: &Job, context: &SchedulingContext<'_>) -> Option<Micros> {
        let is_eligible = job.tasks.on_machines().is_empty()
            && job.spec.kind == JobKind::Array
            && !job.failures.is_suspect();
        if !is_eligible {
            return None;
        }
        let by_age = aged_at(&job.spec).saturating_sub(context.wall);
        let by_last_start =
            (job.last_assigned_at + MAX_SAME_TEAM_BLOCK_TIME).saturating_sub(context.now);
        let by_rate_limit = self.queue.next_aged_start_at.saturating_sub(context.now);
        Some(by_age.max(by_last_start).max(by_rate_limit))
    }

    /// Recomputes the guaranteed jobs of teams that are marked as stale, and updates the queue
    /// positions of the affected jobs.
    pub(super) fn update_guaranteed_jobs(&mut self, context: &SchedulingContext<'_>) {
        for team in std::mem::take(&mut self.queue.stale_teams) {
            let last = quota::last_guaranteed_job(context.replica, context.settings, &team);
            if !self.queue.set_last_guaranteed(&team, last) {
                continue;
            }
            let pending: Vec<JobId> = self
                .queue
                .iter()
                .filter(|id| self.jobs.get(*id).is_some_and(|job| job.spec.team == team))
                .cloned()
                .collect();
            for id in pending {
                self.update_queue_position(&id, context);
            }
        }
    }
}
