//! How machines of a kind come up: which are overdue, and how many came up lately.

use std::collections::VecDeque;

use super::*;
use crate::peer_protocol::ProvisioningHealth;

/// How long an arrival speaks for its kind.
const ARRIVAL_VALID: Micros = 120 * SECOND;
/// Most arrivals that are remembered of a kind; more would say the same.
const MAX_ARRIVALS: usize = 64;
/// Fewer overdue machines are no trouble of their kind.
const LEAST_OVERDUE: u32 = 2;
/// For how many times its boot time a machine is waited for while its whole kind boots
/// badly, and at most how long.
const BAD_BOOTS: u64 = 12;
const MAX_PATIENCE: Micros = 300 * SECOND;

/// Whether a kind as a whole comes up late or never: several machines are overdue, and more
/// than have come up lately.
pub fn is_provisioning_trouble(overdue: u32, arrived: u32) -> bool {
    overdue >= LEAST_OVERDUE && overdue > arrived
}

/// What was seen of the boots of one kind of machine.
#[derive(Debug, Default)]
pub(super) struct ProvisioningHistory {
    overdue: BTreeMap<Rc<str>, Micros>,
    arrivals: VecDeque<Micros>,
}

impl ProvisioningHistory {
    fn expire(&mut self, now: Micros) {
        let old = |at: &Micros| now > *at + ARRIVAL_VALID;
        while self.arrivals.front().is_some_and(old) {
            self.arrivals.pop_front();
        }
    }

    /// Whether the kind as a whole comes up late or never.
    fn in_trouble(&self) -> bool {
        is_provisioning_trouble(self.overdue.len() as u32, self.arrivals.len() as u32)
    }
}

impl Region {
    fn provisioning_history(
        &mut self,
        group: &MachinePool,
        now: Micros,
    ) -> &mut ProvisioningHistory {
        let history = self
            .inventory
            .provisioning
            .entry(group.clone())
            .or_default();
        history.expire(now);
        history
    }

    /// A machine that was rented for us has come up.
    pub(super) fn note_provisioned(&mut self, name: &Rc<str>, now: Micros) {
        let Some(group) = self.inventory.machines.get(name).map(|m| m.pool.clone()) else {
            return;
        };
        let history = self.provisioning_history(&group, now);
        history.overdue.remove(name);
        if history.arrivals.len() == MAX_ARRIVALS {
            history.arrivals.pop_front();
        }
        history.arrivals.push_back(now);
    }

    /// A machine should have come up by now.
    pub(super) fn note_overdue(&mut self, name: &Rc<str>, now: Micros) {
        let Some(group) = self.inventory.machines.get(name).map(|m| m.pool.clone()) else {
            return;
        };
        let history = self.provisioning_history(&group, now);
        let was = history.in_trouble();
        history.overdue.entry(name.clone()).or_insert(now);
        if !was && history.in_trouble() {
            log::info!(
                "region: {}: {} {} in {}: overdue, its kind comes up badly",
                self.name,
                self.inventory.provisioning[&group].overdue.len(),
                group.machine_type,
                group.zone
            );
        }
    }

    /// A machine is no more waited for.
    pub(super) fn forget_provisioning(&mut self, name: &str) {
        let group = self.inventory.machines.get(name).map(|m| m.pool.clone());
        if let Some(history) = group.and_then(|g| self.inventory.provisioning.get_mut(&g)) {
            history.overdue.remove(name);
        }
    }

    /// Whether machines of this kind come up late or never just now.
    pub(super) fn is_provisioning_in_trouble(&self, group: &MachinePool) -> bool {
        !is_disabled(Safeguard::BootTrouble)
            && self
                .inventory
                .provisioning
                .get(group)
                .is_some_and(|h| h.in_trouble())
    }

    /// How long a machine may take to come up before it is returned. While its whole kind
    /// boots badly a new one would be no sooner, so it is waited for longer.
    pub(super) fn provisioning_timeout(&self, m: &Machine) -> Micros {
        let usual = 3 * m.boot_time + 30 * SECOND;
        if self.is_provisioning_in_trouble(&m.pool) {
            usual.max((BAD_BOOTS * m.boot_time).min(MAX_PATIENCE))
        } else {
            usual
        }
    }

    /// What the leader is told of boots here.
    pub fn provisioning_health(&mut self, now: Micros) -> Vec<ProvisioningHealth> {
        let mut lines = Vec::new();
        for (pool, history) in &mut self.inventory.provisioning {
            history.expire(now);
            if history.overdue.is_empty() {
                continue;
            }
            let first = history.overdue.values().min().copied().unwrap_or(now);
            lines.push(ProvisioningHealth {
                machine_type: pool.machine_type.to_string(),
                zone: pool.zone.to_string(),
                spot: pool.spot,
                overdue: history.overdue.len() as u32,
                arrived: history.arrivals.len() as u32,
                overdue_us: now - first,
            });
        }
        lines
    }
}
