//! Timing of the recorder's requests. All times are readings of the monotonic clock.

use salttiller_records::units::{Micros, SECOND};

use super::request::Request;

/// Time between two comparisons of the history while no request fails.
const VERIFICATION_INTERVAL: Micros = 30 * SECOND;
/// Backoff after the first failure. The backoff doubles with each consecutive failure.
const MIN_BACKOFF: Micros = SECOND;
/// Maximum backoff, without jitter.
const MAX_BACKOFF: Micros = 30 * SECOND;
/// The maximum jitter is the backoff divided by this number.
const JITTER_DIVISOR: u64 = 4;

/// Rates of the recorder's requests and snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// Minimum time between two requests.
    pub request_interval: Micros,
    /// Minimum time between two watch requests that may wait for a change.
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
    /// The last backoff, without jitter; 0 after a usable response.
    backoff: Micros,
}

impl Schedule {
    /// Creates a schedule in which everything is due at once.
    pub(super) fn new(pacing: Pacing) -> Self {
        Schedule {
            pacing,
            next_request: 0,
            next_snapshot: 0,
            next_verification: 0,
            backoff: 0,
        }
    }

    /// Returns the earliest time at which a request may be sent.
    pub(super) fn earliest_send_time(&self, request: &Request) -> Micros {
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

    /// Delays the next request by an exponential backoff with jitter, and by no less than the
    /// state service requests.
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
