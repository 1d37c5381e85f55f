//! What the next pending jobs need of their teams' quotas.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind, JobSpec, Priority};
use salttiller_records::QuotaAmount;

use super::job::Job;
use super::placement::{ZoneLimits, NEXT_JOBS};
use super::quota_share::JobDemand;
use super::{Region, SchedulingContext};

/// How many jobs at the head of the queue are considered.
const MAX_JOBS: usize = 60;
/// Most tasks of an array for which a share is acquired ahead of free capacity.
const MAX_TASKS_AHEAD: u64 = 16;
/// Bits of the time of submission in a scheduling rank; the priority is above them.
const RANK_TIME_BITS: u32 = 56;

/// The scheduling rank of a job among its team's jobs of all regions when the team's limit is
/// used up; the least goes first: by priority, then by age.
fn scheduling_rank(spec: &JobSpec) -> u64 {
    let below_highest = Priority::Production as u64 - spec.priority as u64;
    let time_mask = (1 << RANK_TIME_BITS) - 1;
    (below_highest << RANK_TIME_BITS) | (spec.submitted_at & time_mask)
}

/// Pending tasks of a job for which a share is needed.
struct TaskDemand {
    spec: Rc<JobSpec>,
    /// Tasks that could be placed now.
    placeable: u64,
    /// Tasks that need a share.
    needed: u64,
}

impl TaskDemand {
    /// Limits the demand to what the region's machines could hold beside the demand of
    /// jobs before it. A gang needs all of its tasks or none.
    fn limit_to(&mut self, unclaimed: QuotaAmount) {
        let per_task = self.spec.quota_per_task();
        let fitting = |unclaimed: u64, each: u64| unclaimed.checked_div(each).unwrap_or(u64::MAX);
        let max =
            fitting(unclaimed.cpus, per_task.cpus).min(fitting(unclaimed.gpus, per_task.gpus));
        if self.spec.kind != JobKind::Gang {
            self.needed = self.needed.min(max);
        } else if self.needed > max {
            self.needed = 0;
        }
    }

    /// Tasks that could be placed as soon as the share is there. A gang's are only placed
    /// together.
    fn placeable_with_share(&self) -> u64 {
        match self.spec.kind {
            JobKind::Gang if self.placeable < self.needed => 0,
            _ => self.placeable.min(self.needed),
        }
    }

    fn quota(&self) -> JobDemand {
        let per_task = self.spec.quota_per_task();
        let placeable = self.placeable_with_share();
        JobDemand {
            placeable: per_task.times(placeable),
            ahead: per_task.times(self.needed - placeable),
            rank: scheduling_rank(&self.spec),
        }
    }
}

impl Region {
    /// Determines what the next jobs in the queue need of their teams' limits, those that
    /// there is no free capacity for yet included. Guards against a machine that becomes free
    /// and then is idle for a report's interval, because the next task on it is of a team whose
    /// share must first be acquired. No more than the region's machines could hold: a
    /// share kept for tasks that can't run here is lacking where they can.
    pub(super) fn update_quota_demand(&mut self, context: &SchedulingContext<'_>) {
        self.quotas.clear_demand();
        // Guards against a small region that wants all its capacity for each job in the queue
        // on top of the others, and keeps the limit from where there is free capacity.
        let mut unclaimed = self.inventory.index().total_quota();
        let ids: Vec<JobId> = self.queue.first(MAX_JOBS).cloned().collect();
        for (position, id) in ids.iter().enumerate() {
            let Some(mut demand) = self.task_demand(id, position < NEXT_JOBS, context) else {
                continue;
            };
            demand.limit_to(unclaimed);
            if demand.needed == 0 {
                continue;
            }
            let spec = &demand.spec;
            // What its team's limit keeps from starting takes no capacity.
            if !self.quotas.is_limited(&spec.team) {
                unclaimed = unclaimed.minus(spec.quota_per_task().times(demand.needed));
            }
            self.quotas.add_demand(&spec.team, demand.quota());
        }
    }

    fn task_demand(
        &self,
        id: &JobId,
        is_next: bool,
        context: &SchedulingContext<'_>,
    ) -> Option<TaskDemand> {
        let job = self.jobs.get(id)?;
        let pending = u64::from(job.tasks_to_schedule(context.now));
        let placeable = self.tasks_placeable_now(id, &ZoneLimits::none(), pending, context);
        // A suspect job takes what is free now, and no share before that.
        let needed = if job.failures.is_suspect() && placeable < pending {
            0
        } else if job.spec.kind == JobKind::Gang {
            if self.tasks_fitting_when_empty(job) >= pending {
                pending
            } else {
                0
            }
        } else if is_next {
            let fitting = self.tasks_fitting_when_empty(job);
            placeable.max(fitting.min(pending).min(MAX_TASKS_AHEAD))
        } else {
            placeable
        };
        Some(TaskDemand {
            spec: job.spec.clone(),
            placeable,
            needed,
        })
    }

    /// How many of a job's tasks the region's machines would hold with nothing else on them.
    fn tasks_fitting_when_empty(&self, job: &Job) -> u64 {
        self.inventory
            .index()
            .tasks_fitting_when_empty(&job.spec, job.is_flexible(), |pool| pool.permits(&job.spec))
    }
}
