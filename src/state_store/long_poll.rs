//! The long poll that brings the changes of the records as they are made.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::read_pacing::ReadPacing;

/// How long the state service holds a poll back while nothing changes.
const POLL_WAIT: Micros = 5 * SECOND;
/// A poll may take this much longer than [`POLL_WAIT`].
const POLL_GRACE: Micros = 3 * SECOND;
/// Time after a failed poll until the next.
const RETRY: Micros = 500 * MILLISECOND;

/// The long poll: at most one is outstanding.
#[derive(Debug)]
pub(super) struct LongPoll {
    pacing: ReadPacing,
}

impl LongPoll {
    /// Polls of which one begins `interval` after the end of another at the earliest.
    pub(super) fn new(interval: Micros) -> Self {
        LongPoll {
            pacing: ReadPacing::new(interval),
        }
    }

    /// Asks for the changes after `revision` if no poll is outstanding.
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
        if now < next_at || !calls.allow_another() {
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

    /// The outstanding poll was answered.
    pub(super) fn answered(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.start_interval(now);
    }

    /// The outstanding poll brought no changes that could be used.
    pub(super) fn failed(&mut self, now: Micros) {
        self.pacing.ended();
        self.pacing.set_next_at(now + RETRY);
    }

    /// Ignores the outstanding poll; the next may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.pacing.reset(now);
    }
}
