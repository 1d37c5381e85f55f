//! Accounting for all machines after a region was taken.

use super::*;

/// How far the accounting for a former owner's machines has come.
#[derive(Debug)]
pub(super) struct Reconciliation {
    /// Every machine that a former owner may have used is accounted for.
    pub(super) is_complete: bool,
    /// When the region was acquired.
    pub(super) acquired_at: Micros,
    /// Activated machines of a former owner that have neither reported nor been proven empty.
    pub(super) unreconciled: BTreeSet<Rc<str>>,
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
}

impl Region {
    /// Ends the accounting once every machine that a former owner may have used
    /// is heard from or provably empty.
    pub(super) fn try_finish_recovery(&mut self, context: &SchedulingContext<'_>) {
        if self.reconciliation.is_complete {
            return;
        }
        if let Some(name) = self.reconciliation.unreconciled.first() {
            log::debug!(
                "region: {}: still waits for {name} and {} more",
                self.name,
                self.reconciliation.unreconciled.len() - 1
            );
            return;
        }
        // Guards against records of machines that we can't read: what may be on
        // those is over only when every lease that a former owner gave is.
        if !context.replica.unreadable.is_empty()
            && context.now
                < self.reconciliation.acquired_at
                    + add_drift(context.settings.worker_lease)
                    + SECOND
        {
            return;
        }
        self.finish_recovery(context);
    }

    pub(super) fn finish_recovery(&mut self, context: &SchedulingContext<'_>) {
        self.reconciliation.is_complete = true;
        self.triggers.all = true;
        log::info!(
            "region: {}: settled {:.1} s after taking, {} machines",
            self.name,
            to_secs(context.now - self.reconciliation.acquired_at),
            self.inventory.machines.len()
        );
        for s in self.quotas.by_team.values_mut() {
            s.inherited = QuotaAmount::default();
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let rest = std::mem::take(&mut job.unreconciled);
            if job.pending.is_empty() {
                job.pending_since = context.now;
            }
            job.pending.add_all(&rest);
            // A gang of which only a part is left can't go on.
            if job.spec.kind == JobKind::Gang
                && !job.on_machines.is_empty()
                && !job.pending.is_empty()
            {
                self.break_gang(&id, context);
            }
            self.update_queue_position(&id, context);
        }
    }
}
