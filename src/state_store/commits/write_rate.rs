//! The rate of changes that this controller sends: lowered when the state service refuses,
//! raised again slowly.

use salttiller_protocol::http::Response;
use salttiller_records::units::Micros;

use crate::reactor::CallError;
use crate::settings::Settings;
use crate::state_store::rate_limiter::TokenBucket;

/// Factor by which a refusal for the rate lowers the rate of changes.
const RATE_DECREASE: f64 = 0.7;
/// Changes a second by which each commit raises it again.
const RATE_INCREASE: f64 = 0.05;
/// Part of the write rate that all controllers may use together: some is left for clocks
/// that run apart and requests that are tried again.
const USABLE_RATE: f64 = 0.95;
/// Part of the write rate that one controller may use even if its even share is less.
const BURST_SHARE: f64 = 0.4;
/// What the leader needs of the write rate, in shares of the others.
const LEADER_SHARES: f64 = 2.5;

/// The rate of changes, and its bounds.
pub(super) struct WriteRate {
    /// Changes that may be sent.
    changes: TokenBucket,
    max_rate: f64,
    /// The lowest rate of changes that the state service allows all controllers together.
    min_total_rate: f64,
    /// How many controllers share it.
    controllers: f64,
}

impl WriteRate {
    pub(super) fn new(settings: &Settings) -> Self {
        let controllers = settings.region_count() as f64;
        // More than an even share each, since not all have much to write at once;
        // when that is too much together, each comes down to its even share.
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

    /// Whether `changes` may be sent if the part `reserved` of the capacity is left.
    pub(super) fn allows(&self, changes: usize, reserved: f64) -> bool {
        self.changes.allows(self.needed_level(changes, reserved))
    }

    /// Time until [`WriteRate::allows`] them.
    pub(super) fn time_until_allowed(&self, changes: usize, reserved: f64) -> Micros {
        self.changes
            .time_until_allowed(self.needed_level(changes, reserved))
    }

    fn needed_level(&self, changes: usize, reserved: f64) -> f64 {
        changes as f64 + self.changes.capacity() * reserved
    }

    /// Counts changes that are sent.
    pub(super) fn take(&mut self, changes: usize) {
        self.changes.take(changes as f64);
    }

    /// Adapts the rate to a response; `leads`: whether this controller is the leader.
    pub(super) fn on_response(&mut self, result: &Result<Response, CallError>, leads: bool) {
        let rate = self.changes.rate();
        match result.as_ref().map(|response| response.status) {
            Ok(429) => {
                let least = min_write_rate(self.min_total_rate, self.controllers, leads);
                self.changes.set_rate((rate * RATE_DECREASE).max(least));
            }
            Ok(200) => {
                let raised = rate + RATE_INCREASE;
                self.changes.set_rate(raised.min(self.max_rate));
            }
            _ => {}
        }
    }

    /// Changes a second.
    #[cfg(test)]
    pub(super) fn rate(&self) -> f64 {
        self.changes.rate()
    }
}

/// The rate of changes below which a controller doesn't go, however often it is refused.
/// The leader binds every job and records every machine in addition to what its own region
/// needs. With an even share its changes waited for up to 20 s under a lowered limit, and
/// every step of a pipeline with them, while the others recorded progress.
pub(super) fn min_write_rate(total: f64, controllers: f64, leads: bool) -> f64 {
    let share = total * USABLE_RATE / (controllers - 1.0 + LEADER_SHARES);
    if leads {
        share * LEADER_SHARES
    } else {
        share
    }
}
