//! The read barrier: a read of all changes up to "now". A completed barrier proves that the
//! replica contains every commit made before the barrier was sent.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::changes::Watch;
use super::read_pacing::ReadPacing;

/// Interval from a completed read to the next barrier if none is requested earlier. These
/// barriers maintain the owner's authority and the readiness of the controller.
const SYNC_INTERVAL: Micros = SECOND;
/// Timeout of a barrier.
const BARRIER_TIMEOUT: Micros = SECOND;
/// Delay between a failed barrier and the next one.
const RETRY_DELAY: Micros = 250 * MILLISECOND;

/// State of the read barrier; at most one is outstanding.
#[derive(Debug)]
pub(super) struct ReadBarrier {
    pacing: ReadPacing,
    requested: bool,
}

impl ReadBarrier {
    /// Returns a barrier that is sent at most once per `interval`.
    pub(super) fn new(interval: Micros) -> Self {
        ReadBarrier {
            pacing: ReadPacing::new(interval),
            requested: false,
        }
    }

    /// Requests a barrier that is sent after this call.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Whether to send a barrier now; `read_at` is the send time of the last completed read.
    /// If no barrier is due or outstanding, lowers `wake` to the time at which the next one
    /// is due.
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
        if now >= due_at && calls.allows_request() {
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

    /// Records the response to the outstanding barrier.
    pub(super) fn answered(&mut self) {
        self.pacing.ended();
    }

    /// Records that the outstanding barrier failed, and schedules a retry.
    pub(super) fn failed(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.set_next_at(now + RETRY_DELAY);
    }

    /// Abandons the outstanding barrier; the next one may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.pacing.reset(now);
    }
}
