//! Commits of machine records, which activate machines and remove machines that are gone.
//!
//! A machine is recorded as activated before its first task starts, so that later owners know
//! that it may run tasks (see `reconciliation`). Activations of machines of one batch share a
//! bitmap, and many changes share one transaction, because the state service limits the write
//! rate.

mod transactions;

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::units::Micros;

use super::{CommitKind, Region, SchedulingContext};
use crate::settings::Settings;
use crate::state_store::CommitPriority;
use transactions::{ActivationBuilder, RecordTransaction, RemovalBuilder};

/// Share of the state service's write rate that activations of all regions may use.
const ACTIVATION_WRITE_SHARE: f64 = 0.4;
/// Share of the state service's write rate that removals of all regions may use. No task
/// waits for a removal; only a handover of the region does.
const REMOVAL_WRITE_SHARE: f64 = 0.1;
/// Number of booting machines from which machines are activated before their first heartbeat.
const MIN_BOOTING_FOR_EARLY_ACTIVATION: usize = 40;

/// Time between two commits of a region, such that all regions together use `write_share` of the
/// write rate.
fn commit_interval(settings: &Settings, write_share: f64) -> Micros {
    let regions = settings.region_count() as f64;
    (regions / (settings.store_write_rate * write_share) * 1e6) as Micros
}

/// Machines with a pending record change of one kind.
#[derive(Debug, Default)]
struct PendingChanges {
    machines: BTreeSet<Rc<str>>,
    in_flight: bool,
    next_commit_at: Micros,
}

impl PendingChanges {
    /// Returns whether a commit is due, and if so delays the next one by `interval`.
    fn claim_commit_slot(&mut self, now: Micros, interval: Micros) -> bool {
        if self.in_flight || self.machines.is_empty() || now < self.next_commit_at {
            return false;
        }
        self.next_commit_at = now + interval;
        true
    }

    /// Handles the end of a commit for these machines.
    fn commit_ended(&mut self, machines: &[Rc<str>], committed: bool) {
        self.in_flight = false;
        if committed {
            for name in machines {
                self.machines.remove(name);
            }
        }
    }
}

/// Pending and in-flight changes of machine records.
#[derive(Debug, Default)]
pub(super) struct MachineRecordChanges {
    activations: PendingChanges,
    removals: PendingChanges,
}

impl MachineRecordChanges {
    /// Requests that a machine be recorded as activated, which its first task start requires.
    pub(super) fn request_activation(&mut self, name: Rc<str>) {
        self.activations.machines.insert(name);
    }

    /// Requests the removal of the record of a machine that is proven gone.
    pub(super) fn request_removal(&mut self, name: Rc<str>) {
        self.removals.machines.insert(name);
    }

    /// Drops the pending changes of a machine that has left the inventory.
    pub(super) fn forget(&mut self, name: &str) {
        self.activations.machines.remove(name);
        self.removals.machines.remove(name);
    }

    /// Whether machines that are gone still have records.
    pub(super) fn has_pending_removals(&self) -> bool {
        !self.removals.machines.is_empty()
    }

    /// Handles the end of a commit of activations.
    pub(super) fn activation_commit_ended(&mut self, machines: &[Rc<str>], committed: bool) {
        self.activations.commit_ended(machines, committed);
    }

    /// Handles the end of a commit of removals.
    pub(super) fn removal_commit_ended(&mut self, machines: &[Rc<str>], committed: bool) {
        self.removals.commit_ended(machines, committed);
    }
}

/// Time after its assignment at which a machine is activated ahead of its first heartbeat: two
/// fifths of its boot time, so that the commit ends before the first of many machines have booted.
fn early_activation_delay(boot_time: Micros) -> Micros {
    boot_time * 2 / 5
}

impl Region {
    /// Commits activations of machines, which must precede their first task starts, and removals
    /// of machines that are proven gone. Changes of one kind that are due together share a
    /// transaction.
    pub(super) fn commit_machine_records(&mut self, context: &SchedulingContext<'_>) {
        self.request_early_activations(context);
        let interval = commit_interval(context.settings, ACTIVATION_WRITE_SHARE);
        let activations = &mut self.machine_records.activations;
        if activations.claim_commit_slot(context.now, interval) {
            self.commit_activations(context);
        }
        let interval = commit_interval(context.settings, REMOVAL_WRITE_SHARE);
        let removals = &mut self.machine_records.removals;
        if removals.claim_commit_slot(context.now, interval) {
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

    /// Requests the activation of machines before their first heartbeat while so many are booting
    /// that separate activations would exceed the write rate. The next owner of the region must
    /// wait for all activated machines, so a small number of machines is not activated early.
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

    /// Commits a transaction unless it is empty. Returns whether it was committed.
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
