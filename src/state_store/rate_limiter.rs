//! A token bucket: paces what is sent to the state service under its rates.
//!
//! Used for the requests of [`Calls`](super::calls::Calls) and for the changes of the
//! commit queue. It touches nothing but its own level.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// Least capacity, so that a bucket with a very low rate still lets a pair of calls through.
const MIN_CAPACITY: f64 = 2.0;

/// A bucket of tokens that fills at a rate and holds at most a second's worth.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens in the bucket; below zero after calls that don't wait for it.
    level: f64,
    capacity: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket that fills at `rate` tokens a second.
    pub(super) fn new(rate: f64) -> Self {
        let capacity = rate.max(MIN_CAPACITY);
        TokenBucket {
            rate,
            level: capacity,
            capacity,
            refilled_at: 0,
        }
    }

    /// Adds the tokens of the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether `cost` tokens are there. A cost above the capacity would never be: for such
    /// a full bucket is enough.
    pub(super) fn allows(&self, cost: f64) -> bool {
        self.level >= cost.min(self.capacity)
    }

    /// Takes `cost` tokens, whether they are there or not.
    pub(super) fn take(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Time until `cost` tokens are there.
    pub(super) fn time_until_allowed(&self, cost: f64) -> Micros {
        let missing = cost.min(self.capacity) - self.level;
        if missing <= 0.0 {
            0
        } else {
            (missing / self.rate * SECOND as f64) as Micros + MILLISECOND
        }
    }

    /// Most tokens that it holds.
    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens a second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate; capacity and level stay.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }
}
