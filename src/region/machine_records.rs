//! Commits of machine records: activations before a machine's first start, and removals of
//! machines that are gone.
//!
//! A machine's activation tells later owners that it may run tasks; see the reconciliation.
//! Activations of machines of one batch share a bitmap, and many changes go into one
//! transaction, since the state service limits the rate of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::bitmap::{bitmap, read_bitmap};
use salttiller_records::key::Key;
use salttiller_records::model::RangeSet;
use salttiller_records::record::{
    value, ActivationRecord, MachineBatchRecord, MachineRecord, MAX_ACTIVATION_BATCHES,
};
use salttiller_records::units::Micros;

use super::{CommitKind, Region, SchedulingContext};
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use crate::state_store::CommitPriority;

/// The part of the state service's rate of changes that all regions' activations may take.
const ACTIVATION_WRITE_SHARE: f64 = 0.4;
/// The same for removals, which nothing waits for.
const REMOVAL_WRITE_SHARE: f64 = 0.1;
/// From how many booting machines on they are activated before they are up.
const MIN_BOOTING_FOR_EARLY_ACTIVATION: usize = 40;

/// Time between two commits of a region that takes its part of a share of the write rate.
fn commit_interval(settings: &Settings, write_share: f64) -> Micros {
    let regions = settings.size() as f64;
    (regions / (settings.store_writes * write_share) * 1e6) as Micros
}

/// Most changes of one transaction, besides the condition of ownership.
fn max_changes(settings: &Settings) -> usize {
    settings.txn_ops.saturating_sub(1).max(1)
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

/// Conditions and changes of a transaction, and the machines that it concerns.
struct RecordTransaction {
    conditions: Vec<(Key, u64)>,
    changes: Vec<(Key, Option<serde_json::Value>)>,
    machines: Vec<Rc<str>>,
}

impl RecordTransaction {
    fn new(ownership: Vec<(Key, u64)>) -> Self {
        RecordTransaction {
            conditions: ownership,
            changes: Vec::new(),
            machines: Vec::new(),
        }
    }

    /// Adds a record's new value, or its removal, on condition that it is as the replica has it.
    fn change(&mut self, key: Key, new: Option<serde_json::Value>, replica: &Replica) {
        self.conditions.push((key.clone(), replica.version(&key)));
        self.changes.push((key, new));
    }
}

/// Collects activations for one transaction.
struct ActivationBuilder<'a> {
    region: &'a str,
    replica: &'a Replica,
    max_changes: usize,
    /// The region's activation records by number, with the activations added so far.
    records: BTreeMap<u32, ActivationRecord>,
    /// Numbers of the records that have changed.
    changed: BTreeSet<u32>,
    transaction: RecordTransaction,
}

impl<'a> ActivationBuilder<'a> {
    fn new(
        region: &'a str,
        ownership: Vec<(Key, u64)>,
        context: &'a SchedulingContext<'_>,
    ) -> Self {
        let own = (region.to_owned(), 0)..=(region.to_owned(), u32::MAX);
        let records = context.replica.opened.range(own);
        ActivationBuilder {
            region,
            replica: context.replica,
            max_changes: max_changes(context.settings),
            records: records
                .map(|((_, number), record)| (*number, record.value.clone()))
                .collect(),
            changed: BTreeSet::new(),
            transaction: RecordTransaction::new(ownership),
        }
    }

    fn is_full(&self) -> bool {
        self.transaction.changes.len() + self.changed.len() >= self.max_changes
    }

    /// Adds a machine's activation, if the transaction has room for it.
    fn add(&mut self, name: &Rc<str>, record: &MachineRecord) {
        match &record.batch_position {
            Some((batch, position)) => self.add_to_batch(name, batch, *position),
            None => self.add_single(name, record),
        }
    }

    /// A machine with a record of its own, as versions before 0.2 wrote it.
    fn add_single(&mut self, name: &Rc<str>, record: &MachineRecord) {
        if self.is_full() {
            return;
        }
        let activated = MachineRecord {
            activated: true,
            ..record.clone()
        };
        let key = Key::Machine(name.to_string());
        self.transaction
            .change(key, Some(value(&activated)), self.replica);
        self.transaction.machines.push(name.clone());
    }

    fn add_to_batch(&mut self, name: &Rc<str>, batch: &str, position: usize) {
        let number = self.record_for(batch);
        let is_first_change = !self.changed.contains(&number);
        if is_first_change && self.is_full() {
            return;
        }
        let replica = self.replica;
        let ActivationRecord(bitmaps) = self.records.entry(number).or_default();
        if is_first_change {
            // Batches that are gone leave their place to others.
            bitmaps.retain(|batch, _| replica.batches.contains_key(batch));
        }
        let mut positions = RangeSet::default();
        if let Some(bits) = bitmaps.get(batch) {
            read_bitmap(bits, 0, &mut positions);
        }
        positions.insert(position as u32);
        bitmaps.insert(batch.to_owned(), bitmap(&positions, 0));
        self.changed.insert(number);
        self.transaction.machines.push(name.clone());
    }

