//! Accounting for all machines after a region was taken.

use super::*;

impl Region {
    /// Ends the accounting once every machine that a former owner may have used
    /// is heard from or provably empty.
    pub(super) fn try_finish_recovery(&mut self, context: &SchedulingContext<'_>) {
        if self.settled {
            return;
        }
        if let Some(name) = self.awaited.first() {
            log::debug!(
                "region: {}: still waits for {name} and {} more",
                self.name,
                self.awaited.len() - 1
            );
            return;
        }
        // Guards against records of machines that we can't read: what may be on
        // those is over only when every lease that a former owner gave is.
        if !context.replica.unreadable.is_empty()
            && context.now < self.taken_at + add_drift(context.settings.lease) + SECOND
        {
            return;
        }
        self.finish_recovery(context);
    }

    pub(super) fn finish_recovery(&mut self, context: &SchedulingContext<'_>) {
        self.settled = true;
        self.dirty_all = true;
        log::info!(
            "region: {}: settled {:.1} s after taking, {} machines",
            self.name,
            to_secs(context.now - self.taken_at),
            self.machines.len()
        );
        for s in self.shares.values_mut() {
            s.inherited = QuotaAmount::default();
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let rest = std::mem::take(&mut job.unsettled);
            if job.waiting.is_empty() {
                job.wait_since = context.now;
            }
            job.waiting.add_all(&rest);
            // A gang of which only a part is left can't go on.
            if job.spec.kind == JobKind::Gang && !job.out.is_empty() && !job.waiting.is_empty() {
                self.break_gang(&id, context);
            }
            self.rekey(&id, context);
        }
    }
}
