//! Upstream cancellations: records the cancellation of jobs that depend on a cancelled job.

use crate::region::SchedulingContext;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::record::value;

use super::outbox::RecordChange;
use super::Leader;

/// Maximum number of jobs recorded as cancelled at a time. Nothing waits for these records, so most
/// of the state service's limit is left to other changes.
const MAX_CANCELLATIONS_AT_ONCE: usize = 4;

impl Leader {
    /// Records jobs as cancelled because a job that they depend on was cancelled. Every controller
    /// derives these cancellations from the other records, so the time of the write doesn't matter.
    /// The cancellations are recorded for versions before 0.3, in case of a downgrade, and for the
    /// index.
    pub(super) fn record_upstream_cancellations(&mut self, context: &SchedulingContext<'_>) {
        let cancelled = context.replica.pipelines.cancelled_upstream().iter();
        let changes: Vec<RecordChange> = cancelled
            .filter(|id| !self.outbox.is_in_flight(&Key::Job((*id).clone())))
            .take(MAX_CANCELLATIONS_AT_ONCE)
            .filter_map(|id| {
                let record = context.replica.jobs.get(id)?;
                Some(RecordChange {
                    key: Key::Job(id.clone()),
                    expected_version: record.version,
                    value: value(&record.value.cancelled()),
                })
            })
            .collect();
        self.commit(changes, CommitPriority::Background, context);
    }
}
