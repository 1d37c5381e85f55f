//! The long poll that delivers changes of records as they are committed.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::read_pacing::ReadPacing;

/// Time for which the state service holds a poll open while nothing changes.
const POLL_WAIT: Micros = 5 * SECOND;
/// Time that a poll may take beyond [`POLL_WAIT`].
const POLL_GRACE: Micros = 3 * SECOND;
/// Delay between a failed poll and the next one.
const RETRY_DELAY: Micros = 500 * MILLISECOND;

/// State of the long poll; at most one is outstanding.
#[derive(Debug)]
pub(super) struct LongPoll {
    pacing: ReadPacing,
}

impl LongPoll {
    /// Returns a long poll that starts at least `interval` after the end of the previous one.
    pub(super) fn new(interval: Micros) -> Self {
        LongPoll {
            pacing: ReadPacing::new(interval),
        }
    }

    /// Requests the changes after `revision` if no poll is outstanding.
    pub(super) fn pump(
        &mut self,
        revision: u64,
        now: Micros,
        calls: &mut Calls,
        wake: &mut WakeTime,
    ) {
        if self.pacing.is_outstanding() {
            return;
        }
        let next_at = self.pacing.next_at();
        if now < next_at || !calls.allows_request() {
            wake.no_later_than(next_at.max(now + calls.time_until_allowed()));
            return;
        }
        self.pacing.sent();
        let wait_ms = POLL_WAIT / MILLISECOND;
        calls.get(
            Operation::LongPoll { from: revision },
            format!("/follow?under={PREFIX}&from={revision}&waitMs={wait_ms}"),
            POLL_WAIT + POLL_GRACE,
        );
    }

    /// Records the response to the outstanding poll.
    pub(super) fn answered(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.start_interval(now);
    }

    /// Records that the outstanding poll failed, and schedules a retry.
    pub(super) fn failed(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.set_next_at(now + RETRY_DELAY);
    }

    /// Abandons the outstanding poll; the next one may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.pacing.reset(now);
    }
}
