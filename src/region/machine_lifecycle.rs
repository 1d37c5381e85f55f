//! Draining and release of machines.
//!
//! Surplus machines are drained, releases are requested from the cloud, and the tasks of
//! machines that are proven to run nothing return to pending.

use std::rc::Rc;

use salttiller_records::model::JobId;

use super::machine::CordonReason;
use super::machine_checks::MIN_BILLED_AGE;
use super::machine_pool::MachinePool;
use super::{Region, SchedulingContext};

impl Region {
    /// Returns the tasks of a machine to pending once it is proven to run no task.
    pub(super) fn on_machine_empty(&mut self, name: &str, context: &SchedulingContext<'_>) {
        if self.inventory.machine(name).is_none() {
            return;
        }
        let tasks: Vec<(JobId, u32)> = self.inventory.expire_lease(name);
        if !tasks.is_empty() {
            log::info!(
                "region={} machine={name}: runs no tasks, {} tasks return to pending",
                self.name,
                tasks.len()
            );
        }
        for (id, task) in tasks {
            self.return_to_pending(&id, task, "its machine runs no tasks", context);
        }
        self.reconciliation.machine_reconciled(name);
    }

    /// Marks a machine as being released. The caller requests the release from the cloud.
    pub(super) fn begin_release(&mut self, name: &str, reason: CordonReason) {
        if let Some(reason) = self.inventory.begin_release(name, reason) {
            log::info!("region={} machine={name}: released: {reason}", self.name);
        }
    }

    /// Uncordons surplus machines for pending jobs, unless their release is in flight. With
    /// `reserved`, machines of pools with reserved capacity are uncordoned for pending constrained
    /// jobs; without, machines of all other pools.
    pub(super) fn uncordon(&mut self, reserved: bool) {
        let uncordoned = self.inventory.uncordon_surplus(reserved);
        for name in &uncordoned {
            self.triggers.machine_changed(name);
        }
    }

    /// Drains up to `count` machines of a pool, those with the fewest tasks first. The leader
    /// requests this when all regions together have surplus machines. Tasks are never moved or
    /// stopped to drain a machine.
    pub fn cordon_surplus(
        &mut self,
        pool: &MachinePool,
        count: u32,
        context: &SchedulingContext<'_>,
    ) {
        let Some(pool) = self.inventory.index().pool(pool) else {
            return;
        };
        let mut candidates: Vec<(usize, Rc<str>)> = pool
            .available_machines()
            .filter_map(|name| Some((name, self.inventory.machine(name)?)))
            .filter(|(_, machine)| context.now > machine.assigned_at + MIN_BILLED_AGE)
            .map(|(name, machine)| (machine.tasks.len(), name.clone()))
            .collect();
        candidates.sort();
        for (tasks, name) in candidates.into_iter().take(count as usize) {
            log::debug!(
                "region={} machine={name}: draining, {tasks} tasks left",
                self.name
            );
            self.inventory.drain(&name);
            self.inventory.schedule_check(&name, context.now);
        }
    }

    /// Handles the cloud's confirmation that machines no longer exist. The names may include
    /// machines of other regions, which are ignored.
    pub fn on_released(&mut self, names: &[String], context: &SchedulingContext<'_>) {
        for name in names {
            let Some(name) = self.inventory.shared_name(name) else {
                continue;
            };
            self.inventory.machine_gone(&name);
            self.on_machine_empty(&name, context);
            self.machine_records.request_removal(name);
        }
        self.try_complete_reconciliation(context);
    }
}
