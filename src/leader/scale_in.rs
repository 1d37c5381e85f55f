//! Scale-in: which machines all regions together can do without.
//!
//! The leader names how many machines of a pool a region's owner is to drain; the owner picks
//! those that hold the fewest tasks and returns them once they are empty. Input is the demand
//! forecast. The paper has no counterpart: its processors are fixed in number.

use std::collections::BTreeMap;

use crate::peer_protocol::Message;
use crate::region::SchedulingContext;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::planned_capacity::PlannedCapacity;
use super::pool::Pool;
use super::unplaced_job::Flexibility;
use super::{Leader, CPU};

/// No scale-in before the term is this old: the regions' first reports are not all there yet.
pub(super) const FIRST_SCALE_IN_DELAY: Micros = 5 * SECOND;
/// Pause after a scale-in: the next reports must show what it did.
const SCALE_IN_INTERVAL: Micros = 500 * MILLISECOND;
/// One of so many machines is drained at a time, at least one, so that what follows from it is
/// seen before the next.
const MACHINES_PER_DRAINED: f64 = 20.0;
/// Weight of a processor's price on a fully used machine; an idle one has 1 more. So of machines
/// at the same price emptier ones go first, and a busy one goes before an idle one only if it is
/// more than three times as dear.
const BUSY_PRICE_WEIGHT: f64 = 0.5;

/// Machines of one pool in one region. The order is that in which owners are told.
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
    /// Asks the regions' owners to drain machines that flexible work can do without.
    pub(super) fn scale_in(&mut self, context: &SchedulingContext<'_>) {
        // Guards against a new leader that knows of no demand yet, in the middle of a burst
        // perhaps: what it drained would be rented anew a little later.
        if context.now < self.next_scale_in_at {
            return;
        }
        let Some(arrival_rate) = self.demand.arrival_rate(context.now) else {
            return;
        };
        let up: f64 = self
            .unreserved_machines()
            .map(|c| c.usable_cpus(Flexibility::Flexible))
            .sum();
        let surplus = self.machines_to_drain(up - self.demand.scale_in_threshold(), context);
        if surplus.is_empty() {
            return;
        }
        log::debug!(
            "{} machines not needed: cpus_up={:.0} cpus_kept={:.0} cpus_in_use={:.0} cpus_arriving={:.0} estimate_accuracy={:.2}",
            surplus.values().sum::<u32>(),
            up / CPU,
            self.demand.scale_in_threshold() / CPU,
            self.demand.smoothed_utilisation() / CPU,
            arrival_rate / CPU,
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

    /// Machines that together have at most `spare_cpus`, of those that leave enough the dearest.
    fn machines_to_drain(
        &self,
        mut spare_cpus: f64,
        context: &SchedulingContext<'_>,
    ) -> BTreeMap<RegionPool<'_>, u32> {
        let machines: f64 = self.unreserved_machines().map(|c| c.machines).sum();
        let mut quota = (machines / MACHINES_PER_DRAINED).max(1.0);
        let mut surplus: BTreeMap<RegionPool<'_>, u32> = BTreeMap::new();
        for candidate in self.drain_candidates(context) {
            let cpus_per_machine = candidate.total.cpus.max(1) as f64;
            let count = (spare_cpus / cpus_per_machine)
                .floor()
                .min(candidate.machines)
                .min(quota.floor());
            if count >= 1.0 {
                spare_cpus -= count * cpus_per_machine;
                quota -= count;
                *surplus.entry(RegionPool::of(candidate)).or_default() += count as u32;
            }
        }
        surplus
    }

    /// Machines that may be drained, the dearest by the price of a processor first.
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
