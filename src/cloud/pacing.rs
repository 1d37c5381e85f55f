//! Paces calls to the cloud: this controller's share of the rate limit, and backoff after
//! failures.

use crate::settings::Settings;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// The leader's share of the cloud's rate limit.
const LEADER_SHARE: f64 = 0.6;
/// Share of the rate limit that all other controllers divide among themselves.
const FOLLOWERS_SHARE: f64 = 0.3;
/// Number that is subtracted from the number of controllers to get the followers. The value is
/// slightly less than the one leader, so that all controllers together stay below the rate
/// limit.
const LEADER_COUNT: f64 = 0.99;
const MICROS_PER_SECOND: f64 = 1e6;
/// Base of the backoff, which doubles with each consecutive failure, including the first.
const BASE_BACKOFF: Micros = 300 * MILLISECOND;
/// Maximum number of consecutive failures that double the backoff.
const MAX_COUNTED_FAILURES: u32 = 6;
/// Maximum backoff after a failure.
const MAX_BACKOFF: Micros = 5 * SECOND;

/// Paces calls to the cloud.
pub(super) struct Pacing {
    follower_interval: Micros,
    leader_interval: Micros,
    leading: bool,
    next_call_at: Micros,
    failures: u32,
}

impl Pacing {
    /// Creates a pacing within this controller's share of the cloud's rate limit.
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
            next_call_at: 0,
            failures: 0,
        }
    }

    /// Sets whether this controller is the leader, whose share is larger.
    pub(super) fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
    }

    /// Returns the earliest time of the next call.
    pub(super) fn next_call_at(&self) -> Micros {
        self.next_call_at
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that a call is made, and delays the next one by the interval of this
    /// controller's share.
    pub(super) fn on_call(&mut self, now: Micros) {
        self.next_call_at = now
            + if self.leading {
                self.leader_interval
            } else {
                self.follower_interval
            };
    }

    /// Records that a call succeeded.
    pub(super) fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed, and delays the next one by exponential backoff.
    pub(super) fn on_failure(&mut self, now: Micros) {
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        self.next_call_at = now + (BASE_BACKOFF << self.failures).min(MAX_BACKOFF);
    }
}
