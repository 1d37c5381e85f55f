//! The read barrier: a read of all changes up to "now", which proves that the copy was
//! complete when it was sent.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::changes::Watch;

/// How long after a complete read the next is sent without being asked for: keeps authority
/// and readiness up.
const SYNC_INTERVAL: Micros = SECOND;
/// Longest time a barrier may take.
const BARRIER_TIMEOUT: Micros = SECOND;
/// Time after a failed barrier until the next.
const RETRY: Micros = 250 * MILLISECOND;

/// The barrier: at most one is outstanding.
#[derive(Debug)]
pub(super) struct ReadBarrier {
    outstanding: bool,
    /// When the next may be sent.
    next_at: Micros,
    /// Least time from one to the next.
    interval: Micros,
    requested: bool,
}

impl ReadBarrier {
    pub(super) fn new(interval: Micros) -> Self {
        ReadBarrier {
            outstanding: false,
            next_at: 0,
            interval,
            requested: false,
        }
    }

    /// Asks for a barrier that begins after now.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a barrier is to be sent now; `read_at` is the send time of the last complete
    /// read. If not, and none is outstanding, `wake` is brought forward to when one is.
    #[must_use]
    pub(super) fn is_due(
        &self,
        read_at: Option<Micros>,
        now: Micros,
        calls: &Calls,
        wake: &mut WakeTime,
    ) -> bool {
        if self.outstanding {
            return false;
        }
        let due = if self.requested {
            self.next_at
        } else {
            (read_at.unwrap_or(0) + SYNC_INTERVAL).max(self.next_at)
        };
        if now >= due && calls.allow_another() {
            return true;
        }
        wake.no_later_than(due.max(now + calls.time_until_allowed()));
        false
    }

    /// Sends a barrier.
    pub(super) fn send(&mut self, watch: Watch, now: Micros, calls: &mut Calls) {
        self.outstanding = true;
        self.requested = false;
        self.next_at = now + self.interval;
        let target = format!("/follow?under={PREFIX}&from={}&waitMs=0", watch.from);
        let operation = Operation::Barrier {
            sent_at: now,
            watch,
        };
        calls.get(operation, target, BARRIER_TIMEOUT);
    }

    /// The outstanding barrier was answered.
    pub(super) fn answered(&mut self) {
        self.outstanding = false;
    }

    /// The outstanding barrier failed.
    pub(super) fn failed(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now + RETRY;
    }

    /// Ignores the outstanding barrier; the next may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now;
    }
}
