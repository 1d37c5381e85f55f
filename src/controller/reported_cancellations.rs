//! Cancellations that peers report before the replica shows them.

use std::collections::BTreeSet;

use salttiller_records::record::JobStage;

use crate::state_store::replica::Replica;

/// Most cancellations that are remembered until the replica shows them.
const MAX_REPORTED_CANCELLATIONS: usize = 10_000;

/// Jobs that peers report as cancelled and that the replica may still show as open. They carry
/// no authority: they only keep tasks of these jobs from starting.
#[derive(Debug, Default)]
pub(super) struct ReportedCancellations {
    jobs: BTreeSet<String>,
}

impl ReportedCancellations {
    /// The jobs by name.
    pub(super) fn jobs(&self) -> &BTreeSet<String> {
        &self.jobs
    }

    /// Whether a job was reported as cancelled.
    pub(super) fn contains(&self, job: &str) -> bool {
        self.jobs.contains(job)
    }

    /// Remembers a job; `false` if there are too many already.
    #[must_use]
    pub(super) fn record(&mut self, job: &str) -> bool {
        if self.jobs.len() >= MAX_REPORTED_CANCELLATIONS {
            return false;
        }
        self.jobs.insert(job.to_owned());
        true
    }

    /// Forgets a job whose end the replica now shows.
    pub(super) fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Forgets all jobs whose end the replica shows, after it was read anew.
    pub(super) fn retain_unrecorded(&mut self, replica: &Replica) {
        self.jobs.retain(|job| {
            let record = replica.jobs.get(job);
            record.is_none_or(|r| r.value.stage == JobStage::Open)
        });
    }
}
