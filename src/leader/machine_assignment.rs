//! Which region machines are assigned to, and their records.
//!
//! A machine belongs to one region for life. Inputs are the machines on record by region, the
//! batches being provisioned and the types that some jobs depend on. The paper's spheres are
//! given; here their sizes are left open, and how machines are assigned is the project's own.

use std::collections::BTreeMap;

use crate::cloud::Offer;
use crate::region::SchedulingContext;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::model::MachineType;
use salttiller_records::record::{value, MachineBatchRecord, MAX_BATCH};

use super::outbox::RecordChange;
use super::pool::Pool;
use super::provisioning_batches::ProvisioningBatch;
use super::Leader;

/// A scarce pool is kept in one region until it has so many machines a task of the largest gang
/// that depends on it: each task may fill a machine, and others run at the same time.
const SCARCE_MACHINES_PER_GANG_TASK: u32 = 4;
/// Machines of a scarce pool that are kept in one region in any case.
const MIN_SCARCE_MACHINES: u32 = 8;
/// A region in the offer's own zone is chosen unless its load is above the mean by this factor
/// and by so many machines of the type.
const ZONE_LOAD_TOLERANCE: f64 = 1.25;
const ZONE_LOAD_TOLERANCE_MACHINES: f64 = 10.0;

/// What a region has.
#[derive(Debug, Default)]
struct RegionLoad {
    /// Processors that flexible jobs may use, millionths.
    usable_cpus: f64,
    /// Machines of the pool that is being assigned.
    machines_of_pool: u32,
}

/// What each configured region has, in the order of their names.
#[derive(Debug)]
struct RegionLoads<'a> {
    by_region: BTreeMap<&'a str, RegionLoad>,
    /// Machines of all pools and regions.
    machines: u32,
}

impl<'a> RegionLoads<'a> {
    /// The region with the lowest load of those that pass the filter.
    fn least(&self, filter: impl Fn(&str) -> bool) -> Option<(&'a str, f64)> {
        self.by_region
            .iter()
            .filter(|(region, _)| filter(region))
            .map(|(region, load)| (*region, load.usable_cpus))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    fn mean(&self) -> f64 {
        let total: f64 = self.by_region.values().map(|load| load.usable_cpus).sum();
        total / self.by_region.len().max(1) as f64
    }
}

impl Leader {
    /// The region that machines of an offer are assigned to. A scarce pool is kept together as
    /// far as the largest gang asks: cut into pieces it holds no large gang. All others go to
    /// the region with the lowest load, one in the same zone first, so that a zone that is cut
    /// off still has an owner inside.
    pub(super) fn region_for(&self, offer: &Offer, context: &SchedulingContext<'_>) -> String {
        let regions = context.settings.regions();
        let loads = self.region_loads(&regions, offer, context);
        let is_scarce = self.is_scarce(offer, context);
        if is_scarce {
            if let Some(region) = self.region_with_most_of_pool(&loads, offer, context) {
                return region.to_owned();
            }
        }
        let machine_type = context.replica.machine_types.get(&offer.machine_type);
        let cpus_per_machine = machine_type.map_or(0.0, |known| known.value.cpus as f64);
        let tolerated =
            loads.mean() * ZONE_LOAD_TOLERANCE + cpus_per_machine * ZONE_LOAD_TOLERANCE_MACHINES;
        let in_zone = loads
            .least(|region| home_zone(region, context) == offer.zone)
            .filter(|(_, load)| is_scarce || *load <= tolerated);
        match in_zone.or_else(|| loads.least(|_| true)) {
            Some((region, _)) => region.to_owned(),
            None => context.settings.name.clone(),
        }
    }

    /// Whether an offer's machines are scarce: on-demand machines of a type that some jobs
    /// depend on, or of the largest type there is.
    fn is_scarce(&self, offer: &Offer, context: &SchedulingContext<'_>) -> bool {
        let is_depended_on = || {
            let reserved = self
                .constrained_types
                .reserved_on(&offer.machine_type, context.now);
            reserved.is_some()
        };
        !offer.spot && (is_depended_on() || is_largest_type(&offer.machine_type, context))
    }

