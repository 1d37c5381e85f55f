//! The long poll that brings the changes of the records as they are made.

use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};

/// How long the state service holds a poll back while nothing changes.
const POLL_WAIT: Micros = 5 * SECOND;
/// A poll may take this much longer than [`POLL_WAIT`].
const POLL_GRACE: Micros = 3 * SECOND;
/// Time after a failed poll until the next.
const RETRY: Micros = 500 * MILLISECOND;

/// The long poll: at most one is outstanding.
#[derive(Debug)]
pub(super) struct LongPoll {
    outstanding: bool,
    /// When the next may be sent.
    next_at: Micros,
    /// Least time from the end of a poll to the next.
    interval: Micros,
}

impl LongPoll {
    pub(super) fn new(interval: Micros) -> Self {
        LongPoll {
            outstanding: false,
            next_at: 0,
            interval,
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
        if self.outstanding {
            return;
        }
        if now < self.next_at || !calls.allow_another() {
            wake.no_later_than(self.next_at.max(now + calls.time_until_allowed()));
            return;
        }
        self.outstanding = true;
        let wait_ms = POLL_WAIT / MILLISECOND;
        calls.get(
            Operation::LongPoll { from: revision },
            format!("/follow?under={PREFIX}&from={revision}&waitMs={wait_ms}"),
            POLL_WAIT + POLL_GRACE,
        );
    }

    /// The outstanding poll was answered.
    pub(super) fn answered(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now + self.interval;
    }

    /// The outstanding poll brought no changes that could be used.
    pub(super) fn failed(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now + RETRY;
    }

    /// Ignores the outstanding poll; the next may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now;
    }
}
