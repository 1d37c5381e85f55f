//! Records of jobs that were cancelled along with a job that they depend on.

use crate::region::SchedulingContext;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::record::value;

use super::outbox::RecordChange;
use super::Leader;

/// Jobs that are put on record at a time as cancelled along with those that they need. Nobody
/// waits for it, so it leaves the state service's limit to other changes.
const MAX_CANCELLATIONS_AT_ONCE: usize = 4;

impl Leader {
    /// Puts on record that jobs were cancelled along with those that they need. Everybody
    /// derives it from the records, so nothing depends on when this happens: it is for the
    /// versions before 0.3, should one ever be brought back, and for the index.
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
