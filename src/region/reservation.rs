//! Capacity that is reserved for one gang, with backfilling by work that ends in time.
//!
//! The gang that is first in scheduling order among those that find no free capacity gets the
//! reservation, so that its places become free under a steady load of small work. There is one
//! at most; placement and preemption ask which jobs it excludes.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobSpec, Priority};
use salttiller_records::units::{Micros, SECOND};

use super::job::Job;
use super::machine_index::PoolIndex;
use super::machine_pool::MachinePool;
use super::placement::{ZoneLimits, NEXT_JOBS};
use super::{Region, SchedulingContext};
use crate::fault_injection::{is_disabled, Safeguard};

/// How long after its submission capacity begins to be reserved for a gang. Until
/// then smaller ones go first, since more of them are in time that way; a minute
/// leaves three for the places to become free, of the four in which it must begin.
const RESERVE_AFTER: Micros = 60 * SECOND;

/// For how long a gang that lacks a share of its team's limit keeps a job of the same team
/// from starting a task. Half of the 90 s for which no job may be pending beside free machines,
/// since a job may have been pending in another region before.
pub(super) const MAX_TEAM_BLOCK: Micros = 45 * SECOND;

/// For how long other regions may use what is reserved for such a gang: time for them to learn
/// of it, for two changes of shares and a report.
pub(super) const SHARE_YIELD_TIME: Micros = 10 * SECOND;

/// What a backfilled task takes beside its run time.
const BACKFILL_OVERHEAD: Micros = 10 * SECOND;

/// How often the reservation is brought up to date.
const UPDATE_INTERVAL: Micros = 2 * SECOND;

/// Capacity that is reserved for a gang.
#[derive(Debug)]
pub(super) struct GangReservation {
    job: JobId,
    priority: Priority,
    team: String,
    /// There is capacity for it, but its team's share here is too small.
    quota_blocked: bool,
    /// Work of higher priority is pending: what becomes free goes to that first.
    outranked: bool,
    /// Only machines of this zone are reserved, if the gang must be in one.
    zone: Option<Rc<str>>,
    /// When the last of the places is expected to be free; 0 if unknown.
    filled_at: Micros,
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
            filled_at: 0,
            updated_at: 0,
        }
    }

    fn covers_zone(&self, zone: &str) -> bool {
        self.zone.as_ref().is_none_or(|own| **own == *zone)
    }

    /// Whether another job may not use a pool because of the reservation.
    fn excludes(
        &self,
        id: &JobId,
        job: &Job,
        pool: &MachinePool,
        is_pool_constrained: bool,
        context: &SchedulingContext<'_>,
    ) -> bool {
        // Guards against work of higher priority that is pending behind a reservation while all
        // that was preempted for its sake is started again.
        if self.job == *id || self.priority < job.spec.priority {
            return false;
        }
        if !self.covers_zone(&pool.zone) {
            return false;
        }
        // Guards against machines that are idle for a gang whose team's limit is used up
        // elsewhere: others take them, those of its own team leave it the share.
        if self.quota_blocked && self.team != job.spec.team {
            return false;
        }
        // Guards against a job that is pending without end beside free machines while the gang
        // gathers its team's share from other regions: one task at a time may pass.
        let unserved = context.now.saturating_sub(job.last_assigned_at);
        if self.quota_blocked
            && unserved > MAX_TEAM_BLOCK
            && !is_disabled(Safeguard::ShareHoldLimit)
        {
            return false;
        }
        // Nor for one that work of higher priority goes before again and again.
        if self.outranked {
            return false;
        }
        // What is reserved for constrained jobs is out of the others' reach anyway.
        if is_pool_constrained && job.only_type.is_none() {
            return false;
        }
        expected_end(&job.spec, context.now) > self.filled_at
    }
}

/// When a backfilled task of the job has surely ended: half as late again as estimated.
fn expected_end(spec: &JobSpec, now: Micros) -> Micros {
    now + spec.estimated_run_time * 3 / 2 + BACKFILL_OVERHEAD
}

/// A zone in which a gang could be (`None`: anywhere); the greatest is the best.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneOption {
    fits_when_empty: bool,
    placeable_now: u64,
    zone: Option<Rc<str>>,
}

/// When a machine will have been left by all that is on it now, and how many tasks of the
/// gang it then takes.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedVacancy {
    at: Micros,
    tasks: u64,
}

impl Region {
    /// Whether a job may not use a pool because of the reservation for a gang.
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

    /// Ends the reservation if it is for this job.
    pub(super) fn release_reservation_of(&mut self, id: &JobId) {
        if self.reservation.as_ref().is_some_and(|r| r.job == *id) {
            self.release_reservation();
        }
    }

    fn release_reservation(&mut self) {
        self.reservation = None;
        self.triggers.everything_changed();
    }

    /// A gang finds no free capacity: if no other has a reservation, it gets one.
    pub(super) fn reserve_for_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if self.reservation.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.failures.is_suspect() {
            return;
        }
        // Since its submission: it may have been moved here.
        let age = context.wall.saturating_sub(job.spec.submitted_at);
        if age < RESERVE_AFTER {
            self.queue
                .wake_at(context.now + RESERVE_AFTER - age, id.clone());
            return;
        }
        let best = self
            .candidate_zones(job)
            .into_iter()
            .map(|zone| self.zone_option(id, job, zone, context))
            .max();
        let Some(best) = best.filter(|option| option.fits_when_empty) else {
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

    fn zone_option(
        &self,
        id: &JobId,
        job: &Job,
        zone: Option<Rc<str>>,
        context: &SchedulingContext<'_>,
    ) -> ZoneOption {
        let tasks = u64::from(job.tasks.bound().len());
        let fitting_when_empty =
            self.inventory
                .index()
                .tasks_fitting_when_empty(&job.spec, job.is_flexible(), |pool| {
                    pool.permits(&job.spec) && zone.as_ref().is_none_or(|own| *own == pool.zone)
                });
        let limits = ZoneLimits::within(zone.clone());
        ZoneOption {
            fits_when_empty: fitting_when_empty >= tasks,
            placeable_now: self.tasks_placeable_now(id, &limits, tasks, context),
            zone,
        }
    }

    /// Checks whether the reservation is still needed, and when its places will be free.
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
        let filled_at = self.expected_fill_time(reservation, job, context.now);
        if let Some(reservation) = &mut self.reservation {
            reservation.filled_at = filled_at.unwrap_or(0);
            reservation.updated_at = context.now;
            reservation.quota_blocked = quota_blocked;
            reservation.outranked = outranked;
        }
        self.triggers.everything_changed();
    }

    /// Whether one of the next jobs has a higher priority and its team's share.
    fn is_outranked(&self, priority: Priority) -> bool {
        self.queue
            .first(NEXT_JOBS)
            .filter_map(|id| self.jobs.get(id))
            .any(|job| job.spec.priority > priority && !job.quota_blocked)
    }

    /// When enough machines will have been left by all that is on them now; `None` if there
    /// are too few.
    fn expected_fill_time(
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
        let mut places = 0;
        vacancies.iter().find_map(|vacancy| {
            places += vacancy.tasks;
            (places >= u64::from(job.tasks.bound().len())).then_some(vacancy.at)
        })
    }

    /// When a machine will have been left by the tasks that are on it now; tasks of flexible
    /// jobs beside reserved capacity don't count.
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
    !job.is_over && job.queue_key.is_some() && !job.needs_new_attempt() && !job.commit_in_flight
}
