//! Workers' reports as evidence of lost records.
//!
//! A report that contradicts the records needs a read of them that began after it came: a
//! token or a job may have been put on record a moment ago. Until then it is a suspicion, by
//! which nothing is done. After its start a controller withholds answers about unknown jobs
//! until workers have had the time to report: a store that was wiped looks like a new one.

use salttiller_records::units::{Micros, SECOND};

use crate::finding::Finding;

/// Report intervals in which every worker has reported, unless one report of it was lost.
const REPORT_INTERVALS_TO_PROOF: u64 = 2;
/// What is added to that for delays on the way.
const PROOF_MARGIN: Micros = 2 * SECOND;

/// What a worker's report says that can contradict the records.
#[derive(Debug, Clone, Copy)]
pub struct ReportEvidence<'a> {
    /// Machine.
    pub machine: &'a str,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// The last fencing token on record.
    pub recorded_token: u64,
    /// A job without a record of which the worker has a task.
    pub unknown_job: Option<&'a str>,
}

impl ReportEvidence<'_> {
    /// What the report would show, were the records complete.
    fn finding(&self) -> Option<Finding> {
        if self.token > self.recorded_token {
            return Some(Finding::TokenNotOnRecord {
                machine: self.machine.to_owned(),
                reported: self.token,
                recorded: self.recorded_token,
            });
        }
        self.unknown_job.map(|job| Finding::JobNotOnRecord {
            machine: self.machine.to_owned(),
            job: job.to_owned(),
        })
    }
}

/// Evidence that waits for a read.
#[derive(Debug)]
struct Suspicion {
    /// When the report came.
    reported_at: Micros,
    finding: Finding,
}

/// What a controller knows of the records' completeness. All times are readings of its
/// monotonic clock.
#[derive(Debug)]
pub struct Detection {
    proven_at: Micros,
    /// The first suspicion since the last read that could settle one.
    suspicion: Option<Suspicion>,
}

impl Detection {
    /// A controller that has just started; workers report once in `report`.
    #[must_use]
    pub fn starting(now: Micros, report: Micros) -> Self {
        Detection {
            proven_at: now + REPORT_INTERVALS_TO_PROOF * report + PROOF_MARGIN,
            suspicion: None,
        }
    }

    /// Whether workers have had the time to contradict the records.
    #[must_use]
    pub fn is_proven(&self, now: Micros) -> bool {
        now >= self.proven_at
    }

    /// Takes note of a report. Returns whether it contradicts the records as they are known:
    /// then it must not be acted on, and a read is needed.
    #[must_use]
    pub fn check_report(&mut self, reported: ReportEvidence<'_>, now: Micros) -> bool {
        let Some(finding) = reported.finding() else {
            return false;
        };
        let suspicion = Suspicion {
            reported_at: now,
            finding,
        };
        self.suspicion.get_or_insert(suspicion);
        true
    }

    /// Settles a suspicion by a completed read that was sent at `sent`. `recorded_token` is
    /// the last fencing token on record by it, `has_job` tells whether a job has a record.
    /// Returns the finding if the read confirms it.
    #[must_use]
    pub fn on_read(
        &mut self,
        sent: Micros,
        recorded_token: u64,
        has_job: impl Fn(&str) -> bool,
    ) -> Option<Finding> {
        // Sent before or with the report, it may show the records as they were before.
        let settled = self.suspicion.take_if(|s| s.reported_at < sent)?;
        let is_confirmed = match &settled.finding {
            Finding::TokenNotOnRecord { reported, .. } => *reported > recorded_token,
            Finding::JobNotOnRecord { job, .. } => !has_job(job),
            // No report shows any other.
            _ => true,
        };
        is_confirmed.then_some(settled.finding)
    }
}

#[cfg(test)]
mod tests;
