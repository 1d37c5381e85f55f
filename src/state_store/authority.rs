//! Tracks how current the replica is and what an owner may do with it.

use salttiller_records::units::{Micros, SECOND};

use super::lease::Lease;

/// Maximum age of the last completed read for accepting requests and starting tasks.
pub const MAX_READ_AGE: Micros = 3 * SECOND;

/// What an owner may do at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Authority {
    /// The owner may do nothing: another controller may own the region, or a cancellation
    /// may have been missed.
    Expired,
    /// The owner may answer heartbeats, which keeps running tasks alive. The replica is too
    /// old to start tasks: a job may have been cancelled since the last read.
    HeartbeatsOnly,
    /// The owner may answer heartbeats and start tasks.
    Full,
}

/// Send time of the last completed read, and whether the last read failed.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// Send time of the last completed read.
    read_at: Option<Micros>,
    failing: bool,
}

impl Freshness {
    /// Send time of the last completed read, if there was one.
    pub(super) fn read_at(&self) -> Option<Micros> {
        self.read_at
    }

    /// Whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Records that the read sent at `sent_at` completed.
    pub(super) fn read_completed(&mut self, sent_at: Micros) {
        self.read_at = Some(self.read_at.unwrap_or(0).max(sent_at));
        self.failing = false;
    }

    /// Records that a read failed.
    pub(super) fn read_failed(&mut self) {
        self.failing = true;
    }

    /// Discards the time of the last completed read.
    pub(super) fn discard_reads(&mut self) {
        self.read_at = None;
    }

    /// Returns what an owner may do under its lease at `now`.
    ///
    /// Starting tasks and answering heartbeats have separate deadlines, because a missed
    /// cancellation has different consequences. A task that starts after the cancellation
    /// violates it at once; a task that keeps running violates it only after `cancel_s`. If
    /// heartbeat responses ended at the shorter deadline, every outage of the state service
    /// would end all tasks.
    pub(super) fn authority(&self, lease: &Lease, now: Micros) -> Authority {
        if now >= self.authority_until(lease) {
            Authority::Expired
        } else if self
            .read_at
            .is_some_and(|read_at| now < read_at + MAX_READ_AGE)
        {
            Authority::Full
        } else {
            Authority::HeartbeatsOnly
        }
    }

    /// Returns the time until which an owner may answer heartbeats under its lease, or 0 if
    /// it may not.
    pub(super) fn authority_until(&self, lease: &Lease) -> Micros {
        match (lease.renewed_at(), self.read_at) {
            (Some(renewed_at), Some(read_at)) => lease.safe_until(renewed_at.min(read_at)),
            _ => 0,
        }
    }
}
