//! Scale-out for jobs that keep together: renting what each lacks, or having it rebound to where
//! that can be had.
//!
//! Machines go to the region that machine assignment gives their pool to, not to where the job
//! happens to be: a scarce type cut into pieces holds no large gang. Inputs are the planned
//! capacity and the cloud's offers.

use std::collections::BTreeSet;

use crate::region::SchedulingContext;
use salttiller_records::record::MAX_BATCH;
use salttiller_records::units::{Micros, SECOND};

use super::offer_selection::OfferChoice;
use super::planned_capacity::{claim_from, tasks_in_region, PlannedCapacity};
use super::scale_out::RentalRequests;
use super::unplaced_job::UnplacedJob;
use super::Leader;

/// A job that has waited for less is not moved to another region.
const MIN_WAIT_TO_REBIND: Micros = 2 * SECOND;
/// A job that was moved for want of machines is left alone for this time: they have to be rented
/// where it is now.
const REBINDING_PAUSE: Micros = 12 * SECOND;

/// Where a job's tasks could be together: in one zone of its region, or in any if `zone` is
/// `None`. The order of the fields is the order of preference.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Site {
    /// Free capacity suffices.
    is_sufficient: bool,
    /// The cloud offers machines that would be assigned to the region.
    is_rentable: bool,
    /// Tasks that fit now.
    fitting_tasks: u64,
    zone: Option<String>,
}

impl Site {
    fn contains(&self, capacity: &PlannedCapacity, region: &str) -> bool {
        is_within(capacity, region, self.zone.as_deref())
    }
}

impl Leader {
    /// Rents what a job that keeps together lacks in its region, or has it rebound to where that
    /// can be had. Free capacity is claimed for it.
    pub(super) fn scale_out_for_indivisible(
        &mut self,
        job: &UnplacedJob,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let Some(site) = self.best_site(job, context) else {
            return;
        };
        if site.is_sufficient || site.is_rentable {
            let wanted = site.fitting_tasks.min(job.task_count());
            let machines = self
                .capacity
                .iter_mut()
                .filter(|c| site.contains(c, &job.region));
            // What is lacking is rented below.
            let _lacking = claim_from(machines, &job.spec, job.flexibility(), wanted);
        }
        if site.is_sufficient {
            return;
        }
        match self.offer_for_own_region(job, site.zone.as_deref(), context) {
            Some(choice) => self.rent_lacking(job, &site, choice, requests, context),
            None => self.rebind_indivisible(job, context),
        }
    }

    /// The site in the job's region that suffices, or can be made to, or takes the most tasks.
    fn best_site(&self, job: &UnplacedJob, context: &SchedulingContext<'_>) -> Option<Site> {
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
                Site {
                    is_sufficient: fitting_tasks >= job.task_count(),
                    is_rentable: offer.is_some(),
                    fitting_tasks,
                    zone,
                }
            })
            .max()
    }

    /// The cheapest offer, if its machines would be assigned to the region where the job is.
    fn offer_for_own_region(
        &self,
        job: &UnplacedJob,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> Option<OfferChoice> {
        self.cheapest_offer(&job.spec, job.flexibility(), zone, context)
            .filter(|choice| self.region_for(&choice.offer, context) == job.region)
    }

    fn rent_lacking(
        &mut self,
        job: &UnplacedJob,
        site: &Site,
        choice: OfferChoice,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let lacking = job.task_count() - site.fitting_tasks;
        let wanted = lacking
            .div_ceil(choice.tasks_per_machine.max(1))
            .clamp(1, MAX_BATCH as u64) as u32;
        let machines = self
            .provisioning_reports
            .limit(&choice.offer, wanted, context.now);
        if machines == 0 {
            return;
        }
        log::info!(
            "region={} job={}: renting {machines} machines, {lacking} of {} tasks lack one",
            job.region,
            job.id,
            job.task_count()
        );
        let region = job.region.clone();
        self.rent(choice.offer, region, machines, requests, context);
    }

    /// Has a job rebound for which no machines can be had in its region.
    fn rebind_indivisible(&mut self, job: &UnplacedJob, context: &SchedulingContext<'_>) {
        if job.waiting_for < MIN_WAIT_TO_REBIND
            || self.recent_rebindings.contains(&job.id)
            || job.unplaced_tasks != job.task_count()
        {
            return;
        }
        let to = match self.rentable_region_elsewhere(job, context) {
            Some(region) => region,
            // Its region holds it once others are through.
            None if self.could_hold_all(job, &job.region) => return,
            // Another does; or none, and it is bound anew, to several.
            None => context
                .settings
                .regions()
                .into_iter()
                .find(|region| has_owner(region, context) && self.could_hold_all(job, region))
                .unwrap_or_default(),
        };
        log::info!(
            "region={} job={}: no machines to be had, rebound to {to:?}",
            job.region,
            job.id
        );
        let tasks = job.spec.task_count;
        self.request_rebinding(job, to, tasks, REBINDING_PAUSE, context.now);
    }

    /// Another region with an owner to which machines for the job would be assigned.
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

    /// Whether a region's machines would hold the whole job with nothing else on them.
    fn could_hold_all(&self, job: &UnplacedJob, region: &str) -> bool {
        let max_tasks = |c: &PlannedCapacity| c.max_tasks(&job.spec, job.flexibility());
        tasks_in_region(&self.capacity, &job.spec, region, max_tasks) >= job.task_count()
    }
}

/// The zones that a job may be in as a whole: each by itself if it must be in one, else `None`
/// for all of them.
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
