//! The queue of pending jobs: the order in which they are served, and when that order changes.
//!
//! [`JobQueue`] owns the order, the wake-ups and what the order depends on beside the jobs
//! themselves: each team's last guaranteed job and the pace of aged starts. Only [`Region`]
//! calls it. A job is in the queue exactly while it has a [`QueueKey`] of its own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::model::{JobId, JobKind, JobSpec, Priority};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::job::Job;
use super::objectives::latest_start;
use super::reservation::MAX_TEAM_BLOCK;
use super::{Region, SchedulingContext};
use crate::quota;
use crate::state_store::replica::SubmissionKey;

/// A job whose latest start is nearer than this goes before shorter ones.
const PRESSING_WINDOW: Micros = 15 * SECOND;

/// Whatever is pending for so long since its submission goes by age from then on. Guards
/// against a class's largest jobs, or a class whose objectives are all missed, being passed
/// over under lasting overload: a minute is left of the four in which they must begin.
const AGED_AFTER: Micros = 180 * SECOND;

/// How often an aged job that never began gets a task started before its regular rank. Guards
/// against a flood of old jobs of one task each, all of which would go first.
const AGED_START_INTERVAL: Micros = 5 * SECOND;

/// A job is re-evaluated this much after the time at which its position changes, so that the
/// comparison with that time surely yields the new one.
const CHANGE_MARGIN: Micros = MILLISECOND;

/// Pending jobs in scheduling order, and what that order depends on.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    /// Jobs in the order in which they are served.
    ready: BTreeMap<QueueKey, JobId>,
    wakeups: BTreeSet<Wakeup>,
    /// When an aged job may go first again.
    next_aged_start_at: Micros,
    /// The last job of each team that fits into its guaranteed quota.
    last_guaranteed: BTreeMap<String, SubmissionKey>,
    /// Teams whose guaranteed jobs are to be determined anew.
    stale_teams: BTreeSet<String>,
}

/// A job to re-evaluate at a time: its rank changes, or a back-off ends.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Wakeup {
    at: Micros,
    job: JobId,
}

impl JobQueue {
    /// An empty queue that determines the guaranteed jobs of these teams first.
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

    /// All pending jobs in scheduling order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.ready.values()
    }

    /// The first `count` pending jobs in scheduling order.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = &JobId> {
        self.iter().take(count)
    }

    fn insert(&mut self, key: QueueKey, job: JobId) {
        self.ready.insert(key, job);
    }

    /// A job is pending no more, or at another position.
    pub(super) fn remove(&mut self, key: &QueueKey) {
        self.ready.remove(key);
    }

    /// Schedules a re-evaluation of a job at this time of the steady clock.
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

    /// A job of the team was added, changed or ended: its guaranteed jobs may be others.
    pub(super) fn team_changed(&mut self, team: &str) {
        self.stale_teams.insert(team.to_owned());
    }

    /// Whether a job is within its team's guarantee.
    pub(super) fn is_guaranteed(&self, id: &str, spec: &JobSpec) -> bool {
        self.last_guaranteed
            .get(&spec.team)
            .is_some_and(|last| last.is_not_before(spec.submitted_at, id))
    }

    /// Sets the last guaranteed job of a team. Returns whether that changes anything.
    fn set_last_guaranteed(&mut self, team: &str, last: Option<SubmissionKey>) -> bool {
        let former = match &last {
            Some(job) => self.last_guaranteed.insert(team.to_owned(), job.clone()),
            None => self.last_guaranteed.remove(team),
        };
        former != last
    }

    /// Whether a task of an aged job may be started before its regular rank just now.
    pub(super) fn allows_aged_start(&self, now: Micros) -> bool {
        now >= self.next_aged_start_at
    }

    /// A task of an aged job was started before its regular rank.
    pub(super) fn aged_start_made(&mut self, now: Micros) {
        self.next_aged_start_at = now + AGED_START_INTERVAL;
    }
}

/// The scheduling rank of a pending job; the least is served first. The order of the fields
/// is the order of comparison: jobs within their team's guarantee, then priority, then the
/// operators' precedence, then [`Urgency`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    service: ServiceOrder,
    /// It failed on several machines without a result: after all others.
    is_suspect: bool,
    beyond_guarantee: bool,
    priority: Reverse<Priority>,
    /// Position of its class in the operators' precedence.
    precedence: usize,
    urgency: Urgency,
    submitted_at: Micros,
    id: JobId,
}

impl QueueKey {
    /// Whether one task of the job is to be started before its regular rank.
    pub(super) fn is_aged_start(&self) -> bool {
        matches!(self.service, ServiceOrder::AgedStart(_))
    }

    /// Whether the job is within its team's guarantee.
    pub(super) fn is_guaranteed(&self) -> bool {
        !self.beyond_guarantee
    }
}

/// Whether a job is served at its regular rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceOrder {
    /// It has not begun for so long that one task of it goes first, whatever its priority;
    /// of several such jobs the one that was submitted first.
    AgedStart(Micros),
    Regular,
}

