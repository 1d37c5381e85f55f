//! Scale-in: selects surplus machines over all regions.
//!
//! The leader requests that a region's owner drains a number of machines of a pool. The owner
//! selects the machines with the fewest tasks and returns them once they are empty. The input is
//! the demand forecast. The paper has no counterpart, because its number of processors is fixed.

use std::collections::BTreeMap;

use crate::peer_protocol::Message;
use crate::region::SchedulingContext;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::planned_capacity::PlannedCapacity;
use super::pool::Pool;
use super::unplaced_job::Flexibility;
use super::{Leader, MILLIONTHS_PER_CPU};

/// Minimum age of the term before machines are drained. Earlier, some regions have not reported
/// yet.
pub(super) const FIRST_SCALE_IN_DELAY: Micros = 5 * SECOND;
/// Interval between scale-ins. The next reports must first reflect the previous scale-in.
const SCALE_IN_INTERVAL: Micros = 500 * MILLISECOND;
/// Each scale-in drains at most one machine out of this number, but may always drain one. The
/// effect is thus visible before further machines are drained.
const MACHINES_PER_DRAIN: f64 = 20.0;
/// Weight of a processor's price on a fully used machine; the weight on an idle machine is 1
/// higher. Among machines of the same price, emptier ones are therefore drained first, and a busy
/// machine is drained before an idle one only if its price is more than three times as high.
const BUSY_PRICE_WEIGHT: f64 = 0.5;

/// Machines of one pool in one region. The sort order is the order of the drain requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RegionPool<'a> {
    region: &'a str,
    pool: Pool<'a>,
}

impl<'a> RegionPool<'a> {
    fn of(capacity: &'a PlannedCapacity) -> Self {
        RegionPool {
            region: &capacity.region,
            pool: capacity.pool(),
        }
    }
}

impl Leader {
    /// Sends requests to the regions' owners to drain machines that flexible work doesn't need.
    pub(super) fn scale_in(&mut self, context: &SchedulingContext<'_>) {
        // Guards against a new leader that has not measured the demand yet, possibly in the middle
        // of a burst: the machines drained would have to be rented again shortly afterwards.
        if context.now < self.next_scale_in_at {
            return;
        }
        let Some(arrival_rate) = self.demand.arrival_rate(context.now) else {
            return;
        };
        let usable_cpus: f64 = self
            .unreserved_machines()
            .map(|c| c.usable_cpus(Flexibility::Flexible))
            .sum();
        let surplus =
            self.machines_to_drain(usable_cpus - self.demand.scale_in_threshold(), context);
        if surplus.is_empty() {
            return;
        }
        log::debug!(
            "{} machines not needed: cpus_up={:.0} cpus_kept={:.0} cpus_in_use={:.0} cpus_arriving={:.0} estimate_accuracy={:.2}",
            surplus.values().sum::<u32>(),
            usable_cpus / MILLIONTHS_PER_CPU,
            self.demand.scale_in_threshold() / MILLIONTHS_PER_CPU,
            self.demand.smoothed_utilisation() / MILLIONTHS_PER_CPU,
            arrival_rate / MILLIONTHS_PER_CPU,
            self.demand.estimate_accuracy()
        );
        let requests: Vec<Message> = surplus
            .into_iter()
            .map(|(pool, count)| drain_request(pool, count))
            .collect();
        self.next_scale_in_at = context.now + SCALE_IN_INTERVAL;
        for request in requests {
            self.outbox.send(request);
        }
    }

    fn unreserved_machines(&self) -> impl Iterator<Item = &PlannedCapacity> {
        self.capacity.iter().filter(|c| c.is_unreserved())
    }

    /// Selects machines with at most `spare_cpus` processors in total, the most expensive first.
    fn machines_to_drain(
        &self,
        mut spare_cpus: f64,
        context: &SchedulingContext<'_>,
    ) -> BTreeMap<RegionPool<'_>, u32> {
        let machines: f64 = self.unreserved_machines().map(|c| c.machines).sum();
        let mut remaining_drains = (machines / MACHINES_PER_DRAIN).max(1.0);
        let mut surplus: BTreeMap<RegionPool<'_>, u32> = BTreeMap::new();
        for candidate in self.drain_candidates(context) {
            let cpus_per_machine = candidate.total.cpus.max(1) as f64;
            let count = (spare_cpus / cpus_per_machine)
                .floor()
                .min(candidate.machines)
                .min(remaining_drains.floor());
            if count >= 1.0 {
                spare_cpus -= count * cpus_per_machine;
                remaining_drains -= count;
                *surplus.entry(RegionPool::of(candidate)).or_default() += count as u32;
            }
        }
        surplus
    }

    /// Returns the machines that may be drained, ordered by the weighted price of a processor, the
    /// most expensive first.
    fn drain_candidates(&self, context: &SchedulingContext<'_>) -> Vec<&PlannedCapacity> {
        let machine_types = &context.replica.machine_types;
        let mut candidates: Vec<(f64, &PlannedCapacity)> = self
            .unreserved_machines()
            .filter(|c| c.is_available)
            .filter_map(|c| {
                let price = machine_types
                    .get(&c.machine_type)?
                    .value
                    .price_per_cpu(c.spot);
                let idle_share = c.free.cpus as f64 / c.total.cpus.max(1) as f64;
                Some((price * (BUSY_PRICE_WEIGHT + idle_share), c))
            })
            .collect();
        candidates.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        candidates.into_iter().map(|(_, c)| c).collect()
    }
}

fn drain_request(RegionPool { region, pool }: RegionPool<'_>, count: u32) -> Message {
    Message::CordonMachines {
        region: region.to_owned(),
        machine_type: pool.machine_type.to_owned(),
        zone: pool.zone.to_owned(),
        spot: pool.spot,
        count,
    }
}
