//! Capacity reservation for a gang, with backfilling by tasks that end in time.
//!
//! The first gang in scheduling order that finds too little free capacity gets the reservation, so
//! that enough capacity becomes free under a steady load of small jobs. A region has at most one
//! reservation. Placement and preemption check which jobs the reservation excludes from a pool.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobSpec, Priority};
use salttiller_records::units::{Micros, SECOND};

use super::job::Job;
use super::machine_index::PoolIndex;
use super::machine_pool::MachinePool;
use super::placement::{ZoneLimits, NEXT_JOBS};
use super::{Region, SchedulingContext};
use crate::fault_injection::{is_disabled, Safeguard};

/// Age since submission from which a gang may get a reservation. Until then, smaller gangs are
/// placed first, since more gangs start in time that way. One minute leaves three minutes for
/// capacity to become free, of the four minutes in which the gang must start.
const MIN_RESERVATION_AGE: Micros = 60 * SECOND;

/// Maximum time for which a gang that lacks quota keeps a job of the same team from starting a
/// task. The value is half of the 90 s for which a job may be pending while a machine has free
/// capacity for it, since the job may already have been pending in another region.
pub(super) const MAX_SAME_TEAM_BLOCK_TIME: Micros = 45 * SECOND;

/// Time for which other regions may use the quota share reserved for such a gang: enough for them
/// to learn of it, for two share changes and for a report.
pub(super) const SHARE_YIELD_TIME: Micros = 10 * SECOND;

/// Time that a backfilled task takes in addition to its run time.
const BACKFILL_OVERHEAD: Micros = 10 * SECOND;

/// Interval between updates of the reservation.
const UPDATE_INTERVAL: Micros = 2 * SECOND;

/// Capacity that is reserved for a gang.
#[derive(Debug)]
pub(super) struct GangReservation {
    job: JobId,
    priority: Priority,
    team: String,
    /// Whether the gang finds capacity, but its team's share in this region is too small.
    quota_blocked: bool,
    /// Whether a job of higher priority is pending, which gets capacity that becomes free first.
    outranked: bool,
    /// The zone whose machines are reserved, if the gang must be in a single zone.
    zone: Option<Rc<str>>,
    /// Time at which capacity for the whole gang is expected to be free; 0 if unknown.
    expected_free_at: Micros,
    updated_at: Micros,
}

impl GangReservation {
    fn new(job: JobId, spec: &JobSpec, zone: Option<Rc<str>>) -> Self {
        GangReservation {
            job,
            priority: spec.priority,
            team: spec.team.clone(),
            quota_blocked: false,
            outranked: false,
            zone,
            expected_free_at: 0,
            updated_at: 0,
        }
    }

    fn covers_zone(&self, zone: &str) -> bool {
        self.zone.as_ref().is_none_or(|own| **own == *zone)
    }

    /// Whether the reservation keeps another job from using a pool.
    fn excludes(
        &self,
        id: &JobId,
        job: &Job,
        pool: &MachinePool,
        is_pool_constrained: bool,
        context: &SchedulingContext<'_>,
    ) -> bool {
        // Guards against a job of higher priority that stays pending behind a reservation while
        // the tasks preempted for it start again.
        if self.job == *id || self.priority < job.spec.priority {
            return false;
        }
        if !self.covers_zone(&pool.zone) {
            return false;
        }
        // Guards against machines that stay idle for a gang whose team's limit is used up in
        // other regions: jobs of other teams may use them, jobs of the same team leave the share
        // to the gang.
        if self.quota_blocked && self.team != job.spec.team {
            return false;
        }
        // Guards against a job that stays pending although machines are free, while the gang
        // acquires its team's share from other regions: the job may start one task at a time, after
        // each `MAX_SAME_TEAM_BLOCK_TIME`.
        let since_last_assignment = context.now.saturating_sub(job.last_assigned_at);
        if self.quota_blocked
            && since_last_assignment > MAX_SAME_TEAM_BLOCK_TIME
            && !is_disabled(Safeguard::ShareHoldLimit)
        {
            return false;
        }
        // Guards against machines that stay idle for a gang that jobs of higher priority overtake
        // repeatedly.
        if self.outranked {
            return false;
        }
        // A flexible job cannot use the capacity of this pool that is reserved for constrained
        // jobs anyway.
        if is_pool_constrained && job.only_type.is_none() {
            return false;
        }
        latest_end(&job.spec, context.now) > self.expected_free_at
    }
}

/// Returns the time by which a task of the job will have ended if backfilled now, with a margin of
/// half its estimated run time and [`BACKFILL_OVERHEAD`].
fn latest_end(spec: &JobSpec, now: Micros) -> Micros {
    now + spec.estimated_run_time * 3 / 2 + BACKFILL_OVERHEAD
}

/// A zone in which a gang could be placed (`None`: any zone); the greatest candidate is the best.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneCandidate {
    fits_when_empty: bool,
    placeable_now: u64,
    zone: Option<Rc<str>>,
}

/// Expected time at which all current tasks of a machine will have ended, and the number of the
/// gang's tasks that then fit on the machine.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedVacancy {
    at: Micros,
    tasks: u64,
}

impl Region {
    /// Whether the reservation for a gang keeps another job from using a pool.
    pub(super) fn is_reserved_for_another(
        &self,
        id: &JobId,
        job: &Job,
        pool: &MachinePool,
        pool_index: &PoolIndex,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.reservation.as_ref().is_some_and(|reservation| {
            reservation.excludes(id, job, pool, pool_index.reserved.is_some(), context)
        })
    }

