//! The read barrier: a read of all changes up to "now", which proves that the copy was
//! complete when it was sent.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::changes::Watch;
use super::read_pacing::ReadPacing;

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
    pacing: ReadPacing,
    requested: bool,
}

impl ReadBarrier {
    /// Barriers of which one is sent `interval` after another at the earliest.
    pub(super) fn new(interval: Micros) -> Self {
        ReadBarrier {
            pacing: ReadPacing::new(interval),
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
        if self.pacing.is_outstanding() {
            return false;
        }
        let next_at = self.pacing.next_at();
        let due_at = if self.requested {
            next_at
        } else {
            next_at.max(read_at.unwrap_or(0) + SYNC_INTERVAL)
        };
        if now >= due_at && calls.allow_another() {
            return true;
        }
        wake.no_later_than(due_at.max(now + calls.time_until_allowed()));
        false
    }

    /// Sends a barrier.
    pub(super) fn send(&mut self, watch: Watch, now: Micros, calls: &mut Calls) {
        self.requested = false;
        self.pacing.sent();
        self.pacing.start_interval(now);
        let target = format!("/follow?under={PREFIX}&from={}&waitMs=0", watch.from);
        let operation = Operation::Barrier {
            sent_at: now,
            watch,
        };
        calls.get(operation, target, BARRIER_TIMEOUT);
    }

    /// The outstanding barrier was answered.
    pub(super) fn answered(&mut self) {
        self.pacing.ended();
    }

    /// The outstanding barrier failed.
    pub(super) fn failed(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.set_next_at(now + RETRY);
    }

    /// Ignores the outstanding barrier; the next may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.pacing.reset(now);
    }
}
