//! Machine assignment: selects the region of rented machines and writes the batch records.
//!
//! A machine belongs to the same region for its whole lifetime. Inputs are the machines on record
//! by region, the batches being provisioned and the types that constrained jobs depend on. In the
//! paper the spheres are fixed. In this scheduler the sizes of regions vary, so the assignment
//! rules extend the paper.

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

/// A scarce pool is kept in one region up to this number of machines for each task of the largest
/// gang that depends on it: each task may fill a machine, and other jobs run at the same time.
const SCARCE_MACHINES_PER_GANG_TASK: u32 = 4;
/// Minimum number of machines of a scarce pool that are kept in one region.
const MIN_SCARCE_MACHINES: u32 = 8;
/// A region in the offer's own zone is selected unless its load exceeds the mean load times this
/// factor plus `ZONE_LOAD_TOLERANCE_MACHINES`.
const ZONE_LOAD_TOLERANCE: f64 = 1.25;
/// Load of this many machines of the offer's type, tolerated in addition to
/// `ZONE_LOAD_TOLERANCE`.
const ZONE_LOAD_TOLERANCE_MACHINES: f64 = 10.0;

/// Load of a region, measured by the capacity of its machines.
#[derive(Debug, Default)]
struct RegionLoad {
    /// Processors that flexible jobs may use, in millionths.
    usable_cpus: f64,
    /// Number of machines of the pool that is being assigned.
    machines_of_pool: u32,
}

/// Load of each configured region, ordered by region name.
#[derive(Debug)]
struct RegionLoads<'a> {
    by_region: BTreeMap<&'a str, RegionLoad>,
    /// Number of machines of all pools and regions.
    machines: u32,
}

impl<'a> RegionLoads<'a> {
    /// Returns the region with the lowest load among those that pass the filter.
    fn least_loaded(&self, filter: impl Fn(&str) -> bool) -> Option<(&'a str, f64)> {
        self.by_region
            .iter()
            .filter(|(region, _)| filter(region))
            .map(|(region, load)| (*region, load.usable_cpus))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    fn mean_load(&self) -> f64 {
        let total: f64 = self.by_region.values().map(|load| load.usable_cpus).sum();
        total / self.by_region.len().max(1) as f64
    }
}

impl Leader {
    /// Returns the region that machines of an offer are assigned to. A scarce pool is kept in one
    /// region up to the size that the largest gang requires, because a pool divided among regions
    /// holds no large gang. Other machines go to the region with the lowest load, with precedence
    /// for regions in the same zone, so that a partitioned zone still contains the owner of its
    /// machines.
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
        let tolerated = loads.mean_load() * ZONE_LOAD_TOLERANCE
            + cpus_per_machine * ZONE_LOAD_TOLERANCE_MACHINES;
        let in_zone = loads
            .least_loaded(|region| zone_of_region(region, context) == offer.zone)
            .filter(|(_, load)| is_scarce || *load <= tolerated);
        match in_zone.or_else(|| loads.least_loaded(|_| true)) {
            Some((region, _)) => region.to_owned(),
            None => context.settings.name.clone(),
        }
    }

    /// Whether an offer's machines are scarce: on-demand machines of a type that constrained jobs
    /// depend on, or of the largest type.
    fn is_scarce(&self, offer: &Offer, context: &SchedulingContext<'_>) -> bool {
        let is_reserved = || {
            let reserved = self
                .constrained_types
                .reserved_on(&offer.machine_type, context.now);
            reserved.is_some()
        };
        !offer.spot && (is_reserved() || is_largest_type(&offer.machine_type, context))
    }

    /// Returns the region with an owner that has the most machines of a scarce pool, among regions
    /// with fewer machines than the limit up to which the pool is kept in one region.
    fn region_with_most_of_pool<'a>(
        &self,
        loads: &RegionLoads<'a>,
        offer: &Offer,
        context: &SchedulingContext<'_>,
    ) -> Option<&'a str> {
        let largest_gang = self.constrained_types.largest_gang(&offer.machine_type);
        let even_share = loads.machines / loads.by_region.len().max(1) as u32;
        let max_machines = (SCARCE_MACHINES_PER_GANG_TASK * largest_gang)
            .max(even_share)
            .max(MIN_SCARCE_MACHINES);
        loads
            .by_region
            .iter()
            .map(|(region, load)| (*region, load.machines_of_pool))
            .filter(|(_, machines)| (1..max_machines).contains(machines))
            .filter(|(region, _)| context.replica.regions.contains_key(*region))
            .max_by_key(|(_, machines)| *machines)
            .map(|(region, _)| region)
    }

    /// Returns each region's load from the machines on record and in unrecorded batches.
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

    /// Returns the processors of a machine that flexible jobs may use, in millionths; 0 for an
    /// unknown type.
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

    /// Assigns machines of one offer to a region by committing batch records.
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

/// Whether there are other types and each of them is smaller in at least one resource.
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

/// Returns the zone of the controller that a region is named after, or an empty string if that
/// controller is not configured.
fn zone_of_region<'a>(region: &str, context: &'a SchedulingContext<'_>) -> &'a str {
    let settings = context.settings;
    if region == settings.name {
        return &settings.zone;
    }
    let peer = settings.peers.iter().find(|peer| peer.name == region);
    peer.map_or("", |peer| &peer.zone)
}

/// Formats an offer for log messages.
pub(super) fn describe(offer: &Offer) -> String {
    let kind = if offer.spot { "spot" } else { "on-demand" };
    format!("{kind} {} in zone {}", offer.machine_type, offer.zone)
}
