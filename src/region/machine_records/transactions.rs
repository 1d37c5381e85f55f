//! Transactions that activate machines or remove their records.
//!
//! A machine has its own record or, since version 0.2, a position in the record of its batch.
//! The builders collect changes up to the state service's limit. Machines that do not fit wait
//! for the next transaction.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::bitmap::{decode_bitmap, encode_bitmap};
use salttiller_records::key::Key;
use salttiller_records::model::RangeSet;
use salttiller_records::record::{
    value, ActivationRecord, MachineBatchRecord, MachineRecord, MAX_ACTIVATION_BATCHES,
};

use crate::region::SchedulingContext;
use crate::settings::Settings;
use crate::state_store::replica::Replica;

/// Maximum number of changes in one transaction, not counting the ownership condition.
fn max_changes(settings: &Settings) -> usize {
    settings.max_txn_ops.saturating_sub(1).max(1)
}

/// Conditions and changes of a transaction, and the machines whose records it changes.
pub(super) struct RecordTransaction {
    pub(super) conditions: Vec<(Key, u64)>,
    pub(super) changes: Vec<(Key, Option<serde_json::Value>)>,
    pub(super) machines: Vec<Rc<str>>,
}

impl RecordTransaction {
    fn new(ownership: Vec<(Key, u64)>) -> Self {
        RecordTransaction {
            conditions: ownership,
            changes: Vec::new(),
            machines: Vec::new(),
        }
    }

    /// Adds a record's new value or its removal, on condition that the record still has the
    /// replica's version.
    fn change(&mut self, key: Key, new: Option<serde_json::Value>, replica: &Replica) {
        self.conditions.push((key.clone(), replica.version(&key)));
        self.changes.push((key, new));
    }
}

/// Collects activations for one transaction.
pub(super) struct ActivationBuilder<'a> {
    region: &'a str,
    replica: &'a Replica,
    max_changes: usize,
    /// The region's activation records by number, including the activations added so far.
    records: BTreeMap<u32, ActivationRecord>,
    /// Numbers of the records that have changed.
    changed: BTreeSet<u32>,
    transaction: RecordTransaction,
}

impl<'a> ActivationBuilder<'a> {
    pub(super) fn new(
        region: &'a str,
        ownership: Vec<(Key, u64)>,
        context: &'a SchedulingContext<'_>,
    ) -> Self {
        let records = context.replica.activations_of(region);
        ActivationBuilder {
            region,
            replica: context.replica,
            max_changes: max_changes(context.settings),
            records: records
                .map(|(number, record)| (number, record.value.clone()))
                .collect(),
            changed: BTreeSet::new(),
            transaction: RecordTransaction::new(ownership),
        }
    }

    fn is_full(&self) -> bool {
        self.transaction.changes.len() + self.changed.len() >= self.max_changes
    }

    /// Adds a machine's activation, if the transaction has room for it.
    pub(super) fn add(&mut self, name: &Rc<str>, record: &MachineRecord) {
        match &record.batch_position {
            Some(position) => self.add_to_batch(name, &position.batch, position.index),
            None => self.add_single(name, record),
        }
    }

    /// Adds a machine that has its own record, as versions before 0.2 wrote it.
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
        let ActivationRecord { bitmaps } = self.records.entry(number).or_default();
        if is_first_change {
            // Bitmaps of batches that no longer exist are dropped to make room for others.
            bitmaps.retain(|batch, _| replica.batches.contains_key(batch));
        }
        let mut positions = RangeSet::default();
        if let Some(bits) = bitmaps.get(batch) {
            decode_bitmap(bits, 0, &mut positions);
        }
        positions.insert(position as u32);
        bitmaps.insert(batch.to_owned(), encode_bitmap(&positions, 0));
        self.changed.insert(number);
        self.transaction.machines.push(name.clone());
    }

    /// Returns the number of the record that contains the batch, else of a record with room for
    /// another batch, else of a new record.
    fn record_for(&self, batch: &str) -> u32 {
        let find = |condition: &dyn Fn(&ActivationRecord) -> bool| {
            let mut records = self.records.iter();
            records.find(|(_, record)| condition(record))
        };
        let found = find(&|record| record.bitmaps.contains_key(batch))
            .or_else(|| find(&|record| record.bitmaps.len() < MAX_ACTIVATION_BATCHES));
        match found {
            Some((number, _)) => *number,
            None => self.records.keys().next_back().map_or(0, |last| last + 1),
        }
    }

    /// Returns the transaction of all changes added.
    pub(super) fn finish(mut self) -> RecordTransaction {
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
pub(super) struct RemovalBuilder<'a> {
    replica: &'a Replica,
    max_changes: usize,
    /// Changed records of batches.
    batches: BTreeMap<Rc<str>, MachineBatchRecord>,
    transaction: RecordTransaction,
}

impl<'a> RemovalBuilder<'a> {
    pub(super) fn new(ownership: Vec<(Key, u64)>, context: &SchedulingContext<'a>) -> Self {
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
    pub(super) fn add(&mut self, name: &Rc<str>, record: &MachineRecord) {
        match &record.batch_position {
            Some(position) => self.add_to_batch(name, &position.batch, position.index),
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
            // The entry is cleared rather than removed: activations refer to machines by
            // position, so positions must not shift.
            entry.clear();
            self.transaction.machines.push(name.clone());
        }
    }

    /// Returns the transaction of all changes added.
    pub(super) fn finish(mut self) -> RecordTransaction {
        for (batch, record) in self.batches {
            let is_empty = record.machines.iter().all(String::is_empty);
            let new = (!is_empty).then(|| value(&record));
            let key = Key::MachineBatch(batch.to_string());
            self.transaction.change(key, new, self.replica);
        }
        self.transaction
    }
}
