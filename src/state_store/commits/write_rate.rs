//! Adaptive limit on the changes per second that this controller sends: a 429 response lowers
//! the limit, successful commits raise it slowly.

use salttiller_protocol::http::Response;
use salttiller_records::units::Micros;

use crate::reactor::CallError;
use crate::settings::Settings;
use crate::state_store::rate_limiter::TokenBucket;

/// Factor by which a 429 response lowers the write rate.
const RATE_DECREASE: f64 = 0.7;
/// Changes per second by which each successful commit raises the write rate.
const RATE_INCREASE: f64 = 0.05;
/// Fraction of the service's write rate that all controllers may use together. The rest
/// allows for clock drift and retries.
const USABLE_RATE: f64 = 0.95;
/// Fraction of the service's write rate that one controller may use even if its even share is
/// smaller.
const BURST_SHARE: f64 = 0.4;
/// Minimum write rate of the leader as a multiple of that of another controller.
const LEADER_SHARES: f64 = 2.5;

/// The write rate limit and its bounds.
pub(super) struct WriteRate {
    /// Token bucket with one token per change.
    changes: TokenBucket,
    max_rate: f64,
    /// Lowest write rate that the state service allows all controllers together.
    min_total_rate: f64,
    /// Number of controllers that share the write rate.
    controllers: f64,
}

impl WriteRate {
    pub(super) fn new(settings: &Settings) -> Self {
        let controllers = settings.region_count() as f64;
        // Each controller may exceed its even share, because controllers rarely all write
        // much at the same time. If their total is too high, 429 responses lower each
        // controller towards its even share.
        let share = (USABLE_RATE / controllers).max(BURST_SHARE);
        let max_rate = settings.store_write_rate * share;
        WriteRate {
            changes: TokenBucket::new(max_rate),
            max_rate,
            min_total_rate: settings.min_store_write_rate,
            controllers,
        }
    }

    pub(super) fn refill(&mut self, now: Micros) {
        self.changes.refill(now);
    }

    /// Whether `changes` may be sent while the fraction `reserved` of the capacity is kept.
    pub(super) fn allows(&self, changes: usize, reserved: f64) -> bool {
        self.changes.allows(self.needed_level(changes, reserved))
    }

    /// Time until [`WriteRate::allows`] the changes.
    pub(super) fn time_until_allowed(&self, changes: usize, reserved: f64) -> Micros {
        self.changes
            .time_until_allowed(self.needed_level(changes, reserved))
    }

    fn needed_level(&self, changes: usize, reserved: f64) -> f64 {
        changes as f64 + self.changes.capacity() * reserved
    }

    /// Takes the tokens of `changes` that are sent.
    pub(super) fn take(&mut self, changes: usize) {
        self.changes.take(changes as f64);
    }

    /// Adapts the rate to a response. `is_leader` is whether this controller is the leader.
    pub(super) fn on_response(&mut self, result: &Result<Response, CallError>, is_leader: bool) {
        let rate = self.changes.rate();
        match result.as_ref().map(|response| response.status) {
            Ok(429) => {
                let min_rate = min_write_rate(self.min_total_rate, self.controllers, is_leader);
                self.changes.set_rate((rate * RATE_DECREASE).max(min_rate));
            }
            Ok(200) => {
                let raised = rate + RATE_INCREASE;
                self.changes.set_rate(raised.min(self.max_rate));
            }
            _ => {}
        }
    }

    /// Changes per second.
    #[cfg(test)]
    pub(super) fn rate(&self) -> f64 {
        self.changes.rate()
    }
}

/// Returns the minimum write rate of a controller, which repeated refusals don't lower.
/// The leader binds every job and records every machine in addition to the writes of its own
/// region. With an even share under a lowered limit, its changes, and with them every step of
/// a pipeline, waited for up to 20 s while the other controllers recorded progress.
pub(super) fn min_write_rate(total: f64, controllers: f64, is_leader: bool) -> f64 {
    let share = total * USABLE_RATE / (controllers - 1.0 + LEADER_SHARES);
    if is_leader {
        share * LEADER_SHARES
    } else {
        share
    }
}