    /// The number of the record that has the batch, else of one with a free place, else of a
    /// new one.
    fn record_for(&self, batch: &str) -> u32 {
        let find = |condition: &dyn Fn(&ActivationRecord) -> bool| {
            let mut records = self.records.iter();
            records.find(|(_, record)| condition(record))
        };
        let found = find(&|record| record.0.contains_key(batch))
            .or_else(|| find(&|record| record.0.len() < MAX_ACTIVATION_BATCHES));
        match found {
            Some((number, _)) => *number,
            None => self.records.keys().next_back().map_or(0, |last| last + 1),
        }
    }

    fn finish(mut self) -> RecordTransaction {
        for number in &self.changed {
            if let Some(record) = self.records.get(number) {
                let key = Key::Activation(self.region.to_owned(), *number);
                self.transaction
                    .change(key, Some(value(record)), self.replica);
            }
        }
        self.transaction
    }
}

/// Collects removals for one transaction.
struct RemovalBuilder<'a> {
    replica: &'a Replica,
    max_changes: usize,
    /// Changed records of batches.
    batches: BTreeMap<Rc<str>, MachineBatchRecord>,
    transaction: RecordTransaction,
}

impl<'a> RemovalBuilder<'a> {
    fn new(ownership: Vec<(Key, u64)>, context: &SchedulingContext<'a>) -> Self {
        RemovalBuilder {
            replica: context.replica,
            max_changes: max_changes(context.settings),
            batches: BTreeMap::new(),
            transaction: RecordTransaction::new(ownership),
        }
    }

    fn is_full(&self) -> bool {
        self.transaction.changes.len() + self.batches.len() >= self.max_changes
    }

    /// Adds a machine's removal, if the transaction has room for it.
    fn add(&mut self, name: &Rc<str>, record: &MachineRecord) {
        match &record.batch_position {
            Some((batch, position)) => self.add_to_batch(name, batch, *position),
            None => self.add_single(name),
        }
    }

    fn add_single(&mut self, name: &Rc<str>) {
        if self.is_full() {
            return;
        }
        let key = Key::Machine(name.to_string());
        self.transaction.change(key, None, self.replica);
        self.transaction.machines.push(name.clone());
    }

    fn add_to_batch(&mut self, name: &Rc<str>, batch: &Rc<str>, position: usize) {
        if !self.batches.contains_key(batch) && !self.is_full() {
            if let Some(record) = self.replica.batches.get(&**batch) {
                self.batches.insert(batch.clone(), record.value.clone());
            }
        }
        let record = self.batches.get_mut(batch);
        if let Some(entry) = record.and_then(|record| record.machines.get_mut(position)) {
            // Positions never shift, since activations count by them.
            entry.clear();
            self.transaction.machines.push(name.clone());
        }
    }

    fn finish(mut self) -> RecordTransaction {
        for (batch, record) in self.batches {
            let is_empty = record.machines.iter().all(String::is_empty);
            let new = (!is_empty).then(|| value(&record));
            let key = Key::MachineBatch(batch.to_string());
            self.transaction.change(key, new, self.replica);
        }
        self.transaction
    }
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
                // Early enough for the commit to be done when the first of them are up.
                let activate_at = machine.assigned_at + machine.boot_time * 2 / 5;
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
        let RecordTransaction {
            conditions,
            changes,
            machines,
        } = builder.finish();
        if machines.is_empty() {
            return;
        }
        self.machine_records.activations.in_flight = true;
        let kind = CommitKind::ActivateMachines(machines);
        self.commit(conditions, changes, CommitPriority::Normal, kind);
    }

    fn commit_removals(&mut self, context: &SchedulingContext<'_>) {
        let mut builder = RemovalBuilder::new(self.ownership_condition(), context);
        for name in &self.machine_records.removals.machines {
            if let Some(machine) = self.inventory.machine(name) {
                builder.add(name, &machine.record);
            }
        }
        let RecordTransaction {
            conditions,
            changes,
            machines,
        } = builder.finish();
        if machines.is_empty() {
            return;
        }
        self.machine_records.removals.in_flight = true;
        let kind = CommitKind::RemoveMachines(machines);
        self.commit(conditions, changes, CommitPriority::Background, kind);
    }
}
