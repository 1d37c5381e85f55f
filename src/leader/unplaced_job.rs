//! A job with tasks that wait in a region, as the plan sees it.

use std::rc::Rc;

use crate::peer_protocol::{PendingJob, RegionReport};
use crate::region::{only_fitting_type, SchedulingContext};
use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::units::Micros;

/// Whether a job fits on one machine type only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flexibility {
    /// Just one type can hold its tasks; capacity on that type is reserved for such jobs.
    Constrained,
    /// Several types can hold its tasks.
    Flexible,
}

impl Flexibility {
    /// Of a job whose only fitting type is this one, if there is just one.
    pub(super) fn of(only_type: Option<&str>) -> Self {
        match only_type {
            Some(_) => Flexibility::Constrained,
            None => Flexibility::Flexible,
        }
    }
}

/// A job with waiting tasks in one region.
#[derive(Debug)]
pub(super) struct UnplacedJob {
    pub(super) id: String,
    pub(super) region: String,
    pub(super) spec: Rc<JobSpec>,
    /// Waiting tasks for which the plan has found no capacity yet.
    pub(super) unplaced_tasks: u64,
    /// How long the oldest of them has waited.
    pub(super) waiting_for: Micros,
    /// The one machine type that fits, if there is just one.
    pub(super) only_type: Option<String>,
    /// Its team's limit is used up.
    pub(super) is_quota_blocked: bool,
    /// It failed on several machines without a result: it is rebound to free capacity, but
    /// nothing is rented for it.
    pub(super) is_suspect: bool,
}

impl UnplacedJob {
    /// A waiting job of a region's report; `None` if it is not on record as open, or if it is a
    /// gang over several regions, which is coordinated apart.
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
            waiting_for: pending.waiting_us,
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

    /// Whether its tasks stay in one region.
    pub(super) fn keeps_together(&self) -> bool {
        keeps_together(&self.spec)
    }

    /// All tasks of the job, waiting or not.
    pub(super) fn task_count(&self) -> u64 {
        u64::from(self.spec.task_count)
    }

    /// How many tasks must find capacity in the same region for any to be bound there.
    pub(super) fn min_tasks(&self) -> u64 {
        min_tasks(&self.spec)
    }
}

/// Whether a region finds a team's limit used up.
fn is_quota_blocked(team: &str, report: &RegionReport) -> bool {
    let mut blocked_teams = report.quota_blocked_teams.iter();
    blocked_teams.any(|(blocked, _)| blocked == team)
}

/// Whether a job's tasks stay in one region as long as one region can hold them.
pub(super) fn keeps_together(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Gang || spec.single_zone || spec.spread_zones
}

/// How many tasks must find capacity in the same region for any to be bound there: all of a job
/// that keeps together, else one.
pub(super) fn min_tasks(spec: &JobSpec) -> u64 {
    if keeps_together(spec) {
        u64::from(spec.task_count)
    } else {
        1
    }
}
