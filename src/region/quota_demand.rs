//! Quota demand: what pending jobs at the head of the queue need of their teams' limits.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind, JobSpec, Priority};
use salttiller_records::QuotaAmount;

use super::job::Job;
use super::placement::{ZoneLimits, NEXT_JOBS};
use super::quota_share::JobDemand;
use super::{Region, SchedulingContext};

/// Number of jobs at the head of the queue whose demand is counted.
const MAX_DEMAND_JOBS: usize = 60;
/// Maximum number of an array's or service's tasks for which a share is acquired ahead of free
/// capacity.
const MAX_TASKS_AHEAD: u64 = 16;
/// Bits of the submission time in a scheduling rank; the priority takes the bits above.
const RANK_TIME_BITS: u32 = 56;

/// Returns the rank by which jobs of a team in all regions get shares when the team's limit is
/// used up: by priority, then by age. The job with the least rank gets its share first.
fn scheduling_rank(spec: &JobSpec) -> u64 {
    let below_highest = Priority::Production as u64 - spec.priority as u64;
    let time_mask = (1 << RANK_TIME_BITS) - 1;
    (below_highest << RANK_TIME_BITS) | (spec.submitted_at & time_mask)
}

/// Number of pending tasks of a job that need a share.
struct TaskDemand {
    spec: Rc<JobSpec>,
    /// Tasks that could be placed now.
    placeable: u64,
    /// Tasks that need a share.
    needed: u64,
}

impl TaskDemand {
    /// Limits the demand to the region's capacity that earlier jobs in the queue do not claim. A
    /// gang needs all of its tasks or none.
    fn limit_to_capacity(&mut self, unclaimed: QuotaAmount) {
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

    /// Returns the number of tasks that could be placed as soon as the share is acquired. A gang
    /// is only placed as a whole.
    fn placeable_with_share(&self) -> u64 {
        match self.spec.kind {
            JobKind::Gang if self.placeable < self.needed => 0,
            _ => self.placeable.min(self.needed),
        }
    }

    fn job_demand(&self) -> JobDemand {
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
    /// Determines what the jobs at the head of the queue need of their teams' limits. The demand
    /// of gangs and of the next jobs includes tasks for which there is no free capacity yet. This
    /// guards against a machine that becomes free and then stays idle for a heartbeat interval
    /// because the share for its next task must first be acquired. The demand is limited to what
    /// the region's machines can hold: a share kept for tasks that cannot run in this region is
    /// missing in the regions where they can run.
    pub(super) fn update_quota_demand(&mut self, context: &SchedulingContext<'_>) {
        self.quotas.clear_demand();
        // Guards against a small region that requests its whole capacity once for each job in the
        // queue, and so withholds the limit from regions with free capacity.
        let mut unclaimed = self.inventory.index().total_quota();
        let ids: Vec<JobId> = self.queue.first(MAX_DEMAND_JOBS).cloned().collect();
        for (position, id) in ids.iter().enumerate() {
            let Some(mut demand) = self.task_demand(id, position < NEXT_JOBS, context) else {
                continue;
            };
            demand.limit_to_capacity(unclaimed);
            if demand.needed == 0 {
                continue;
            }
            let spec = &demand.spec;
            // Tasks that cannot start because their team's limit is used up claim no capacity.
            if !self.quotas.is_limited(&spec.team) {
                unclaimed = unclaimed.minus(spec.quota_per_task().times(demand.needed));
            }
            self.quotas.add_demand(&spec.team, demand.job_demand());
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
        // A suspect job gets a share only for capacity that is free now, not ahead of it.
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

    /// Returns how many of a job's tasks the region's machines could hold if they were empty.
    fn tasks_fitting_when_empty(&self, job: &Job) -> u64 {
        self.inventory
            .index()
            .tasks_fitting_when_empty(&job.spec, job.is_flexible(), |pool| pool.permits(&job.spec))
    }
}