    /// Releases the reservation if it belongs to this job.
    pub(super) fn release_reservation_of(&mut self, id: &JobId) {
        if self.reservation.as_ref().is_some_and(|r| r.job == *id) {
            self.release_reservation();
        }
    }

    fn release_reservation(&mut self) {
        self.reservation = None;
        self.triggers.everything_changed();
    }

    /// Reserves capacity for a gang that finds too little free capacity, unless another gang has
    /// the region's reservation.
    pub(super) fn reserve_for_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if self.reservation.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.failures.is_suspect() {
            return;
        }
        // The age counts from submission, since the gang may have been moved from another region.
        let age = context.wall.saturating_sub(job.spec.submitted_at);
        if age < MIN_RESERVATION_AGE {
            self.queue
                .wake_at(context.now + MIN_RESERVATION_AGE - age, id.clone());
            return;
        }
        let best = self
            .candidate_zones(job)
            .into_iter()
            .map(|zone| self.zone_candidate(id, job, zone, context))
            .max();
        let Some(best) = best.filter(|candidate| candidate.fits_when_empty) else {
            return;
        };
        log::info!(
            "region={} job={id}: capacity reserved, {} of {} places free",
            self.name,
            best.placeable_now,
            job.tasks.bound().len()
        );
        self.reservation = Some(GangReservation::new(id.clone(), &job.spec, best.zone));
        self.update_reservation(context);
    }

    fn zone_candidate(
        &self,
        id: &JobId,
        job: &Job,
        zone: Option<Rc<str>>,
        context: &SchedulingContext<'_>,
    ) -> ZoneCandidate {
        let tasks = u64::from(job.tasks.bound().len());
        let fitting_when_empty =
            self.inventory
                .index()
                .tasks_fitting_when_empty(&job.spec, job.is_flexible(), |pool| {
                    pool.permits(&job.spec) && zone.as_ref().is_none_or(|own| *own == pool.zone)
                });
        let limits = ZoneLimits::within(zone.clone());
        ZoneCandidate {
            fits_when_empty: fitting_when_empty >= tasks,
            placeable_now: self.tasks_placeable_now(id, &limits, tasks, context),
            zone,
        }
    }

    /// Releases the reservation if it is no longer needed, else re-estimates when its capacity will
    /// be free.
    pub(super) fn update_reservation(&mut self, context: &SchedulingContext<'_>) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let job = self
            .jobs
            .get(&reservation.job)
            .filter(|job| may_keep_reservation(job));
        let Some(job) = job else {
            self.release_reservation();
            return;
        };
        if context.now < reservation.updated_at + UPDATE_INTERVAL {
            return;
        }
        let quota_blocked = job.quota_blocked;
        let outranked = self.is_outranked(job.spec.priority);
        let expected_free_at = self.expected_free_time(reservation, job, context.now);
        if let Some(reservation) = &mut self.reservation {
            reservation.expected_free_at = expected_free_at.unwrap_or(0);
            reservation.updated_at = context.now;
            reservation.quota_blocked = quota_blocked;
            reservation.outranked = outranked;
        }
        self.triggers.everything_changed();
    }

    /// Whether one of the next jobs has a higher priority and is not blocked by its team's quota.
    fn is_outranked(&self, priority: Priority) -> bool {
        self.queue
            .first(NEXT_JOBS)
            .filter_map(|id| self.jobs.get(id))
            .any(|job| job.spec.priority > priority && !job.quota_blocked)
    }

    /// Returns the time at which the current tasks on enough machines for the whole gang are
    /// expected to have ended; `None` if there are too few machines.
    fn expected_free_time(
        &self,
        reservation: &GangReservation,
        job: &Job,
        now: Micros,
    ) -> Option<Micros> {
        let mut vacancies: Vec<ExpectedVacancy> = Vec::new();
        for (pool, pool_index) in self.inventory.index().pools() {
            if !pool.permits(&job.spec) || !reservation.covers_zone(&pool.zone) {
                continue;
            }
            let tasks = job.spec.tasks_fitting_in(pool_index.capacity);
            for name in pool_index.available_machines() {
                if let Some(at) = self.expected_vacancy(name, pool_index, now) {
                    vacancies.push(ExpectedVacancy { at, tasks });
                }
            }
        }
        vacancies.sort_unstable();
        let mut fitting = 0;
        vacancies.iter().find_map(|vacancy| {
            fitting += vacancy.tasks;
            (fitting >= u64::from(job.tasks.bound().len())).then_some(vacancy.at)
        })
    }

    /// Returns the time at which the current tasks of a machine are expected to have ended. In a
    /// pool with capacity reserved for constrained jobs, tasks of flexible jobs don't count.
    fn expected_vacancy(&self, name: &str, pool_index: &PoolIndex, now: Micros) -> Option<Micros> {
        let machine = self.inventory.machine(name)?;
        let last_end = machine
            .tasks
            .iter()
            .filter(|(_, task)| task.constrained || pool_index.reserved.is_none())
            .filter_map(|((id, _), task)| {
                let run_time = self.jobs.get(id)?.spec.estimated_run_time;
                Some(task.running_since.unwrap_or(now) + run_time)
            })
            .max();
        Some(last_end.unwrap_or(0).max(now))
    }
}

fn may_keep_reservation(job: &Job) -> bool {
    !job.has_ended && job.queue_key.is_some() && !job.needs_new_attempt() && !job.commit_in_flight
}
