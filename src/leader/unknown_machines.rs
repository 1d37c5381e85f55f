//! Unknown machines: machines in the cloud's list without a record. Such machines were rented
//! before the first start of the scheduler, or by a rental request that was carried out late.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::{Inventory, ListedMachine, Offer};
use crate::region::SchedulingContext;
use salttiller_records::units::{Micros, SECOND};

/// Number of list delays for which a machine must have been unknown, and minimum age of the machine
/// in list delays, before its existence is confirmed. A list is outdated by at most
/// twice the nominal delay, so a machine that stays unknown for longer has no record.
const LIST_DELAYS_UNTIL_CONFIRMED: Micros = 2;
/// Number of list delays for which a removed machine is remembered, because a late list may still
/// include it.
const LIST_DELAYS_REMEMBERED: Micros = 4;
/// Minimum time for which a removed machine is remembered.
const MIN_REMEMBERED: Micros = 120 * SECOND;

/// Tracks machines without a record.
#[derive(Debug, Default)]
pub(super) struct UnknownMachines {
    /// Unknown machines of the last list, with the time at which each was first listed.
    first_listed_at: BTreeMap<String, Micros>,
    /// Machines whose record was removed recently; lists may still include them.
    removed_at: BTreeMap<String, Micros>,
}

impl UnknownMachines {
    /// Handles the removal of a machine's record.
    pub(super) fn on_machine_removed(&mut self, name: &str, now: Micros) {
        self.removed_at.insert(name.to_owned(), now);
    }

    /// Whether the last list contained no unknown machines.
    pub(super) fn is_empty(&self) -> bool {
        self.first_listed_at.is_empty()
    }

    /// Records the unknown machines of a list. Returns, by offer, the unknown machines whose
    /// existence is confirmed. `provisioning` are the machines whose record is being committed.
    pub(super) fn on_list(
        &mut self,
        inventory: &Inventory,
        provisioning: &BTreeSet<&str>,
        context: &SchedulingContext<'_>,
    ) -> BTreeMap<Offer, Vec<String>> {
        let list_lag = context.settings.cloud_list_lag;
        let remembered = (LIST_DELAYS_REMEMBERED * list_lag).max(MIN_REMEMBERED);
        self.removed_at
            .retain(|_, removed_at| context.now < *removed_at + remembered);
        // If no machine ever had a record, no listed machine can be a removed one.
        let is_first_start =
            context.replica.machines.is_empty() && context.replica.activations.is_empty();
        let mut first_listed_at = BTreeMap::new();
        let mut confirmed: BTreeMap<Offer, Vec<String>> = BTreeMap::new();
        for machine in &inventory.machines {
            if !self.is_unknown(machine, provisioning, context) {
                continue;
            }
            let previously_listed_at = self.first_listed_at.get(&machine.name);
            let listed_at = previously_listed_at.copied().unwrap_or(context.now);
            first_listed_at.insert(machine.name.clone(), listed_at);
            let confirmed_after = LIST_DELAYS_UNTIL_CONFIRMED * list_lag;
            // The pages of a list are read at different times. The oldest one must show the
            // machine after it had been unknown for long enough.
            let is_confirmed =
                inventory.read_since > listed_at + confirmed_after && machine.age > confirmed_after;
            if is_confirmed || is_first_start {
                let machines = confirmed.entry(machine.offer.clone()).or_default();
                machines.push(machine.name.clone());
            }
        }
        self.first_listed_at = first_listed_at;
        confirmed
    }

    fn is_unknown(
        &self,
        machine: &ListedMachine,
        provisioning: &BTreeSet<&str>,
        context: &SchedulingContext<'_>,
    ) -> bool {
        !machine.failed
            && !context.replica.machines.contains_key(&machine.name)
            && !provisioning.contains(machine.name.as_str())
            && !self.removed_at.contains_key(&machine.name)
    }
}

#[cfg(test)]
mod tests;
