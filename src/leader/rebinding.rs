//! Rebinding: moves pending tasks to regions with free capacity.
//!
//! A task that gets no machine in its region within a short time is rebound to the region with the
//! most free capacity. Rebinding extends the paper, where a computation stays in its sphere.
//! Inputs are the regions' pending jobs and the planned capacity. The leader only requests a
//! rebinding: the region's owner commits the change once none of the affected tasks can be on a
//! machine.

use std::collections::BTreeMap;
use std::fmt;

use crate::peer_protocol::Message;
use crate::region::{RemainingTasks, SchedulingContext};
use salttiller_records::key::Key;
use salttiller_records::units::{to_seconds, Micros, MILLISECOND, SECOND};

use super::machines_on_record::region_with_machines;
use super::planned_capacity::{claim_from, tasks_in_zones, PlannedCapacity};
use super::unplaced_job::UnplacedJob;
use super::{Leader, PLAN_INTERVAL};

/// Minimum wait before tasks are rebound. Most tasks get a machine in their own region earlier.
const MIN_WAIT_TO_REBIND: Micros = 700 * MILLISECOND;
/// An indivisible job with capacity in its region normally starts within this time. If the job
/// still waits, that capacity is treated as unusable for it.
const MAX_WAIT_WITH_CAPACITY: Micros = 25 * SECOND;
/// Time after which a job in a region without machines for it is rebound to a region that has some,
/// even if they accept no tasks now. Rented machines are on record earlier.
const MAX_WAIT_WITHOUT_MACHINES: Micros = 25 * SECOND;
/// Time for which a rebound job is not rebound again, so that reports first reflect the move.
const REBINDING_PAUSE: Micros = 2 * SECOND;
/// Share of the state service's write rate that rebinding may use. Each rebinding changes a record,
/// and submissions, bindings and completions of jobs have precedence.
const REBINDING_WRITE_SHARE: f64 = 0.2;

/// Interval at which the log repeats why a job that keeps waiting is not rebound.
const OBSTACLE_LOG_INTERVAL: Micros = 10 * SECOND;

/// Number of requests without effect after which the pause grows. The owner of a busy job refuses
/// some requests while it commits other changes of the job.
const TOLERATED_REQUESTS: u32 = 5;
/// Maximum pause after requests without effect, in doublings of [`REBINDING_PAUSE`].
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Time for which a request is remembered after its pause, to notice that it had no effect.
const REQUEST_MEMORY: Micros = 60 * SECOND;

/// The last request to rebind a job.
#[derive(Debug)]
struct RebindingRequest {
    paused_until: Micros,
    /// Version of the job's record at the time of the request. A rebinding changes the record.
    record_version: u64,
    /// Number of consecutive requests without effect.
    without_effect: u32,
}

/// Recent requests to rebind jobs.
#[derive(Debug, Default)]
pub(super) struct RecentRebindings {
    requests: BTreeMap<String, RebindingRequest>,
}

impl RecentRebindings {
    /// Records a request to rebind a job, which must not be rebound again within `pause`. Returns the
    /// number of requests before this one that had no effect.
    ///
    /// The pause grows once several requests have left the job's record unchanged. Guards against a
    /// plan that counts on capacity of another region without end for a job that its owner does not
    /// hand over: during the pause the job counts as one that stays where it is.
    pub(super) fn insert(
        &mut self,
        job: &str,
        record_version: u64,
        pause: Micros,
        now: Micros,
    ) -> u32 {
        let previous = self.requests.get(job);
        let without_effect = previous
            .filter(|request| request.record_version == record_version)
            .map_or(0, |request| request.without_effect + 1);
        let doublings = without_effect
            .saturating_sub(TOLERATED_REQUESTS)
            .min(MAX_PAUSE_DOUBLINGS);
        let request = RebindingRequest {
            paused_until: now + pause.max(REBINDING_PAUSE << doublings),
            record_version,
            without_effect,
        };
        self.requests.insert(job.to_owned(), request);
        without_effect
    }

    /// Whether a job must not be rebound now.
    pub(super) fn is_paused(&self, job: &str, now: Micros) -> bool {
        self.requests
            .get(job)
            .is_some_and(|request| now < request.paused_until)
    }

