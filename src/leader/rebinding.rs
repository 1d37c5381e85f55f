//! Rebinding: moves pending tasks to regions with free capacity.
//!
//! A task that gets no machine in its region within a short time is rebound to the region with the
//! most free capacity. Rebinding extends the paper, where a computation stays in its sphere.
//! Inputs are the regions' pending jobs and the planned capacity. The leader only requests a
//! rebinding: the region's owner commits the change once none of the affected tasks can be on a
//! machine.

use std::collections::BTreeMap;

use crate::peer_protocol::Message;
use crate::region::SchedulingContext;
use salttiller_records::model::JobSpec;
use salttiller_records::units::{to_seconds, Micros, MILLISECOND, SECOND};

use super::planned_capacity::{claim_from, PlannedCapacity};
use super::unplaced_job::UnplacedJob;
use super::{Leader, PLAN_INTERVAL};

/// Minimum wait before tasks are rebound. Most tasks get a machine in their own region earlier.
const MIN_WAIT_TO_REBIND: Micros = 700 * MILLISECOND;
/// An indivisible job with capacity in its region normally starts within this time. If the job
/// still waits, that capacity is treated as unusable for it.
const MAX_WAIT_WITH_CAPACITY: Micros = 25 * SECOND;
/// Time for which a rebound job is not rebound again, so that reports first reflect the move.
const REBINDING_PAUSE: Micros = 2 * SECOND;
/// Share of the state service's write rate that rebinding may use. Each rebinding changes a record,
/// and submissions, bindings and completions of jobs have precedence.
const REBINDING_WRITE_SHARE: f64 = 0.2;

/// Recently rebound jobs, with the time until which each is not rebound again.
#[derive(Debug, Default)]
pub(super) struct RecentRebindings {
    paused_until: BTreeMap<String, Micros>,
}

impl RecentRebindings {
    /// Records that a job is being rebound and must not be rebound again within `pause`.
    pub(super) fn insert(&mut self, job: &str, pause: Micros, now: Micros) {
        self.paused_until.insert(job.to_owned(), now + pause);
    }

    pub(super) fn contains(&self, job: &str) -> bool {
        self.paused_until.contains_key(job)
    }

    /// Removes the jobs whose pause is over.
    pub(super) fn expire(&mut self, now: Micros) {
        self.paused_until.retain(|_, until| now < *until);
    }
}

/// Free capacity of a region for a job.
#[derive(Debug, Default)]
struct FreeCapacity<'a> {
    /// Number of the job's tasks that fit, by zone.
    tasks_by_zone: BTreeMap<&'a str, u64>,
    /// Free processors of all of the region's machines, in millionths.
    free_cpus: f64,
}

impl FreeCapacity<'_> {
    /// Number of tasks that fit; for a job that must be in a single zone, in the best zone.
    fn fitting_tasks(&self, spec: &JobSpec) -> u64 {
        if spec.single_zone {
            self.tasks_by_zone.values().copied().max().unwrap_or(0)
        } else {
            self.tasks_by_zone.values().sum()
        }
    }
}

/// Region to which pending tasks of a job are moved, and the number of tasks.
#[derive(Debug)]
struct RebindingTarget {
    region: String,
    tasks: u64,
}

impl Leader {
    /// Requests rebinding of tasks that got no machine within a short time, to the region with the
    /// most free capacity. Afterwards `unplaced_tasks` of each job is the number of pending tasks
    /// for which no capacity was claimed.
    pub(super) fn rebind_pending(
        &mut self,
        unplaced: &mut [UnplacedJob],
        context: &SchedulingContext<'_>,
    ) {
        // Guards against capacity claimed for tasks that their team's quota keeps from starting,
        // while other tasks wait in regions without capacity: quota-blocked jobs come last.
        unplaced.sort_by_key(|job| job.is_quota_blocked);
        let within_quota_count = unplaced.partition_point(|job| !job.is_quota_blocked);
        let (within_quota, quota_blocked) = unplaced.split_at_mut(within_quota_count);
        let writes_per_plan = context.settings.min_store_write_rate * to_seconds(PLAN_INTERVAL);
        let mut remaining_rebindings = (writes_per_plan * REBINDING_WRITE_SHARE).ceil() as u32;
        for jobs in [within_quota, quota_blocked] {
            self.claim_in_own_region(jobs);
            for job in jobs {
                if remaining_rebindings > 0 && self.rebind_job(job, context) {
                    remaining_rebindings -= 1;
                }
            }
        }
    }

