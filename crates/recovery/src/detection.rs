//! Detects lost records from workers' heartbeats.
//!
//! A heartbeat that contradicts the records proves a loss only after a read that was sent after the
//! heartbeat arrived, because a token or a job may have been recorded a moment ago. Until such a
//! read completes, the contradiction is a suspicion, on which the controller does not act.
//!
//! A new controller does not respond to requests about unknown jobs until workers have had time to
//! send heartbeats, because a wiped store looks like a new one.

use salttiller_records::units::{Micros, SECOND};

use crate::finding::Finding;

/// Number of heartbeat intervals within which every worker has sent a heartbeat, unless one of
/// its heartbeats was lost.
const VERIFICATION_INTERVALS: u64 = 2;
/// Additional time for network delays.
const VERIFICATION_MARGIN: Micros = 2 * SECOND;

/// The content of a worker's heartbeat that may contradict the records.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatEvidence<'a> {
    /// Name of the worker's machine.
    pub machine: &'a str,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// Last recorded fencing token.
    pub recorded_token: u64,
    /// A job that has no record although the worker has one of its tasks.
    pub unknown_job: Option<&'a str>,
}

impl HeartbeatEvidence<'_> {
    /// Returns what the heartbeat proves if the records are up to date.
    fn finding(&self) -> Option<Finding> {
        if self.token > self.recorded_token {
            return Some(Finding::UnrecordedToken {
                machine: self.machine.to_owned(),
                reported: self.token,
                recorded: self.recorded_token,
            });
        }
        self.unknown_job.map(|job| Finding::UnrecordedJob {
            machine: self.machine.to_owned(),
            job: job.to_owned(),
        })
    }
}

/// A possible finding that must be confirmed by a read.
#[derive(Debug)]
struct Suspicion {
    /// Time at which the heartbeat arrived.
    received_at: Micros,
    finding: Finding,
}

/// Compares workers' heartbeats with the records of the state service. All times are readings of
/// the controller's monotonic clock.
#[derive(Debug)]
pub struct LossDetector {
    /// Time after which the records count as verified, because workers have had enough time since
    /// the controller's start to contradict them.
    verified_at: Micros,
    /// First suspicion since the last read that could confirm one.
    suspicion: Option<Suspicion>,
}

impl LossDetector {
    /// Returns the detector of a controller that starts at `now`. `heartbeat_interval` is the
    /// workers' interval between heartbeats.
    #[must_use]
    pub fn new(now: Micros, heartbeat_interval: Micros) -> Self {
        LossDetector {
            verified_at: now + VERIFICATION_INTERVALS * heartbeat_interval + VERIFICATION_MARGIN,
            suspicion: None,
        }
    }

    /// Returns the time from which the records count as verified.
    #[must_use]
    pub fn verified_at(&self) -> Micros {
        self.verified_at
    }

    /// Whether workers have had enough time since the controller's start to contradict the records.
    #[must_use]
    pub fn is_verified(&self, now: Micros) -> bool {
        now >= self.verified_at
    }

    /// Compares a heartbeat with the known records. Returns whether it contradicts them. If so, the
    /// caller must not act on the heartbeat and must request a read.
    #[must_use]
    pub fn check_heartbeat(&mut self, evidence: HeartbeatEvidence<'_>, now: Micros) -> bool {
        let Some(finding) = evidence.finding() else {
            return false;
        };
        let suspicion = Suspicion {
            received_at: now,
            finding,
        };
        self.suspicion.get_or_insert(suspicion);
        true
    }

    /// Confirms or discards a suspicion after the completion of a read that was sent at `sent`.
    /// `recorded_token` is the last recorded fencing token according to the read, and `has_job`
    /// returns whether a job has a record. Returns the finding if the read confirms it.
    #[must_use]
    pub fn check_read(
        &mut self,
        sent: Micros,
        recorded_token: u64,
        has_job: impl Fn(&str) -> bool,
    ) -> Option<Finding> {
        // A read that was not sent after the heartbeat arrived may show older records.
        let suspicion = self.suspicion.take_if(|s| s.received_at < sent)?;
        let is_confirmed = match &suspicion.finding {
            Finding::UnrecordedToken { reported, .. } => *reported > recorded_token,
            Finding::UnrecordedJob { job, .. } => !has_job(job),
            // A heartbeat can't cause any other finding.
            _ => true,
        };
        is_confirmed.then_some(suspicion.finding)
    }
}

#[cfg(test)]
mod tests;