    /// Removes the requests whose pause ended long ago.
    pub(super) fn expire(&mut self, now: Micros) {
        self.requests
            .retain(|_, request| now < request.paused_until + REQUEST_MEMORY);
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

/// Region to which pending tasks of a job are moved, and the number of tasks.
#[derive(Debug)]
struct RebindingTarget {
    region: String,
    tasks: u64,
}

/// Reason why a plan does not request rebinding of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RebindingObstacle {
    /// Every pending task has capacity claimed for it.
    NothingUnplaced,
    /// The job has not been pending for [`MIN_WAIT_TO_REBIND`].
    PendingForShortTime,
    /// A request was sent recently, so reports don't reflect it yet.
    RequestedRecently,
    /// The job is indivisible, and some of its tasks would stay behind: others than the unplaced
    /// ones are pending, on machines or unreconciled.
    WouldBeDivided {
        unplaced: u64,
        remaining: RemainingTasks,
    },
    /// The job fails wherever it runs, and its own region has machines for it.
    SuspectWithOwnMachines,
    /// No other region with an owner has enough free capacity.
    NoRegionWithCapacity,
}

impl fmt::Display for RebindingObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NothingUnplaced => f.write_str("capacity is claimed for all pending tasks"),
            Self::PendingForShortTime => f.write_str("pending for a short time only"),
            Self::RequestedRecently => f.write_str("requested recently"),
            Self::WouldBeDivided {
                unplaced,
                remaining,
            } => write!(f, "would be divided, {unplaced} unplaced, {remaining}"),
            Self::SuspectWithOwnMachines => {
                f.write_str("suspect, and its region has machines for it")
            }
            Self::NoRegionWithCapacity => f.write_str("no other region has enough capacity"),
        }
    }
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
        let target = match self.rebinding_obstacle(job, context.now) {
            Some(obstacle) => Err(obstacle),
            None => self
                .rebinding_target(job, context)
                .or_else(|| self.target_on_record(job, context))
                .ok_or(RebindingObstacle::NoRegionWithCapacity),
        };
        let target = match target {
            Ok(target) => target,
            Err(obstacle) => {
                log_obstacle(job, obstacle);
                return false;
            }
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
        // The target region has capacity for all of these tasks, or machines that accept none now.
        let _unclaimed = claim_from(machines, &job.spec, job.flexibility(), target.tasks);
        job.unplaced_tasks -= target.tasks;
        self.request_rebinding(
            job,
            target.region,
            target.tasks as u32,
            REBINDING_PAUSE,
            context,
        );
        true
    }

    /// Returns why a job must not be rebound now, or `None` if it may be.
    fn rebinding_obstacle(&self, job: &UnplacedJob, now: Micros) -> Option<RebindingObstacle> {
        if job.unplaced_tasks == 0 {
            Some(RebindingObstacle::NothingUnplaced)
        } else if !job.may_be_rebound() {
            Some(RebindingObstacle::WouldBeDivided {
                unplaced: job.unplaced_tasks,
                remaining: job.remaining(),
            })
        } else if job.pending_for < MIN_WAIT_TO_REBIND {
            Some(RebindingObstacle::PendingForShortTime)
        } else if self.recent_rebindings.is_paused(&job.id, now) {
            Some(RebindingObstacle::RequestedRecently)
        } else if job.is_suspect && self.could_run_in_own_region(job) {
            // Guards against spreading a job that fails on every machine over all regions, each of
            // which would have to detect the failure again.
            Some(RebindingObstacle::SuspectWithOwnMachines)
        } else {
            None
        }
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
            .into_iter()
            .map(|(region, free)| {
                (
                    region,
                    free.free_cpus,
                    tasks_in_zones(spec, free.tasks_by_zone),
                )
            })
            .filter(|(_, _, tasks)| *tasks >= job.min_tasks())
            .filter(|(region, _, _)| context.replica.regions.contains_key(*region))
            .max_by(|(_, a, _), (_, b, _)| a.total_cmp(b))
            .map(|(region, _, tasks)| RebindingTarget {
                region: region.to_owned(),
                tasks: tasks.min(job.unplaced_tasks),
            })
    }

    /// Selects a region whose machines on record could hold the job, if the job has waited for long
    /// in a region without any. Guards against a job that waits beside surplus machines that are
    /// cordoned: only a job in their own region's queue reverts the cordon.
    fn target_on_record(
        &self,
        job: &UnplacedJob,
        context: &SchedulingContext<'_>,
    ) -> Option<RebindingTarget> {
        if job.pending_for <= MAX_WAIT_WITHOUT_MACHINES || self.could_run_in_own_region(job) {
            return None;
        }
        let region = region_with_machines(job, context)?;
        Some(RebindingTarget {
            region,
            tasks: job.unplaced_tasks,
        })
    }

    /// Whether a machine of the job's region could hold a task of the job if it were empty.
    fn could_run_in_own_region(&self, job: &UnplacedJob) -> bool {
        let mut machines = self.capacity.iter();
        machines.any(|c| c.region == job.region && c.max_tasks(&job.spec, job.flexibility()) > 0)
    }

    /// Sends a request to the owner of a job's region to bind pending tasks to region `to`, or to
    /// unbind them if `to` is empty.
    pub(super) fn request_rebinding(
        &mut self,
        job: &UnplacedJob,
        to: String,
        tasks: u32,
        pause: Micros,
        context: &SchedulingContext<'_>,
    ) {
        let version = context.replica.version(&Key::Job(job.id.clone()));
        let without_effect = self
            .recent_rebindings
            .insert(&job.id, version, pause, context.now);
        if without_effect > TOLERATED_REQUESTS {
            log::info!(
                "region={} job={}: the last {without_effect} requests to rebind it had no effect",
                job.region,
                job.id
            );
        }
        self.outbox.send(Message::RebindTasks {
            job: job.id.clone(),
            from: job.region.clone(),
            to,
            count: tasks,
        });
    }
}

/// Logs why a job that keeps waiting is not rebound, once in [`OBSTACLE_LOG_INTERVAL`].
fn log_obstacle(job: &UnplacedJob, obstacle: RebindingObstacle) {
    let intervals = job.pending_for / OBSTACLE_LOG_INTERVAL;
    let intervals_at_last_plan =
        job.pending_for.saturating_sub(PLAN_INTERVAL) / OBSTACLE_LOG_INTERVAL;
    if intervals > intervals_at_last_plan {
        log::debug!(
            "region={} job={}: pending for {:.0} s, not rebound: {obstacle}",
            job.region,
            job.id,
            to_seconds(job.pending_for)
        );
    }
}

#[cfg(test)]
mod tests;
