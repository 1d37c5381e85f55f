//! Offer selection: finds the cheapest of the cloud's offers for a job.

use crate::cloud::{offers, Offer};
use crate::region::SchedulingContext;
use salttiller_records::model::{JobSpec, MachineType};
use salttiller_records::units::to_seconds;

use super::unplaced_job::Flexibility;
use super::Leader;

/// Boot time that doubles the weighted cost of an offer: the machine is paid for while it boots,
/// and the job waits.
const BOOT_SECONDS_THAT_DOUBLE_COST: f64 = 100.0;

/// An offer selected for a job, with the capacity of one of its machines.
#[derive(Debug, Clone)]
pub(super) struct OfferChoice {
    pub(super) offer: Offer,
    /// Number of the job's tasks that one machine holds; at least one.
    pub(super) tasks_per_machine: u64,
    /// Processors of one machine, in millionths.
    pub(super) cpus_per_machine: u64,
}

impl Leader {
    /// Returns the offers on which a job's tasks may run and that the cloud did not refuse
    /// recently.
    pub(super) fn usable_offers<'a>(
        &'a self,
        spec: &'a JobSpec,
        context: &'a SchedulingContext<'_>,
    ) -> impl Iterator<Item = (Offer, &'a MachineType)> + 'a {
        let (machine_types, now) = (&context.replica.machine_types, context.now);
        offers(machine_types)
            .into_iter()
            .filter_map(|offer| {
                let machine_type = &machine_types.get(&offer.machine_type)?.value;
                Some((offer, machine_type))
            })
            .filter(move |(offer, machine_type)| {
                spec.permits_machine(machine_type, &offer.zone, offer.spot)
                    && !self.refusals.is_backing_off(offer, now)
            })
    }

    /// Returns the cheapest offer for a job, restricted to `zone` if given. On-demand machines of a
    /// type that constrained jobs depend on are not rented for flexible jobs.
    pub(super) fn cheapest_offer(
        &self,
        spec: &JobSpec,
        flexibility: Flexibility,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> Option<OfferChoice> {
        let is_reserved = |offer: &Offer| {
            !offer.spot
                && self
                    .constrained_types
                    .reserved_on(&offer.machine_type, context.now)
                    .is_some()
        };
        self.usable_offers(spec, context)
            .filter(|(offer, _)| zone.is_none_or(|zone| zone == offer.zone))
            .filter(|(offer, _)| flexibility == Flexibility::Constrained || !is_reserved(offer))
            .filter_map(|(offer, machine_type)| {
                let tasks_per_machine = spec.tasks_per_machine(machine_type);
                let cost = self.weighted_cost(&offer, machine_type, spec, tasks_per_machine);
                let choice = OfferChoice {
                    offer,
                    tasks_per_machine,
                    cpus_per_machine: machine_type.cpus,
                };
                (tasks_per_machine > 0).then_some((cost, choice))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, choice)| choice)
    }

    /// Returns the price of each processor that the job would use, with a surcharge for slow boots
    /// and degraded pools.
    fn weighted_cost(
        &self,
        offer: &Offer,
        machine_type: &MachineType,
        spec: &JobSpec,
        tasks_per_machine: u64,
    ) -> f64 {
        let used_cpus = (tasks_per_machine * spec.cpus).max(1);
        let boot_weight = 1.0 + to_seconds(machine_type.boot_time) / BOOT_SECONDS_THAT_DOUBLE_COST;
        machine_type.price_of(offer.spot) as f64 / used_cpus as f64
            * boot_weight
            * self.provisioning_reports.cost_factor(offer)
    }
}
