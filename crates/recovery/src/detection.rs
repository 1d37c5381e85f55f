//! From what a controller sees to a finding.
//!
//! Evidence from workers needs a read of the records that began after it came: a token or a
//! job may have been put on record a moment ago. Until then it is a suspicion, and nothing is
//! done by it. After its start a controller withholds answers about unknown jobs until workers
//! have had the time to report: a store that was wiped looks like one that is new.

use salttiller_records::units::{Micros, SECOND};

use crate::finding::Finding;

/// What a worker's report says that can speak against the records.
#[derive(Debug, Clone, Copy)]
pub struct Reported<'a> {
    /// Machine.
    pub machine: &'a str,
    /// Highest token that the worker has seen.
    pub token: u64,
    /// The last token on record.
    pub recorded_token: u64,
    /// A job without a record of which it has a task.
    pub unknown_job: Option<&'a str>,
}

impl Reported<'_> {
    /// What it would show, were the records complete.
    fn finding(&self) -> Option<Finding> {
        if self.token > self.recorded_token {
            return Some(Finding::TokenUnknown {
                machine: self.machine.to_owned(),
                reported: self.token,
                recorded: self.recorded_token,
            });
        }
        self.unknown_job.map(|job| Finding::JobUnknown {
            machine: self.machine.to_owned(),
            job: job.to_owned(),
        })
    }
}

/// Evidence that waits for a read.
#[derive(Debug)]
struct Suspicion {
    /// When the report came.
    came: Micros,
    finding: Finding,
}

/// How a controller stands towards the records.
#[derive(Debug)]
pub struct Detection {
    proven_at: Micros,
    suspicion: Option<Suspicion>,
}

impl Detection {
    /// A controller that has just started; workers report once in `report`.
    pub fn starting(now: Micros, report: Micros) -> Self {
        Detection {
            proven_at: now + 2 * report + 2 * SECOND,
            suspicion: None,
        }
    }

    /// Whether workers have had the time to speak against the records.
    pub fn is_proven(&self, now: Micros) -> bool {
        now >= self.proven_at
    }

    /// Looks at a report; whether it speaks against the records as they are known. If so it
    /// must not be acted on, and a read is wanted.
    pub fn look_at(&mut self, reported: Reported<'_>, now: Micros) -> bool {
        let Some(finding) = reported.finding() else {
            return false;
        };
        let suspicion = Suspicion { came: now, finding };
        self.suspicion.get_or_insert(suspicion);
        true
    }

    /// A read sent at `sent` is complete. `recorded_token` is the last one on record by it,
    /// `has_job` tells whether a job has a record.
    pub fn on_read(
        &mut self,
        sent: Micros,
        recorded_token: u64,
        has_job: impl Fn(&str) -> bool,
    ) -> Option<Finding> {
        // Sent before or with the report, it may show the records as they were before.
        let Suspicion { finding, .. } = self.suspicion.take_if(|s| s.came < sent)?;
        let holds = match &finding {
            Finding::TokenUnknown { reported, .. } => *reported > recorded_token,
            Finding::JobUnknown { job, .. } => !has_job(job),
            _ => true,
        };
        holds.then_some(finding)
    }
}

#[cfg(test)]
mod tests;
