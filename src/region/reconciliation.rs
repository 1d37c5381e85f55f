//! Reconciliation after a change of ownership.
//!
//! A new owner does not know which tasks a former owner started. Tasks that were bound before the
//! change stay unreconciled and are not restarted until every machine that a former owner may have
//! used has sent a heartbeat under the new fencing token or is proven to run nothing.

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{add_drift, to_seconds, Micros, SECOND};

use super::{Region, SchedulingContext};

/// Progress of reconciliation after a region was acquired.
#[derive(Debug)]
pub(super) struct Reconciliation {
    is_complete: bool,
    acquired_at: Micros,
    /// Machines activated by a former owner that have neither reported nor been proven empty.
    unreconciled: BTreeSet<Rc<str>>,
}

impl Reconciliation {
    /// Begins reconciliation at the time of acquisition.
    pub(super) fn new(now: Micros) -> Self {
        Reconciliation {
            is_complete: false,
            acquired_at: now,
            unreconciled: BTreeSet::new(),
        }
    }

    /// Sets the machines that a former owner may have used.
    pub(super) fn set_unreconciled(&mut self, machines: impl Iterator<Item = Rc<str>>) {
        self.unreconciled = machines.collect();
    }

    /// Marks a machine that has reported under the current token or is proven to run nothing.
    pub(super) fn machine_reconciled(&mut self, name: &str) {
        self.unreconciled.remove(name);
    }

    /// Whether tasks of a former owner may still run on the machine unreported.
    pub(super) fn is_unreconciled(&self, name: &str) -> bool {
        self.unreconciled.contains(name)
    }

    /// Whether every machine that a former owner may have used is reconciled.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Time at which the region was acquired.
    pub(super) fn acquired_at(&self) -> Micros {
        self.acquired_at
    }
}

impl Region {
    /// Completes reconciliation if no machine is left unreconciled.
    pub(super) fn try_complete_reconciliation(&mut self, context: &SchedulingContext<'_>) {
        if self.reconciliation.is_complete {
            return;
        }
        if let Some(machine) = self.reconciliation.unreconciled.first() {
            log::debug!(
                "region={} machine={machine}: not reconciled yet, {} more machines pending",
                self.name,
                self.reconciliation.unreconciled.len() - 1
            );
            return;
        }
        // Guards against restarting tasks of machines whose records cannot be read. Such tasks
        // have certainly ended only once every lease granted by a former owner has expired.
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

    /// Completes reconciliation. Tasks that no machine has reported become pending.
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
        // A gang cannot continue if only some of its tasks are running.
        if job.spec.kind == JobKind::Gang
            && !job.tasks.on_machines().is_empty()
            && !job.tasks.pending().is_empty()
        {
            self.restart_gang(id, context);
        }
        self.update_queue_position(id, context);
    }
}
