//! A token bucket that keeps the client within the rate limits of the state service.
//!
//! [`Calls`](super::calls::Calls) uses one for requests and the commit queue another one for
//! changes.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// Minimum capacity, so that a bucket with a very low rate still allows two calls in a row.
const MIN_CAPACITY: f64 = 2.0;

/// A bucket of tokens. Its capacity is the number of tokens of one second at the initial rate, but
/// at least [`MIN_CAPACITY`].
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Tokens in the bucket; negative after calls that don't wait for tokens.
    level: f64,
    capacity: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Returns a full bucket that is refilled at `rate` tokens per second.
    pub(super) fn new(rate: f64) -> Self {
        let capacity = rate.max(MIN_CAPACITY);
        TokenBucket {
            rate,
            level: capacity,
            capacity,
            refilled_at: 0,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether the bucket holds `cost` tokens. A full bucket suffices for a cost above the
    /// capacity, which would never be allowed otherwise.
    pub(super) fn allows(&self, cost: f64) -> bool {
        self.level >= cost.min(self.capacity)
    }

    /// Takes `cost` tokens, even if the bucket holds fewer.
    pub(super) fn take(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Time until the bucket allows `cost` tokens.
    pub(super) fn time_until_allowed(&self, cost: f64) -> Micros {
        let missing = cost.min(self.capacity) - self.level;
        if missing <= 0.0 {
            0
        } else {
            (missing / self.rate * SECOND as f64) as Micros + MILLISECOND
        }
    }

    /// Maximum number of tokens in the bucket.
    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate but neither the capacity nor the level.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }
}
