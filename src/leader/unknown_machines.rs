//! Machines in the cloud's list that have no record: there before us, or rented by a request
//! that was carried out late.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::{ListedMachine, Offer};
use crate::region::SchedulingContext;
use salttiller_records::units::{Micros, SECOND};

/// How many list delays a machine must have been unknown, and must be old: a list is up to
/// twice the nominal delay late, so what stays unknown for longer is.
const LIST_DELAYS_UNTIL_CERTAIN: Micros = 2;
/// How many list delays a removed machine is remembered: as long as a late list may show it.
const LIST_DELAYS_REMEMBERED: Micros = 4;
/// A removed machine is remembered for this time at least.
const MIN_REMEMBERED: Micros = 120 * SECOND;

/// What is known of machines without a record.
#[derive(Debug, Default)]
pub(super) struct UnknownMachines {
    /// Unknown machines of the last list, with when they were first listed.
    first_listed_at: BTreeMap<String, Micros>,
    /// Machines whose record was removed lately; lists may still show them.
    removed_at: BTreeMap<String, Micros>,
}

impl UnknownMachines {
    /// A machine's record was removed.
    pub(super) fn on_machine_removed(&mut self, name: &str, now: Micros) {
        self.removed_at.insert(name.to_owned(), now);
    }

    /// Whether the last list showed unknown machines.
    pub(super) fn is_empty(&self) -> bool {
        self.first_listed_at.is_empty()
    }

    /// Records the unknown machines of a list. Returns, by offer, those that are certain to
    /// exist; `provisioning` are machines whose record is being committed.
    pub(super) fn on_list(
        &mut self,
        list: &[ListedMachine],
        provisioning: &BTreeSet<&str>,
        context: &SchedulingContext<'_>,
    ) -> BTreeMap<Offer, Vec<String>> {
        let list_lag = context.settings.cloud_list_lag;
        let remembered = (LIST_DELAYS_REMEMBERED * list_lag).max(MIN_REMEMBERED);
        self.removed_at
            .retain(|_, removed_at| context.now < *removed_at + remembered);
        // When there never was a record of any machine, there is none that could be gone.
        let is_first_start =
            context.replica.machines.is_empty() && context.replica.activations.is_empty();
        let mut first_listed_at = BTreeMap::new();
        let mut certain: BTreeMap<Offer, Vec<String>> = BTreeMap::new();
        for machine in list {
            if !self.is_unknown(machine, provisioning, context) {
                continue;
            }
            let earlier = self.first_listed_at.get(&machine.name);
            let listed_at = earlier.copied().unwrap_or(context.now);
            first_listed_at.insert(machine.name.clone(), listed_at);
            let certain_after = LIST_DELAYS_UNTIL_CERTAIN * list_lag;
            let is_certain = context.now > listed_at + certain_after && machine.age > certain_after;
            if is_certain || is_first_start {
                let machines = certain.entry(machine.offer.clone()).or_default();
                machines.push(machine.name.clone());
            }
        }
        self.first_listed_at = first_listed_at;
        certain
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
