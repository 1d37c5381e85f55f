//! Machines that join and leave the region when their records change, and changes of machine
//! types.

use super::{Region, SchedulingContext};

impl Region {
    /// Handles a changed machine record: adds the machine, applies the change, or removes a
    /// machine whose record is gone. The owner removes a record only once the machine is proven
    /// gone.
    pub fn on_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        let replica = context.replica;
        let record = replica.machines.get(name).map(|record| &record.value);
        let Some(record) = record.filter(|record| record.region == self.name) else {
            self.remove_machine(name, context);
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

    /// Handles new or changed machine types.
    pub fn on_machine_types_changed(&mut self, context: &SchedulingContext<'_>) {
        self.inventory.update_machine_types(context.replica);
        self.update_reserved_capacity(context);
        self.triggers.everything_changed();
    }

    /// Updates the capacity reserved for constrained jobs.
    pub(super) fn update_reserved_capacity(&mut self, context: &SchedulingContext<'_>) {
        if self.inventory.update_reserved_capacity(context.now) {
            self.triggers.everything_changed();
        }
    }

    fn remove_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
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
