//! Scale-out for indivisible jobs: rents the missing machines in the job's region, or requests
//! that the job is rebound to a region for which machines can be rented.
//!
//! Rented machines go to the region that machine assignment selects for their pool, which may
//! differ from the job's region: a scarce type divided among regions holds no large gang. Inputs
//! are the planned capacity and the cloud's offers.

use std::collections::BTreeSet;

use crate::region::SchedulingContext;
use salttiller_records::record::MAX_BATCH;
use salttiller_records::units::{Micros, SECOND};

use super::machines_on_record::region_with_machines;
use super::offer_selection::OfferChoice;
use super::planned_capacity::{claim_from, tasks_in_region, PlannedCapacity};
use super::scale_out::RentalRequests;
use super::unplaced_job::UnplacedJob;
use super::Leader;

/// Minimum wait before a job is rebound to another region.
const MIN_WAIT_TO_REBIND: Micros = 2 * SECOND;
/// Time for which a job rebound for lack of machines is not rebound again: the machines must first
/// be rented for its new region.
const REBINDING_PAUSE: Micros = 12 * SECOND;

/// A candidate placement of all open tasks of a job: in one zone of its region, or in any zones of the
/// region if `zone` is `None`. The order of the fields is the order of preference.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementCandidate {
    /// Whether free capacity suffices for all open tasks.
    is_sufficient: bool,
    /// Whether the cloud offers machines that would be assigned to the region.
    is_rentable: bool,
    /// Number of tasks that fit into the free capacity.
    fitting_tasks: u64,
    zone: Option<String>,
}

impl PlacementCandidate {
    fn contains(&self, capacity: &PlannedCapacity, region: &str) -> bool {
        is_within(capacity, region, self.zone.as_deref())
    }
}

impl Leader {
    /// Rents the machines that an indivisible job lacks in its region, or requests that the job is
    /// rebound to a region for which machines can be rented. Claims free capacity for the job.
    pub(super) fn scale_out_for_indivisible(
        &mut self,
        job: &UnplacedJob,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let Some(candidate) = self.best_candidate(job, context) else {
            return;
        };
        if candidate.is_sufficient || candidate.is_rentable {
            let wanted = candidate.fitting_tasks.min(job.open_tasks());
            let machines = self
                .capacity
                .iter_mut()
                .filter(|c| candidate.contains(c, &job.region));
            // Machines for the tasks without capacity are rented below.
            let _unclaimed = claim_from(machines, &job.spec, job.flexibility(), wanted);
        }
        if candidate.is_sufficient {
            return;
        }
        match self.offer_for_own_region(job, candidate.zone.as_deref(), context) {
            Some(choice) => self.rent_missing_machines(job, &candidate, choice, requests, context),
            None => self.rebind_indivisible(job, context),
        }
    }

    /// Returns the best candidate in the job's region: one with sufficient capacity, else one for
    /// which machines can be rented, else the one that holds the most tasks.
    fn best_candidate(
        &self,
        job: &UnplacedJob,
        context: &SchedulingContext<'_>,
    ) -> Option<PlacementCandidate> {
        candidate_zones(job, context)
            .into_iter()
            .map(|zone| {
                let fitting_tasks: u64 = self
                    .capacity
                    .iter()
                    .filter(|c| is_within(c, &job.region, zone.as_deref()))
                    .map(|c| c.fitting_tasks(&job.spec, job.flexibility()))
                    .sum();
                let offer = self.offer_for_own_region(job, zone.as_deref(), context);
                PlacementCandidate {
                    is_sufficient: fitting_tasks >= job.open_tasks(),
                    is_rentable: offer.is_some(),
                    fitting_tasks,
                    zone,
                }
            })
            .max()
    }

