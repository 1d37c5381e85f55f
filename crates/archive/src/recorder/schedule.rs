//! When the recorder sends its next request. All times are readings of a monotonic clock.

use salttiller_records::units::{Micros, SECOND};

use super::request::Request;

/// How often the history is compared without an interruption.
const VERIFICATION_INTERVAL: Micros = 30 * SECOND;
/// Time to wait after a first failure; it doubles with each further one.
const MIN_BACKOFF: Micros = SECOND;
/// Longest time to wait after a failure, without jitter.
const MAX_BACKOFF: Micros = 30 * SECOND;
/// Greatest jitter, as a fraction of the backoff: one part in so many.
const JITTER_DIVISOR: u64 = 4;

/// How fast the recorder goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// Least time between two requests.
    pub request_interval: Micros,
    /// Least time between two requests for changes that may wait for one.
    pub watch_interval: Micros,
    /// Time from the end of one snapshot to the start of the next.
    pub snapshot_interval: Micros,
}

/// Times at which requests are due.
#[derive(Debug)]
pub(super) struct Schedule {
    pacing: Pacing,
    next_request: Micros,
    next_snapshot: Micros,
    next_verification: Micros,
    /// The last time waited after a failure; 0 after an answer.
    backoff: Micros,
}

impl Schedule {
    /// Everything is due at once.
    pub(super) fn new(pacing: Pacing) -> Self {
        Schedule {
            pacing,
            next_request: 0,
            next_snapshot: 0,
            next_verification: 0,
            backoff: 0,
        }
    }

    /// The earliest time at which a request may be sent.
    pub(super) fn earliest(&self, request: &Request) -> Micros {
        if request.wait() == 0 {
            return self.next_request;
        }
        let pacing = &self.pacing;
        self.next_request
            + pacing
                .watch_interval
                .saturating_sub(pacing.request_interval)
    }

    pub(super) fn request_ended(&mut self, now: Micros) {
        self.next_request = now + self.pacing.request_interval;
    }

    pub(super) fn reset_backoff(&mut self) {
        self.backoff = 0;
    }

    /// Waits longer with each failure in a row, and no less than the state service asks for.
    pub(super) fn back_off(&mut self, now: Micros, retry_after: Micros) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        let jitter = fastrand::u64(0..=self.backoff / JITTER_DIVISOR);
        self.next_request = now + (self.backoff + jitter).max(retry_after);
    }

    pub(super) fn is_snapshot_due(&self, now: Micros) -> bool {
        now >= self.next_snapshot
    }

    pub(super) fn set_next_snapshot(&mut self, at: Micros) {
        self.next_snapshot = at;
    }

    pub(super) fn snapshot_completed(&mut self, now: Micros) {
        self.next_snapshot = now + self.pacing.snapshot_interval;
    }

    pub(super) fn is_verification_due(&self, now: Micros) -> bool {
        now >= self.next_verification
    }

    pub(super) fn history_verified(&mut self, now: Micros) {
        self.next_verification = now + VERIFICATION_INTERVAL;
    }
}
