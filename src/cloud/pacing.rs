//! When the next call to the cloud may be made: the share of its rate, and backoff.

use crate::settings::Settings;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// The leader's share of the cloud's rate.
const LEADER_SHARE: f64 = 0.6;
/// What all other controllers share.
const FOLLOWERS_SHARE: f64 = 0.3;
/// The leader is taken off the number of controllers, but for a margin: what all use together
/// stays below the rate.
const LEADER_COUNT: f64 = 0.99;
const MICROS_PER_SECOND: f64 = 1e6;
/// Backoff after a failure is this, doubled for each failure in a row ...
const BACKOFF_BASE: Micros = 300 * MILLISECOND;
/// ... so many of which count ...
const MAX_FAILURES: u32 = 6;
/// ... up to this.
const MAX_BACKOFF: Micros = 5 * SECOND;

/// Paces calls to the cloud.
pub(super) struct Pacing {
    follower_interval: Micros,
    leader_interval: Micros,
    leading: bool,
    next_at: Micros,
    failures: u32,
}

impl Pacing {
    /// Pacing within this controller's share of the cloud's rate.
    pub(super) fn new(settings: &Settings) -> Self {
        let followers = (settings.region_count() as f64 - LEADER_COUNT).max(1.0);
        let interval = |share: f64| {
            let calls_per_second = settings.cloud_request_rate * share;
            (MICROS_PER_SECOND / calls_per_second) as Micros
        };
        Pacing {
            follower_interval: interval(FOLLOWERS_SHARE / followers),
            leader_interval: interval(LEADER_SHARE),
            leading: false,
            next_at: 0,
            failures: 0,
        }
    }

    /// Sets whether this controller leads, which gives it the larger share.
    pub(super) fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
    }

    /// The earliest time of the next call.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// A call is made.
    pub(super) fn on_call(&mut self, now: Micros) {
        self.next_at = now
            + if self.leading {
                self.leader_interval
            } else {
                self.follower_interval
            };
    }

    /// A call succeeded.
    pub(super) fn on_success(&mut self) {
        self.failures = 0;
    }

    /// A call failed: the next one waits for exponential backoff.
    pub(super) fn on_failure(&mut self, now: Micros) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.next_at = now + (BACKOFF_BASE << self.failures).min(MAX_BACKOFF);
    }
}
