//! Cancellations that peers report before the replica shows them.

use std::collections::BTreeSet;

use salttiller_records::record::JobStage;

use crate::state_store::replica::Replica;

/// Maximum number of reported cancellations that the replica doesn't show yet.
pub(super) const MAX_REPORTED_CANCELLATIONS: usize = 10_000;

/// Jobs that peers reported as cancelled and that the replica may still show as open. The reports
/// carry no authority: they only prevent tasks of these jobs from starting.
#[derive(Debug, Default)]
pub(super) struct ReportedCancellations {
    jobs: BTreeSet<String>,
}

impl ReportedCancellations {
    /// Returns the names of the jobs.
    pub(super) fn jobs(&self) -> &BTreeSet<String> {
        &self.jobs
    }

    /// Whether a job was reported as cancelled.
    pub(super) fn contains(&self, job: &str) -> bool {
        self.jobs.contains(job)
    }

    /// Adds a job. Returns `false` if the set is full.
    #[must_use]
    pub(super) fn record(&mut self, job: &str) -> bool {
        if self.jobs.len() >= MAX_REPORTED_CANCELLATIONS {
            return false;
        }
        self.jobs.insert(job.to_owned());
        true
    }

    /// Removes a job that the replica now shows as ended.
    pub(super) fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Removes all jobs that the replica shows as ended, after the replica was read again.
    pub(super) fn retain_unrecorded(&mut self, replica: &Replica) {
        self.jobs.retain(|job| {
            let record = replica.jobs.get(job);
            record.is_none_or(|r| r.value.stage == JobStage::Open)
        });
    }
}
