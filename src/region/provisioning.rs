//! Provisioning health by pool, derived from overdue machines and recent boots.
//!
//! [`ProvisioningTracker`] is part of the machine inventory. The leader receives a summary
//! ([`ProvisioningHealth`]) and rents only a few machines of a degraded pool at a time, as probes.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use salttiller_records::units::{Micros, SECOND};

use super::machine_pool::MachinePool;
use super::Region;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::ProvisioningHealth;

/// Time for which a booted machine counts as evidence that its pool is healthy.
const BOOT_EVIDENCE_TTL: Micros = 120 * SECOND;
/// Maximum number of recent boots kept per pool; more would add no evidence.
const MAX_RECENT_BOOTS: usize = 64;
/// Minimum number of overdue machines for a pool to be degraded.
const MIN_OVERDUE: u32 = 2;
/// Margin beyond three usual boot times after which a machine is unlikely to boot.
const BOOT_MARGIN: Micros = 30 * SECOND;
/// Provisioning timeout of a degraded pool, in boot times.
const DEGRADED_TIMEOUT_BOOT_TIMES: u64 = 12;
/// Maximum provisioning timeout of a degraded pool.
const MAX_DEGRADED_TIMEOUT: Micros = 300 * SECOND;

/// Whether a pool's machines as a whole boot late or never: at least `MIN_OVERDUE` machines are
/// overdue, and more than have booted recently.
#[must_use]
pub fn is_provisioning_degraded(overdue: u32, arrived: u32) -> bool {
    overdue >= MIN_OVERDUE && overdue > arrived
}

/// Overdue machines and recent boots of one pool.
#[derive(Debug, Default)]
struct ProvisioningHistory {
    /// Overdue machines, each with the time at which it was found overdue.
    overdue: BTreeMap<Rc<str>, Micros>,
    /// Times at which machines booted, oldest first.
    recent_boots: VecDeque<Micros>,
}

impl ProvisioningHistory {
    fn expire(&mut self, now: Micros) {
        let expired = |at: &Micros| now > *at + BOOT_EVIDENCE_TTL;
        while self.recent_boots.front().is_some_and(expired) {
            self.recent_boots.pop_front();
        }
    }

    fn is_degraded(&self) -> bool {
        is_provisioning_degraded(self.overdue.len() as u32, self.recent_boots.len() as u32)
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

    /// Records that a machine that was rented for the region has booted.
    pub(super) fn machine_booted(&mut self, pool: &MachinePool, name: &str, now: Micros) {
        let history = self.history(pool, now);
        history.overdue.remove(name);
        if history.recent_boots.len() == MAX_RECENT_BOOTS {
            history.recent_boots.pop_front();
        }
        history.recent_boots.push_back(now);
    }

    /// Records that a machine exceeds its expected boot time. Returns the number of overdue
    /// machines if the pool becomes degraded with this one.
    pub(super) fn machine_overdue(
        &mut self,
        pool: &MachinePool,
        name: &Rc<str>,
        now: Micros,
    ) -> Option<usize> {
        let history = self.history(pool, now);
        let was_degraded = history.is_degraded();
        history.overdue.entry(name.clone()).or_insert(now);
        (!was_degraded && history.is_degraded()).then_some(history.overdue.len())
    }

    /// Removes a machine that is no longer expected to boot.
    pub(super) fn forget(&mut self, pool: &MachinePool, name: &str) {
        if let Some(history) = self.by_pool.get_mut(pool) {
            history.overdue.remove(name);
        }
    }

    /// Whether machines of the pool currently boot late or never.
    pub(super) fn is_degraded(&self, pool: &MachinePool) -> bool {
        !is_disabled(Safeguard::DegradedProvisioning)
            && self
                .by_pool
                .get(pool)
                .is_some_and(ProvisioningHistory::is_degraded)
    }

    /// Time that a machine may take to boot before it is released. The timeout is longer while
    /// the pool is degraded, because a replacement would not boot sooner.
    pub(super) fn timeout(&self, pool: &MachinePool, boot_time: Micros) -> Micros {
        let usual = 3 * boot_time + BOOT_MARGIN;
        if self.is_degraded(pool) {
            usual.max((DEGRADED_TIMEOUT_BOOT_TIMES * boot_time).min(MAX_DEGRADED_TIMEOUT))
        } else {
            usual
        }
    }

    /// Returns the provisioning health of the pools with overdue machines.
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
                arrived: history.recent_boots.len() as u32,
                overdue_us: now - first,
            });
        }
        pools
    }
}

impl Region {
    /// Returns the provisioning health of the region's pools with overdue machines, which is
    /// reported to the leader.
    pub fn provisioning_health(&mut self, now: Micros) -> Vec<ProvisioningHealth> {
        self.inventory.provisioning_health(now)
    }
}
