//! Rebinding: moving waiting tasks to regions with free capacity.
//!
//! A task that finds no machine in its region within a short while is bound to the region with
//! the most free capacity; this is the project's addition to the paper, where a computation
//! stays in its sphere. Inputs are the regions' pending jobs and the planned capacity. The leader
//! only asks: the region's owner commits the change, once no task of it can be on a machine.

use std::collections::BTreeMap;

use crate::peer_protocol::Message;
use crate::region::SchedulingContext;
use salttiller_records::model::JobSpec;
use salttiller_records::units::{to_seconds, Micros, MILLISECOND, SECOND};

use super::planned_capacity::{claim_from, PlannedCapacity};
use super::unplaced_job::UnplacedJob;
use super::{Leader, PLAN_INTERVAL};

/// Tasks that have waited for less are left where they are: most find a machine at home.
const MIN_WAIT_TO_REBIND: Micros = 700 * MILLISECOND;
/// A job that keeps together and for which there is capacity in its region starts within this
/// time; if it still waits, that capacity is not counted on.
const MAX_WAIT_WITH_CAPACITY: Micros = 25 * SECOND;
/// A rebound job is left alone for this time, until the reports show what the move did.
const REBINDING_PAUSE: Micros = 2 * SECOND;
/// Share of the state service's writes that rebinding may take: each changes a record, and jobs'
/// submissions, bindings and ends go first.
const REBINDING_WRITE_SHARE: f64 = 0.2;

/// Jobs that were rebound lately, and until when they are not rebound again.
#[derive(Debug, Default)]
pub(super) struct RecentRebindings {
    paused_until: BTreeMap<String, Micros>,
}

impl RecentRebindings {
    /// A job is being rebound; it is left alone for `pause`.
    pub(super) fn insert(&mut self, job: &str, pause: Micros, now: Micros) {
        self.paused_until.insert(job.to_owned(), now + pause);
    }

    pub(super) fn contains(&self, job: &str) -> bool {
        self.paused_until.contains_key(job)
    }

    /// Forgets the jobs whose pause is over.
    pub(super) fn expire(&mut self, now: Micros) {
        self.paused_until.retain(|_, until| now < *until);
    }
}

/// Free capacity of a region for a job.
#[derive(Debug, Default)]
struct FreeCapacity<'a> {
    /// Tasks of the job that fit, by zone.
    tasks_by_zone: BTreeMap<&'a str, u64>,
    /// Free processors of all its machines, millionths.
    free_cpus: f64,
}

impl FreeCapacity<'_> {
    /// How many tasks fit, in one zone if all must be in the same.
    fn fitting_tasks(&self, spec: &JobSpec) -> u64 {
        if spec.single_zone {
            self.tasks_by_zone.values().copied().max().unwrap_or(0)
        } else {
            self.tasks_by_zone.values().sum()
        }
    }
}

/// Where waiting tasks of a job are moved.
#[derive(Debug)]
struct RebindingTarget {
    region: String,
    tasks: u64,
}

impl Leader {
    /// Rebinds tasks that have found no machine for a short while to the region with the most
    /// free capacity. Waiting jobs are left with the tasks for which there is none.
    pub(super) fn rebind_waiting(
        &mut self,
        waiting: &mut [UnplacedJob],
        context: &SchedulingContext<'_>,
    ) {
        // Guards against capacity that is claimed for tasks which their team's limit keeps from
        // it, while others wait where there is none: those come last.
        waiting.sort_by_key(|job| job.is_quota_blocked);
        let unblocked = waiting.partition_point(|job| !job.is_quota_blocked);
        let (startable, quota_blocked) = waiting.split_at_mut(unblocked);
        let writes_per_plan = context.settings.min_store_write_rate * to_seconds(PLAN_INTERVAL);
        let mut budget = (writes_per_plan * REBINDING_WRITE_SHARE).ceil() as u32;
        for jobs in [startable, quota_blocked] {
            self.claim_in_own_region(jobs);
            for job in jobs {
                if budget > 0 && self.rebind_job(job, context) {
                    budget -= 1;
                }
            }
        }
    }

    /// Claims the capacity that jobs find in the region where they are.
    fn claim_in_own_region(&mut self, waiting: &mut [UnplacedJob]) {
        for job in waiting {
            // Guards against a job for which there seems to be capacity in its region and that
            // waits all the same: then it isn't counted on.
            let waits_too_long = job.waiting_for > MAX_WAIT_WITH_CAPACITY;
            if job.keeps_together() && waits_too_long && !job.is_quota_blocked {
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

    /// Asks for waiting tasks of a job to be moved, if another region has capacity for them.
    /// Returns whether it did.
    #[must_use]
    fn rebind_job(&mut self, job: &mut UnplacedJob, context: &SchedulingContext<'_>) -> bool {
        if !self.may_be_rebound(job) {
            return false;
        }
        let Some(target) = self.rebinding_target(job, context) else {
            return false;
        };
        log::debug!(
            "region={} job={}: {} waiting tasks rebound to {}",
            job.region,
            job.id,
            target.tasks,
            target.region
        );
        let machines = self
            .capacity
            .iter_mut()
            .filter(|c| c.is_available && c.region == target.region);
        // The target was chosen by what fits, so nothing is left unclaimed.
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
        // Guards against a job that fails wherever it runs being spread over all regions, each
        // of which would have to find that out anew.
        let could_run_at_home = || {
            let mut machines = self.capacity.iter();
            machines
                .any(|c| c.region == job.region && c.max_tasks(&job.spec, job.flexibility()) > 0)
        };
        let is_divided = job.keeps_together() && job.unplaced_tasks != job.task_count();
        job.unplaced_tasks > 0
            && !is_divided
            && job.waiting_for >= MIN_WAIT_TO_REBIND
            && !self.recent_rebindings.contains(&job.id)
            && !(job.is_suspect && could_run_at_home())
    }

    /// The other region with an owner that has the most free processors, of those that have
    /// capacity for the job.
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

    /// Asks the owner of a job's region to bind waiting tasks to another region, or to none if
    /// `to` is empty.
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
