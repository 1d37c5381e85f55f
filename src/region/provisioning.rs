//! Provisioning of machines by pool: how many are overdue, and how many booted lately.
//!
//! [`ProvisioningTracker`] is part of the machine inventory; the leader receives a summary
//! ([`ProvisioningHealth`]) and rents machines of a pool in trouble by single probes.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use salttiller_records::units::{Micros, SECOND};

use super::machine_pool::MachinePool;
use super::Region;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::ProvisioningHealth;

/// How long a machine that booted counts as evidence for its pool.
const ARRIVAL_VALID: Micros = 120 * SECOND;
/// Most arrivals that are remembered of a pool; more would say the same.
const MAX_ARRIVALS: usize = 64;
/// Fewer overdue machines do not put their pool in trouble.
const MIN_OVERDUE: u32 = 2;
/// Time beyond three usual boots after which a machine will hardly boot at all.
const BOOT_MARGIN: Micros = 30 * SECOND;
/// The provisioning timeout of a pool in trouble, in boot times.
const TROUBLED_BOOT_TIMES: u64 = 12;
/// The longest provisioning timeout of a pool in trouble.
const MAX_TROUBLED_TIMEOUT: Micros = 300 * SECOND;

/// Whether a pool as a whole boots late or never: several machines are overdue, and more
/// than have booted lately.
#[must_use]
pub fn is_provisioning_trouble(overdue: u32, arrived: u32) -> bool {
    overdue >= MIN_OVERDUE && overdue > arrived
}

/// What was observed of one pool.
#[derive(Debug, Default)]
struct ProvisioningHistory {
    /// Overdue machines, each with the time at which that was found.
    overdue: BTreeMap<Rc<str>, Micros>,
    /// When machines booted, oldest first.
    arrivals: VecDeque<Micros>,
}

impl ProvisioningHistory {
    fn expire(&mut self, now: Micros) {
        let expired = |at: &Micros| now > *at + ARRIVAL_VALID;
        while self.arrivals.front().is_some_and(expired) {
            self.arrivals.pop_front();
        }
    }

    fn is_in_trouble(&self) -> bool {
        is_provisioning_trouble(self.overdue.len() as u32, self.arrivals.len() as u32)
    }
}

/// The provisioning history of each pool.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTracker {
    by_pool: BTreeMap<MachinePool, ProvisioningHistory>,
}

impl ProvisioningTracker {
    fn history(&mut self, pool: &MachinePool, now: Micros) -> &mut ProvisioningHistory {
        let history = self.by_pool.entry(pool.clone()).or_default();
        history.expire(now);
        history
    }

    /// A machine that was rented for the region has booted.
    pub(super) fn machine_booted(&mut self, pool: &MachinePool, name: &str, now: Micros) {
        let history = self.history(pool, now);
        history.overdue.remove(name);
        if history.arrivals.len() == MAX_ARRIVALS {
            history.arrivals.pop_front();
        }
        history.arrivals.push_back(now);
    }

    /// A machine should have booted by now. Returns the number of overdue machines if this
    /// one puts the pool in trouble.
    pub(super) fn machine_overdue(
        &mut self,
        pool: &MachinePool,
        name: &Rc<str>,
        now: Micros,
    ) -> Option<usize> {
        let history = self.history(pool, now);
        let was_in_trouble = history.is_in_trouble();
        history.overdue.entry(name.clone()).or_insert(now);
        (!was_in_trouble && history.is_in_trouble()).then_some(history.overdue.len())
    }

    /// A machine is no longer waited for.
    pub(super) fn forget(&mut self, pool: &MachinePool, name: &str) {
        if let Some(history) = self.by_pool.get_mut(pool) {
            history.overdue.remove(name);
        }
    }

    /// Whether machines of the pool boot late or never at present.
    pub(super) fn is_in_trouble(&self, pool: &MachinePool) -> bool {
        !is_disabled(Safeguard::BootTrouble)
            && self
                .by_pool
                .get(pool)
                .is_some_and(ProvisioningHistory::is_in_trouble)
    }

    /// How long a machine may take to boot before it is released. While its whole pool is in
    /// trouble a replacement would be no sooner, so the timeout is longer.
    pub(super) fn timeout(&self, pool: &MachinePool, boot_time: Micros) -> Micros {
        let usual = 3 * boot_time + BOOT_MARGIN;
        if self.is_in_trouble(pool) {
            usual.max((TROUBLED_BOOT_TIMES * boot_time).min(MAX_TROUBLED_TIMEOUT))
        } else {
            usual
        }
    }

    /// Pools with overdue machines.
    pub(super) fn health(&mut self, now: Micros) -> Vec<ProvisioningHealth> {
        let mut pools = Vec::new();
        for (pool, history) in &mut self.by_pool {
            history.expire(now);
            let Some(first) = history.overdue.values().min() else {
                continue;
            };
            pools.push(ProvisioningHealth {
                machine_type: pool.machine_type.to_string(),
                zone: pool.zone.to_string(),
                spot: pool.spot,
                overdue: history.overdue.len() as u32,
                arrived: history.arrivals.len() as u32,
                overdue_us: now - first,
            });
        }
        pools
    }
}

impl Region {
    /// What the leader is sent about provisioning in this region: pools with overdue machines.
    pub fn provisioning_health(&mut self, now: Micros) -> Vec<ProvisioningHealth> {
        self.inventory.provisioning_health(now)
    }
}