/// What decides among jobs of equal guarantee, priority and precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// None of its objectives can be met any more.
    missed_objectives: bool,
    /// No objective presses.
    relaxed: bool,
    /// A time to start by, a size, or the time of submission.
    weight: u64,
}

impl Urgency {
    /// By age alone.
    fn by_age(spec: &JobSpec) -> Self {
        Urgency {
            missed_objectives: false,
            relaxed: false,
            weight: spec.submitted_at,
        }
    }

    /// Those that can still meet an objective go before those that can't, the pressing ones
    /// first, then the small ones: that way the most are in time. Also returns the time of
    /// day when this changes by itself.
    fn by_objectives(spec: &JobSpec, context: &SchedulingContext<'_>) -> (Self, Micros) {
        let due = latest_start(spec, context);
        let is_pressing = due.is_some_and(|at| at < context.wall + PRESSING_WINDOW);
        let urgency = Urgency {
            missed_objectives: due.is_none(),
            relaxed: !is_pressing,
            weight: if is_pressing {
                due.unwrap_or(0)
            } else {
                job_size(spec)
            },
        };
        let changes_at = match due {
            Some(at) if is_pressing => at,
            Some(at) => at - PRESSING_WINDOW,
            None => aged_at(spec),
        };
        (urgency, changes_at.min(aged_at(spec)))
    }
}

/// When a job goes by its age alone.
fn aged_at(spec: &JobSpec) -> Micros {
    spec.submitted_at + AGED_AFTER
}

/// The processor time that a job is expected to take, in milliseconds times thousandths of a
/// processor (its specification counts both in millionths).
fn job_size(spec: &JobSpec) -> u64 {
    const MICROS_PER_MILLI: u64 = 1000;
    let run_time = spec
        .estimated_run_time
        .saturating_mul(spec.task_count.into());
    run_time / MICROS_PER_MILLI * (spec.cpus / MICROS_PER_MILLI).max(1)
}

/// Where a job is in the queue (`None`: it isn't), and after what time that changes by itself.
#[derive(Debug, Default)]
struct QueuePosition {
    key: Option<QueueKey>,
    changes_in: Option<Micros>,
}

impl Region {
    /// Brings the position of a job in the queue up to date: enters it, moves it, or takes it
    /// out.
    pub(super) fn update_queue_position(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let position = self.queue_position(id, job, context);
        if job.queue_key != position.key {
            self.set_queue_position(id, position, context.now);
        }
    }

    /// A wake-up of the job was due. Guards against one whose position stays as it is for now,
    /// since another aged job was served: it must be re-evaluated later.
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
        if let Some(former) = job.queue_key.take() {
            self.queue.remove(&former);
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
        if job.tasks.pending().is_empty() || job.is_over {
            return QueuePosition::default();
        }
        let spec = &job.spec;
        let aged_start_in = self.aged_start_in(job, context);
        let is_multi_task_gang = spec.kind == JobKind::Gang && spec.task_count > 1;
        // Gangs go by their age, so that a large one is never passed over for ever. A gang of
        // one task needs no other places: it goes by its objectives like the rest.
        let (urgency, changes_in) = if is_multi_task_gang || context.wall >= aged_at(spec) {
            let changes_in = aged_start_in.filter(|span| *span > 0);
            (Urgency::by_age(spec), changes_in)
        } else {
            let (urgency, changes_at) = Urgency::by_objectives(spec, context);
            (urgency, Some(changes_at.saturating_sub(context.wall)))
        };
        let service = match aged_start_in {
            Some(0) => ServiceOrder::AgedStart(spec.submitted_at),
            _ => ServiceOrder::Regular,
        };
        QueuePosition {
            key: Some(self.queue_key(id, job, service, urgency, context)),
            changes_in: changes_in.map(|span| span + CHANGE_MARGIN),
        }
    }

    fn queue_key(
        &self,
        id: &JobId,
        job: &Job,
        service: ServiceOrder,
        urgency: Urgency,
        context: &SchedulingContext<'_>,
    ) -> QueueKey {
        let spec = &job.spec;
        let mut precedence = context.settings.operator.class_precedence.iter();
        QueueKey {
            service,
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

    /// After what time a job that never began gets a task started before its regular rank;
    /// `None` if never. Guards against work of low priority that never begins while higher priority
    /// keeps coming: once it is old enough a task starts now and then.
    fn aged_start_in(&self, job: &Job, context: &SchedulingContext<'_>) -> Option<Micros> {
        let never_served = job.tasks.on_machines().is_empty()
            && job.spec.kind == JobKind::Array
            && !job.failures.is_suspect();
        if !never_served {
            return None;
        }
        let by_age = aged_at(&job.spec).saturating_sub(context.wall);
        let by_last_start = (job.last_assigned + MAX_TEAM_BLOCK).saturating_sub(context.now);
        let by_others = self.queue.next_aged_start_at.saturating_sub(context.now);
        Some(by_age.max(by_last_start).max(by_others))
    }

    /// Brings up to date which jobs are within their teams' guarantees.
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
