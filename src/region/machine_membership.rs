//! Machines that join and leave the region as their records come and go, and changes of
//! machine types.

use super::{Region, SchedulingContext};

impl Region {
    /// A machine's record has changed: adds the machine, takes over the change, or removes a
    /// machine whose record is gone. The record goes only once the machine is proven gone, by
    /// this owner.
    pub fn on_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        let replica = context.replica;
        let record = replica.machines.get(name).map(|record| &record.value);
        let Some(record) = record.filter(|record| record.region == self.name) else {
            self.drop_machine(name, context);
            return;
        };
        if self.inventory.machine(name).is_none() {
            let machine_type = replica.machine_types.get(&record.machine_type);
            let machine_type = machine_type.map(|record| &record.value);
            self.inventory.add(name, record, machine_type, context.now);
        } else if self.inventory.update_record(name, record) {
            self.triggers.machine_changed(&name.into());
        }
    }

    /// Machine types became known or changed.
    pub fn on_machine_types_changed(&mut self, context: &SchedulingContext<'_>) {
        self.inventory.update_machine_types(context.replica);
        self.update_reserved_capacity(context);
        self.triggers.everything_changed();
    }

    /// Reserves capacity for the jobs that fit on one machine type only.
    pub(super) fn update_reserved_capacity(&mut self, context: &SchedulingContext<'_>) {
        if self.inventory.update_reserved_capacity(context.now) {
            self.triggers.everything_changed();
        }
    }

    fn drop_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        if self.inventory.machine(name).is_none() {
            return;
        }
        self.on_machine_empty(name, context);
        self.inventory.remove(name);
        self.machine_records.forget(name);
        self.reconciliation.machine_reconciled(name);
        self.try_complete_reconciliation(context);
    }
}
