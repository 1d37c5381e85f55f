//! Unplaced jobs: the plan's view of jobs with pending tasks in a region.

use std::rc::Rc;

use crate::peer_protocol::{PendingJob, RegionReport};
use crate::region::{only_fitting_type, RemainingTasks, SchedulingContext};
use salttiller_records::model::JobSpec;
use salttiller_records::units::Micros;

/// Whether a job fits on one machine type only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flexibility {
    /// Only one type can hold the job's tasks; capacity of that type is reserved for such jobs.
    Constrained,
    /// Several types can hold the job's tasks.
    Flexible,
}

impl Flexibility {
    /// Returns the flexibility of a job; `only_type` is the only type on which the job fits, if
    /// any.
    pub(super) fn of(only_type: Option<&str>) -> Self {
        match only_type {
            Some(_) => Flexibility::Constrained,
            None => Flexibility::Flexible,
        }
    }
}

/// A job with pending tasks in one region.
#[derive(Debug)]
pub(super) struct UnplacedJob {
    pub(super) id: String,
    pub(super) region: String,
    pub(super) spec: Rc<JobSpec>,
    /// Number of pending tasks for which the plan has found no capacity yet.
    pub(super) unplaced_tasks: u64,
    /// Number of pending tasks that the region reported.
    pub(super) pending_tasks: u64,
    /// What remains of the job, as far as records and the region's report show it.
    remaining: RemainingTasks,
    /// Time for which the job has had pending tasks in the region without interruption.
    pub(super) pending_for: Micros,
    /// The only machine type on which the job fits, if there is exactly one.
    pub(super) only_type: Option<String>,
    /// Whether the quota of the job's team is exhausted.
    pub(super) is_quota_blocked: bool,
    /// Whether the job failed on several machines without a result. No machines are rented for a
    /// suspect job, and it is rebound only if its own region has no machine that could hold a task.
    pub(super) is_suspect: bool,
}

impl UnplacedJob {
    /// Creates an unplaced job from an entry of a region's report. Returns `None` if the job has no
    /// open record, or if it is a multi-region gang, which is coordinated separately.
    pub(super) fn from_report(
        pending: &PendingJob,
        report: &RegionReport,
        is_suspect: bool,
        context: &SchedulingContext<'_>,
    ) -> Option<Self> {
        let record = &context.replica.jobs.get(&pending.job)?.value;
        let spec = record.open_spec()?;
        if record.multi_region.is_some() {
            return None;
        }
        Some(UnplacedJob {
            id: pending.job.clone(),
            region: report.region.clone(),
            spec: spec.clone(),
            unplaced_tasks: u64::from(pending.pending_tasks),
            pending_tasks: u64::from(pending.pending_tasks),
            remaining: remaining_tasks(pending, spec, report, is_suspect, context),
            pending_for: pending.waiting_us,
            only_type: only_fitting_type(spec, context.replica),
            is_quota_blocked: is_quota_blocked(&spec.team, report),
            is_suspect,
        })
    }

    pub(super) fn flexibility(&self) -> Flexibility {
        Flexibility::of(self.only_type.as_deref())
    }

    pub(super) fn is_flexible(&self) -> bool {
        self.flexibility() == Flexibility::Flexible
    }

    /// Whether the job is indivisible, so that all of its tasks are bound to the same region.
    pub(super) fn is_indivisible(&self) -> bool {
        self.spec.is_indivisible()
    }

    /// Number of the job's tasks without a recorded result, pending or not.
    pub(super) fn open_tasks(&self) -> u64 {
        u64::from(self.remaining.open)
    }

    /// What remains of the job, as far as records and the region's report show it.
    pub(super) fn remaining(&self) -> RemainingTasks {
        self.remaining
    }

    /// Whether tasks of the job may be rebound: those of an indivisible job only as a whole, and
    /// only if the plan has found capacity for none of them.
    pub(super) fn may_be_rebound(&self) -> bool {
        let is_partly_placed = self.unplaced_tasks < self.pending_tasks;
        self.unplaced_tasks > 0
            && self.remaining.may_leave_region(&self.spec)
            && !(self.is_indivisible() && is_partly_placed)
    }

    /// Minimum number of tasks that must fit in a region for any to be bound there.
    pub(super) fn min_tasks(&self) -> u64 {
        u64::from(self.remaining.min_fitting(&self.spec))
    }
}

/// Returns what remains of a job with pending tasks in a region.
fn remaining_tasks(
    pending: &PendingJob,
    spec: &JobSpec,
    report: &RegionReport,
    is_suspect: bool,
    context: &SchedulingContext<'_>,
) -> RemainingTasks {
    let mut running = report.running_tasks.iter();
    let on_machines = running
        .find(|running| running.job == pending.job)
        .map_or(0, |running| running.running);
    let open = open_tasks(&pending.job, spec, context);
    // A region reports at most one pending task of a suspect job. The owner knows the others.
    let is_capped = is_suspect && on_machines == 0 && pending.pending_tasks > 0;
    RemainingTasks {
        open,
        pending: if is_capped {
            open
        } else {
            pending.pending_tasks
        },
        on_machines,
    }
}

/// Number of a job's tasks without a recorded result.
pub(super) fn open_tasks(id: &str, spec: &JobSpec, context: &SchedulingContext<'_>) -> u32 {
    spec.task_count
        .saturating_sub(context.replica.done_count(id))
}

/// Whether a region reports a team's quota as exhausted.
fn is_quota_blocked(team: &str, report: &RegionReport) -> bool {
    let mut blocked_teams = report.quota_blocked_teams.iter();
    blocked_teams.any(|(blocked, _)| blocked == team)
}
