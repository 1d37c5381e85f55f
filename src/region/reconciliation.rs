//! Reconciliation after a change of ownership.
//!
//! A new owner does not know which tasks its predecessor started. Until every machine that
//! the predecessor may have used has sent a heartbeat under the new fencing token, or is
//! proven to run nothing, tasks bound before stay unreconciled and are not started again.

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{add_drift, to_seconds, Micros, SECOND};

use super::{Region, SchedulingContext};

/// Which machines of a former owner are still unreconciled.
#[derive(Debug)]
pub(super) struct Reconciliation {
    is_complete: bool,
    acquired_at: Micros,
    /// Activated machines of a former owner that have neither reported nor been proven empty.
    unreconciled: BTreeSet<Rc<str>>,
}

impl Reconciliation {
    /// Begins when the region is acquired.
    pub(super) fn new(now: Micros) -> Self {
        Reconciliation {
            is_complete: false,
            acquired_at: now,
            unreconciled: BTreeSet::new(),
        }
    }

    /// Sets the machines that a former owner may have used.
    pub(super) fn expect(&mut self, machines: impl Iterator<Item = Rc<str>>) {
        self.unreconciled = machines.collect();
    }

    /// A machine has reported under the current token, or is proven to run nothing.
    pub(super) fn machine_reconciled(&mut self, name: &str) {
        self.unreconciled.remove(name);
    }

    /// Whether a former owner's tasks may still run on the machine.
    pub(super) fn is_unreconciled(&self, name: &str) -> bool {
        self.unreconciled.contains(name)
    }

    /// Whether every machine that a former owner may have used is reconciled.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// When the region was acquired.
    pub(super) fn acquired_at(&self) -> Micros {
        self.acquired_at
    }
}

impl Region {
    /// Completes reconciliation once no machine is left to wait for.
    pub(super) fn try_complete_reconciliation(&mut self, context: &SchedulingContext<'_>) {
        if self.reconciliation.is_complete {
            return;
        }
        if let Some(machine) = self.reconciliation.unreconciled.first() {
            log::debug!(
                "region={} machine={machine}: unreconciled, with {} more",
                self.name,
                self.reconciliation.unreconciled.len() - 1
            );
            return;
        }
        // Guards against records of machines that can't be read: tasks on those have ended
        // for sure only when every lease that a former owner granted has expired.
        if !context.replica.unreadable_machine_records.is_empty()
            && context.now
                < self.reconciliation.acquired_at
                    + add_drift(context.settings.worker_lease)
                    + SECOND
        {
            return;
        }
        self.complete_reconciliation(context);
    }

    /// Completes reconciliation: tasks that no machine has reported are pending from now on.
    pub(super) fn complete_reconciliation(&mut self, context: &SchedulingContext<'_>) {
        self.reconciliation.is_complete = true;
        self.triggers.everything_changed();
        log::info!(
            "region={} token={}: reconciled {:.1} s after acquisition, {} machines",
            self.name,
            self.token,
            to_seconds(context.now - self.reconciliation.acquired_at),
            self.inventory.len()
        );
        self.quotas.clear_inherited();
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.release_unreconciled_tasks(&id, context);
        }
    }

    fn release_unreconciled_tasks(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.tasks.reconcile(context.now);
        // A gang of which only a part still runs can't go on.
        if job.spec.kind == JobKind::Gang
            && !job.tasks.on_machines().is_empty()
            && !job.tasks.pending().is_empty()
        {
            self.break_gang(id, context);
        }
        self.update_queue_position(id, context);
    }
}
