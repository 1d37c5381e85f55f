//! Machines, derived from machine records, machine batches and activation records, and the
//! number of machines by region and pool.

use std::rc::Rc;

use salttiller_records::bitmap::decode_bitmap;
use salttiller_records::model::RangeSet;
use salttiller_records::record::{
    ActivationRecord, BatchPosition, MachineBatchRecord, MachineRecord,
};

use super::{ActivationKey, PoolKey, Replica, Versioned};

fn pool_of(machine: &MachineRecord) -> PoolKey {
    PoolKey {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
    }
}

fn is_in_batch(machine: &MachineRecord, batch: &str) -> bool {
    let position = machine.batch_position.as_ref();
    position.is_some_and(|position| &*position.batch == batch)
}

impl Replica {
    /// Machines that changed since the last call.
    pub fn take_changed_machines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed_machines)
            .into_iter()
            .collect()
    }

    /// Puts or removes a machine.
    pub(super) fn set_machine(&mut self, name: &str, record: Option<MachineRecord>, version: u64) {
        if let Some(old) = self.machines.remove(name) {
            self.count_removed(&old.value);
        }
        if let Some(value) = record {
            let pools = self.machine_counts.entry(value.region.clone()).or_default();
            *pools.entry(pool_of(&value)).or_default() += 1;
            self.machines
                .insert(name.to_owned(), Versioned { value, version });
        }
        self.changed_machines.insert(name.to_owned());
    }

    fn count_removed(&mut self, machine: &MachineRecord) {
        let Some(pools) = self.machine_counts.get_mut(&machine.region) else {
            return;
        };
        let pool = pool_of(machine);
        if let Some(count) = pools.get_mut(&pool) {
            *count -= 1;
            if *count == 0 {
                pools.remove(&pool);
            }
        }
    }

    /// Puts or removes a batch along with its machines.
    pub(super) fn set_batch(&mut self, id: &str, record: Option<MachineBatchRecord>, version: u64) {
        self.remove_machines_not_in(id, record.as_ref(), version);
        let Some(value) = record else { return };
        self.add_machines_of(id, &value, version);
        self.batches
            .insert(id.to_owned(), Versioned { value, version });
    }

    /// Removes a batch and those of its machines that its new record doesn't contain.
    fn remove_machines_not_in(
        &mut self,
        id: &str,
        record: Option<&MachineBatchRecord>,
        version: u64,
    ) {
        let Some(old) = self.batches.remove(id) else {
            return;
        };
        for (index, name) in old.value.machines.iter().enumerate() {
            let stays = record.is_some_and(|new| new.machines.get(index) == Some(name));
            let machine = self.machines.get(name);
            if !stays && machine.is_some_and(|machine| is_in_batch(&machine.value, id)) {
                self.set_machine(name, None, version);
            }
        }
    }

    fn add_machines_of(&mut self, id: &str, record: &MachineBatchRecord, version: u64) {
        let batch: Rc<str> = Rc::from(id);
        let activated = self.activated_in(&record.region, id);
        for (index, name) in record.machines.iter().enumerate() {
            let known = self.machines.get(name).map(|machine| &machine.value);
            // A separate machine record, written by an earlier version of this program, takes
            // precedence.
            if name.is_empty() || known.is_some_and(|machine| !is_in_batch(machine, id)) {
                continue;
            }
            let machine = MachineRecord {
                region: record.region.clone(),
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                activated: activated.contains(index as u32),
                batch_position: Some(BatchPosition {
                    batch: batch.clone(),
                    index,
                }),
            };
            if known != Some(&machine) {
                self.set_machine(name, Some(machine), version);
            }
        }
    }

    /// The activation records of a region, ordered by number.
    pub fn activations_of(
        &self,
        region: &str,
    ) -> impl Iterator<Item = (u32, &Versioned<ActivationRecord>)> {
        let key = |number| ActivationKey {
            region: region.to_owned(),
            number,
        };
        let records = self.activations.range(key(0)..=key(u32::MAX));
        records.map(|(key, record)| (key.number, record))
    }

    /// Returns the indexes of the activated machines in a batch.
    fn activated_in(&self, region: &str, batch: &str) -> RangeSet {
        let mut activated = RangeSet::default();
        for (_, record) in self.activations_of(region) {
            if let Some(bits) = record.value.bitmaps.get(batch) {
                decode_bitmap(bits, 0, &mut activated);
            }
        }
        activated
    }

    /// Marks the machines that an activation record lists as activated.
    pub(super) fn activate_machines(&mut self, key: &ActivationKey) {
        let Some(record) = self.activations.get(key) else {
            return;
        };
        for (id, bits) in &record.value.bitmaps {
            let Some(batch) = self.batches.get(id) else {
                continue;
            };
            let mut activated = RangeSet::default();
            decode_bitmap(bits, 0, &mut activated);
            let names = activated
                .iter()
                .map_while(|index| batch.value.machines.get(index as usize));
            for name in names {
                let Some(machine) = self.machines.get_mut(name) else {
                    continue;
                };
                if is_in_batch(&machine.value, id) && !machine.value.activated {
                    machine.value.activated = true;
                    self.changed_machines.insert(name.clone());
                }
            }
        }
    }
}
