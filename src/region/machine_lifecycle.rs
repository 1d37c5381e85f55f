//! The end of machines' service: surplus machines are drained, releases are requested from the
//! cloud, and machines that are proven to run nothing give their tasks back.

use std::rc::Rc;

use salttiller_records::model::JobId;

use super::machine::CordonReason;
use super::machine_checks::MIN_BILLED_AGE;
use super::machine_pool::MachinePool;
use super::{Region, SchedulingContext};

impl Region {
    /// The machine is proven to run no task any more: its tasks are pending again.
    pub(super) fn on_machine_empty(&mut self, name: &str, context: &SchedulingContext<'_>) {
        if self.inventory.machine(name).is_none() {
            return;
        }
        let tasks: Vec<(JobId, u32)> = self.inventory.expire_lease(name);
        if !tasks.is_empty() {
            log::info!(
                "region={} machine={name}: runs nothing any more, {} tasks start again",
                self.name,
                tasks.len()
            );
        }
        for (id, task) in tasks {
            self.return_to_pending(&id, task, "its machine runs nothing any more", context);
        }
        self.reconciliation.machine_reconciled(name);
    }

    /// Marks a machine as being released; the caller requests it from the cloud.
    pub(super) fn begin_release(&mut self, name: &str, reason: CordonReason) {
        if let Some(reason) = self.inventory.begin_release(name, reason) {
            log::info!("region={} machine={name}: released: {reason}", self.name);
        }
    }

    /// Jobs are pending: surplus machines accept tasks again, unless their release is under
    /// way; those of pools with reserved capacity only when constrained jobs are pending
    /// (`reserved`).
    pub(super) fn uncordon(&mut self, reserved: bool) {
        let uncordoned = self.inventory.uncordon_surplus(reserved);
        for name in &uncordoned {
            self.triggers.machine_changed(name);
        }
    }

    /// The leader finds that all regions together can do without some machines of a pool:
    /// those with the fewest tasks are drained. Tasks are never moved or stopped for it.
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

    /// The cloud has confirmed that machines no longer exist. Names of other regions' machines
    /// may be among them.
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