    /// Returns the cheapest offer if its machines would be assigned to the job's region.
    fn offer_for_own_region(
        &self,
        job: &UnplacedJob,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> Option<OfferChoice> {
        self.cheapest_offer(&job.spec, job.flexibility(), zone, context)
            .filter(|choice| self.region_for(&choice.offer, context) == job.region)
    }

    fn rent_missing_machines(
        &mut self,
        job: &UnplacedJob,
        candidate: &PlacementCandidate,
        choice: OfferChoice,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let unplaced = job.open_tasks() - candidate.fitting_tasks;
        let wanted = unplaced
            .div_ceil(choice.tasks_per_machine.max(1))
            .clamp(1, MAX_BATCH as u64) as u32;
        let machines = self
            .provisioning_reports
            .limit(&choice.offer, wanted, context.now);
        if machines == 0 {
            return;
        }
        log::info!(
            "region={} job={}: renting {machines} machines, no capacity for {unplaced} of {} open tasks",
            job.region,
            job.id,
            job.open_tasks()
        );
        let region = job.region.clone();
        self.rent(choice.offer, region, machines, requests, context);
    }

    /// Requests rebinding of a job for which no machines can be rented in its region.
    fn rebind_indivisible(&mut self, job: &UnplacedJob, context: &SchedulingContext<'_>) {
        if job.pending_for < MIN_WAIT_TO_REBIND
            || self.recent_rebindings.is_paused(&job.id, context.now)
            || !job.may_be_rebound()
        {
            return;
        }
        let to = match self.rentable_region_elsewhere(job, context) {
            Some(region) => region,
            // The job's region can hold it once other jobs have finished.
            None if self.could_hold_all(job, &job.region) => return,
            // Another region can hold the job, or no single region can. In the latter case the job
            // is unbound and may then be bound to several regions.
            None => context
                .settings
                .regions()
                .into_iter()
                .find(|region| has_owner(region, context) && self.could_hold_all(job, region))
                .or_else(|| region_with_machines(job, context))
                .unwrap_or_default(),
        };
        log::info!(
            "region={} job={}: no machines available, requesting rebinding to {to:?}",
            job.region,
            job.id
        );
        let tasks = job.spec.task_count;
        self.request_rebinding(job, to, tasks, REBINDING_PAUSE, context);
    }

    /// Returns another region with an owner to which machines rented for the job would be assigned.
    fn rentable_region_elsewhere(
        &self,
        job: &UnplacedJob,
        context: &SchedulingContext<'_>,
    ) -> Option<String> {
        candidate_zones(job, context)
            .iter()
            .filter_map(|zone| {
                self.cheapest_offer(&job.spec, job.flexibility(), zone.as_deref(), context)
            })
            .map(|choice| self.region_for(&choice.offer, context))
            .find(|region| *region != job.region && has_owner(region, context))
    }

    /// Whether a region's machines could hold all open tasks of a job if they were empty.
    fn could_hold_all(&self, job: &UnplacedJob, region: &str) -> bool {
        let max_tasks = |c: &PlannedCapacity| c.max_tasks(&job.spec, job.flexibility());
        tasks_in_region(&self.capacity, &job.spec, region, max_tasks) >= job.open_tasks()
    }
}

/// Returns the zones to consider for the whole job: each zone if the job must be in a single zone,
/// else only `None`, which stands for all zones together.
fn candidate_zones(job: &UnplacedJob, context: &SchedulingContext<'_>) -> BTreeSet<Option<String>> {
    if !job.spec.single_zone {
        return BTreeSet::from([None]);
    }
    let machine_types = context.replica.machine_types.values();
    machine_types
        .flat_map(|known| &known.value.zones)
        .cloned()
        .map(Some)
        .collect()
}

fn is_within(capacity: &PlannedCapacity, region: &str, zone: Option<&str>) -> bool {
    capacity.region == region && zone.is_none_or(|zone| zone == capacity.zone)
}

fn has_owner(region: &str, context: &SchedulingContext<'_>) -> bool {
    context.replica.regions.contains_key(region)
}