    /// The region with an owner that has the most machines of a scarce pool, unless it has as
    /// many as are kept together.
    fn region_with_most_of_pool<'a>(
        &self,
        loads: &RegionLoads<'a>,
        offer: &Offer,
        context: &SchedulingContext<'_>,
    ) -> Option<&'a str> {
        let largest_gang = self.constrained_types.largest_gang(&offer.machine_type);
        let even_share = loads.machines / loads.by_region.len().max(1) as u32;
        let kept_together = (SCARCE_MACHINES_PER_GANG_TASK * largest_gang)
            .max(even_share)
            .max(MIN_SCARCE_MACHINES);
        loads
            .by_region
            .iter()
            .map(|(region, load)| (*region, load.machines_of_pool))
            .filter(|(_, machines)| (1..kept_together).contains(machines))
            .filter(|(region, _)| context.replica.regions.contains_key(*region))
            .max_by_key(|(_, machines)| *machines)
            .map(|(region, _)| region)
    }

    /// What each region has, on record and in batches that the records don't show yet.
    fn region_loads<'a>(
        &self,
        regions: &'a [String],
        offer: &Offer,
        context: &SchedulingContext<'_>,
    ) -> RegionLoads<'a> {
        let mut loads = RegionLoads {
            by_region: regions
                .iter()
                .map(|region| (region.as_str(), RegionLoad::default()))
                .collect(),
            machines: 0,
        };
        let mut add = |region: &str, pool: Pool<'_>, machines: u32| {
            let Some(load) = loads.by_region.get_mut(region) else {
                return;
            };
            loads.machines += machines;
            load.usable_cpus += self.usable_cpus(pool, context) as f64 * f64::from(machines);
            if pool == Pool::from(offer) {
                load.machines_of_pool += machines;
            }
        };
        for (region, pools) in &context.replica.machine_counts {
            for (key, machines) in pools {
                let pool = Pool {
                    machine_type: &key.machine_type,
                    zone: &key.zone,
                    spot: key.spot,
                };
                add(region, pool, *machines);
            }
        }
        for batch in self.provisioning_batches.unrecorded() {
            let machines = batch.machines.len() as u32;
            add(&batch.region, Pool::from(&batch.offer), machines);
        }
        loads
    }

    /// Processors of a machine that flexible jobs may use, millionths; 0 of an unknown type.
    fn usable_cpus(&self, pool: Pool<'_>, context: &SchedulingContext<'_>) -> u64 {
        let Some(machine_type) = context.replica.machine_types.get(pool.machine_type) else {
            return 0;
        };
        let reserved = self
            .constrained_types
            .reserved_on(pool.machine_type, context.now)
            .filter(|_| !pool.spot)
            .map_or(0, |reserved| reserved.cpus);
        machine_type.value.cpus.saturating_sub(reserved)
    }

    /// Assigns machines of one offer to a region: commits records of batches.
    pub(super) fn assign_machines(
        &mut self,
        offer: &Offer,
        machines: &[String],
        region: &str,
        context: &SchedulingContext<'_>,
    ) {
        let mut changes = Vec::new();
        for batch in machines.chunks(MAX_BATCH) {
            let name = self.term.next_unique_name(&context.settings.name);
            log::info!(
                "region={region} batch={name}: {} {} assigned, the first is {}",
                batch.len(),
                describe(offer),
                batch.first().map_or("", String::as_str)
            );
            let record = MachineBatchRecord {
                region: region.to_owned(),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                machines: batch.to_vec(),
            };
            self.provisioning_batches.insert(
                name.clone(),
                ProvisioningBatch::new(offer, region, batch, context.now),
            );
            changes.push(RecordChange {
                key: Key::MachineBatch(name),
                expected_version: 0,
                value: value(&record),
            });
        }
        self.commit(changes, CommitPriority::Normal, context);
    }
}

/// Whether no other type has as much of everything as this one.
fn is_largest_type(name: &str, context: &SchedulingContext<'_>) -> bool {
    let machine_types = &context.replica.machine_types;
    let Some(candidate) = machine_types.get(name).map(|known| &known.value) else {
        return false;
    };
    let is_smaller = |other: &MachineType| {
        other.cpus < candidate.cpus
            || other.memory < candidate.memory
            || other.gpus < candidate.gpus
    };
    machine_types.len() > 1
        && machine_types
            .values()
            .map(|known| &known.value)
            .all(|other| other.name == candidate.name || is_smaller(other))
}

/// The zone of the controller that a region is named after; empty if it is not configured.
fn home_zone<'a>(region: &str, context: &'a SchedulingContext<'_>) -> &'a str {
    let settings = context.settings;
    if region == settings.name {
        return &settings.zone;
    }
    let home = settings.peers.iter().find(|peer| peer.name == region);
    home.map_or("", |peer| &peer.zone)
}

/// An offer in log messages.
pub(super) fn describe(offer: &Offer) -> String {
    let kind = if offer.spot { "spot" } else { "on-demand" };
    format!("{kind} {} in zone {}", offer.machine_type, offer.zone)
}
