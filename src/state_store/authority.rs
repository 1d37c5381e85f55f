//! How current the copy of the records is, and how far an owner or leader may act by it.

use salttiller_records::units::{Micros, SECOND};

use super::lease::Lease;

/// How old the last complete read may be for requests to be accepted and tasks to be started.
pub const FRESH_FOR: Micros = 3 * SECOND;

/// How far an owner may act just now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Authority {
    /// Not at all: another may own the region, or jobs may have been cancelled unnoticed.
    Ended,
    /// It may answer heartbeats and so keep running tasks alive, but its copy is too old to
    /// start any by: a job may have been cancelled since.
    Answering,
    /// It may start tasks, too.
    Starting,
}

/// How current the copy is: the complete reads and whether the last one failed.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// Send time of the last complete read.
    read_at: Option<Micros>,
    failing: bool,
}

impl Freshness {
    /// Send time of the last complete read, if there was one.
    pub(super) fn read_at(&self) -> Option<Micros> {
        self.read_at
    }

    /// Whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// A read sent at `sent_at` is complete.
    pub(super) fn read_completed(&mut self, sent_at: Micros) {
        self.read_at = Some(self.read_at.unwrap_or(0).max(sent_at));
        self.failing = false;
    }

    /// A read failed.
    pub(super) fn read_failed(&mut self) {
        self.failing = true;
    }

    /// Nothing that was read counts any more.
    pub(super) fn forget_reads(&mut self) {
        self.read_at = None;
    }

    /// How far an owner may act under its lease.
    ///
    /// There are two deadlines, since a lost cancellation costs differently: a task started
    /// after it is noticed at once, one that runs on not before `cancel_s`. If answers to
    /// heartbeats ended with the shorter one, each outage would end all tasks.
    pub(super) fn authority(&self, lease: &Lease, now: Micros) -> Authority {
        if now >= self.authority_until(lease) {
            Authority::Ended
        } else if self
            .read_at
            .is_some_and(|read_at| now < read_at + FRESH_FOR)
        {
            Authority::Starting
        } else {
            Authority::Answering
        }
    }

    /// Until when an owner may answer heartbeats under its lease; 0 if it may not.
    pub(super) fn authority_until(&self, lease: &Lease) -> Micros {
        match (lease.renewed_at(), self.read_at) {
            (Some(renewed_at), Some(read_at)) => lease.safe_until(renewed_at.min(read_at)),
            _ => 0,
        }
    }
}