    /// Claims capacity for pending jobs in their own regions.
    fn claim_in_own_region(&mut self, unplaced: &mut [UnplacedJob]) {
        for job in unplaced {
            // Guards against a job that keeps waiting although its region appears to have capacity
            // for it: that capacity is then not claimed for the job.
            let waits_too_long = job.pending_for > MAX_WAIT_WITH_CAPACITY;
            if job.is_indivisible() && waits_too_long && !job.is_quota_blocked {
                continue;
            }
            let machines = self
                .capacity
                .iter_mut()
                .filter(|c| c.is_available && c.region == job.region);
            job.unplaced_tasks =
                claim_from(machines, &job.spec, job.flexibility(), job.unplaced_tasks);
        }
    }

    /// Requests rebinding of a job's pending tasks if another region has capacity for them. Returns
    /// whether a rebinding was requested.
    #[must_use]
    fn rebind_job(&mut self, job: &mut UnplacedJob, context: &SchedulingContext<'_>) -> bool {
        if !self.may_be_rebound(job) {
            return false;
        }
        let Some(target) = self.rebinding_target(job, context) else {
            return false;
        };
        log::debug!(
            "region={} job={}: requesting rebinding of {} pending tasks to {}",
            job.region,
            job.id,
            target.tasks,
            target.region
        );
        let machines = self
            .capacity
            .iter_mut()
            .filter(|c| c.is_available && c.region == target.region);
        // The target region was selected for having capacity, so no task is left unclaimed.
        let _unclaimed = claim_from(machines, &job.spec, job.flexibility(), target.tasks);
        job.unplaced_tasks -= target.tasks;
        self.request_rebinding(
            job,
            target.region,
            target.tasks as u32,
            REBINDING_PAUSE,
            context.now,
        );
        true
    }

    fn may_be_rebound(&self, job: &UnplacedJob) -> bool {
        // Guards against spreading a job that fails on every machine over all regions, each of
        // which would have to detect the failure again.
        let could_run_in_own_region = || {
            let mut machines = self.capacity.iter();
            machines
                .any(|c| c.region == job.region && c.max_tasks(&job.spec, job.flexibility()) > 0)
        };
        let would_be_divided = job.is_indivisible() && job.unplaced_tasks != job.task_count();
        job.unplaced_tasks > 0
            && !would_be_divided
            && job.pending_for >= MIN_WAIT_TO_REBIND
            && !self.recent_rebindings.contains(&job.id)
            && !(job.is_suspect && could_run_in_own_region())
    }

    /// Selects the region with the most free processors among the other regions that have an owner
    /// and capacity for the job.
    fn rebinding_target(
        &self,
        job: &UnplacedJob,
        context: &SchedulingContext<'_>,
    ) -> Option<RebindingTarget> {
        let (spec, flexibility) = (&job.spec, job.flexibility());
        let is_elsewhere = |c: &&PlannedCapacity| c.is_available && c.region != job.region;
        let mut by_region: BTreeMap<&str, FreeCapacity<'_>> = BTreeMap::new();
        for capacity in self.capacity.iter().filter(is_elsewhere) {
            let free = by_region.entry(&capacity.region).or_default();
            *free.tasks_by_zone.entry(&capacity.zone).or_default() +=
                capacity.fitting_tasks(spec, flexibility);
            free.free_cpus += capacity.free.cpus as f64 * capacity.unclaimed_machines;
        }
        by_region
            .iter()
            .filter(|(_, free)| free.fitting_tasks(spec) >= job.min_tasks())
            .filter(|(region, _)| context.replica.regions.contains_key(**region))
            .max_by(|(_, a), (_, b)| a.free_cpus.total_cmp(&b.free_cpus))
            .map(|(region, free)| RebindingTarget {
                region: (*region).to_owned(),
                tasks: free.fitting_tasks(spec).min(job.unplaced_tasks),
            })
    }

    /// Sends a request to the owner of a job's region to bind pending tasks to region `to`, or to
    /// unbind them if `to` is empty.
    pub(super) fn request_rebinding(
        &mut self,
        job: &UnplacedJob,
        to: String,
        tasks: u32,
        pause: Micros,
        now: Micros,
    ) {
        self.recent_rebindings.insert(&job.id, pause, now);
        self.outbox.send(Message::RebindTasks {
            job: job.id.clone(),
            from: job.region.clone(),
            to,
            count: tasks,
        });
    }
}
