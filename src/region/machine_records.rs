//! Commits of machine records: activations before a machine's first start, and removals of
//! machines that are gone.
//!
//! A machine's activation tells later owners that it may run tasks; see the reconciliation.
//! Activations of machines of one batch share a bitmap, and many changes go into one
//! transaction, since the state service limits the rate of changes.

mod transactions;

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::units::Micros;

use super::{CommitKind, Region, SchedulingContext};
use crate::settings::Settings;
use crate::state_store::CommitPriority;
use transactions::{ActivationBuilder, RecordTransaction, RemovalBuilder};

/// The part of the state service's rate of changes that all regions' activations may take.
const ACTIVATION_WRITE_SHARE: f64 = 0.4;
/// The same for removals, which nothing waits for.
const REMOVAL_WRITE_SHARE: f64 = 0.1;
/// From how many booting machines on they are activated before they are up.
const MIN_BOOTING_FOR_EARLY_ACTIVATION: usize = 40;

/// Time between two commits of a region that takes its part of a share of the write rate.
fn commit_interval(settings: &Settings, write_share: f64) -> Micros {
    let regions = settings.region_count() as f64;
    (regions / (settings.store_write_rate * write_share) * 1e6) as Micros
}

/// Machines whose records are to be changed in one way.
#[derive(Debug, Default)]
struct PendingChanges {
    machines: BTreeSet<Rc<str>>,
    in_flight: bool,
    next_commit_at: Micros,
}

impl PendingChanges {
    /// Whether a commit is due; if so, the next one is after `interval`.
    fn take_turn(&mut self, now: Micros, interval: Micros) -> bool {
        if self.in_flight || self.machines.is_empty() || now < self.next_commit_at {
            return false;
        }
        self.next_commit_at = now + interval;
        true
    }

    /// A commit for these machines has ended.
    fn concluded(&mut self, machines: &[Rc<str>], committed: bool) {
        self.in_flight = false;
        if committed {
            for name in machines {
                self.machines.remove(name);
            }
        }
    }
}

/// Changes of machine records that are to be committed, and those in flight.
#[derive(Debug, Default)]
pub(super) struct MachineRecordChanges {
    activations: PendingChanges,
    removals: PendingChanges,
}

impl MachineRecordChanges {
    /// A machine must be recorded as activated before its first start.
    pub(super) fn request_activation(&mut self, name: Rc<str>) {
        self.activations.machines.insert(name);
    }

    /// A machine is proven gone: its record is to be removed.
    pub(super) fn request_removal(&mut self, name: Rc<str>) {
        self.removals.machines.insert(name);
    }

    /// A machine has left the inventory.
    pub(super) fn forget(&mut self, name: &str) {
        self.activations.machines.remove(name);
        self.removals.machines.remove(name);
    }

    /// Whether machines that are gone are still on record.
    pub(super) fn has_pending_removals(&self) -> bool {
        !self.removals.machines.is_empty()
    }

    /// A commit of activations has ended.
    pub(super) fn activation_concluded(&mut self, machines: &[Rc<str>], committed: bool) {
        self.activations.concluded(machines, committed);
    }

    /// A commit of removals has ended.
    pub(super) fn removal_concluded(&mut self, machines: &[Rc<str>], committed: bool) {
        self.removals.concluded(machines, committed);
    }
}

/// How long after its assignment a machine is activated ahead of its first heartbeat: two fifths
/// of its boot time, early enough for the commit to be done when the first of many are up.
fn early_activation_delay(boot_time: Micros) -> Micros {
    boot_time * 2 / 5
}

impl Region {
    /// Commits the activation of machines before their first starts, and the removal of
    /// machines that are proven gone; changes that are due together share a transaction.
    pub(super) fn commit_machine_records(&mut self, context: &SchedulingContext<'_>) {
        self.request_early_activations(context);
        let interval = commit_interval(context.settings, ACTIVATION_WRITE_SHARE);
        let activations = &mut self.machine_records.activations;
        if activations.take_turn(context.now, interval) {
            self.commit_activations(context);
        }
        let interval = commit_interval(context.settings, REMOVAL_WRITE_SHARE);
        let removals = &mut self.machine_records.removals;
        if removals.take_turn(context.now, interval) {
            self.commit_removals(context);
        }
    }

    /// Requests the activation of a machine if its record does not show it.
    pub(super) fn request_activation(&mut self, name: &Rc<str>) {
        let machine = self.inventory.machine(name);
        if machine.is_some_and(|machine| !machine.record.activated) {
            self.machine_records.request_activation(name.clone());
        }
    }

    /// Requests the activation of machines before they are up, when so many are booting that
    /// activating each as it reports would take more changes than the rate allows. The price
    /// is that the next owner of the region waits for them all, so it isn't done for a few.
    fn request_early_activations(&mut self, context: &SchedulingContext<'_>) {
        let pools = self.inventory.index().pools();
        let booting: usize = pools.map(|(_, pool)| pool.provisioning.len()).sum();
        let in_flight = self.machine_records.activations.in_flight;
        if booting < MIN_BOOTING_FOR_EARLY_ACTIVATION || in_flight {
            return;
        }
        for (_, pool) in self.inventory.index().pools() {
            for name in &pool.provisioning {
                let Some(machine) = self.inventory.machine(name) else {
                    continue;
                };
                let activate_at = machine.assigned_at + early_activation_delay(machine.boot_time);
                if !machine.record.activated && context.now > activate_at {
                    self.machine_records.request_activation(name.clone());
                }
            }
        }
    }

    fn commit_activations(&mut self, context: &SchedulingContext<'_>) {
        let ownership = self.ownership_condition();
        let mut builder = ActivationBuilder::new(&self.name, ownership, context);
        for name in &self.machine_records.activations.machines {
            if let Some(machine) = self.inventory.machine(name) {
                builder.add(name, &machine.record);
            }
        }
        let transaction = builder.finish();
        let is_in_flight = self.commit_records(
            transaction,
            CommitPriority::Normal,
            CommitKind::ActivateMachines,
        );
        self.machine_records.activations.in_flight = is_in_flight;
    }

    fn commit_removals(&mut self, context: &SchedulingContext<'_>) {
        let mut builder = RemovalBuilder::new(self.ownership_condition(), context);
        for name in &self.machine_records.removals.machines {
            if let Some(machine) = self.inventory.machine(name) {
                builder.add(name, &machine.record);
            }
        }
        let transaction = builder.finish();
        let is_in_flight = self.commit_records(
            transaction,
            CommitPriority::Background,
            CommitKind::RemoveMachines,
        );
        self.machine_records.removals.in_flight = is_in_flight;
    }

    /// Commits changes of machines' records; returns whether there are any.
    fn commit_records(
        &mut self,
        transaction: RecordTransaction,
        priority: CommitPriority,
        kind: fn(Vec<Rc<str>>) -> CommitKind,
    ) -> bool {
        if transaction.machines.is_empty() {
            return false;
        }
        let kind = kind(transaction.machines);
        self.commit(transaction.conditions, transaction.changes, priority, kind);
        true
    }
}
