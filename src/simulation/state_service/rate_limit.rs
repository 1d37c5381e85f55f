//! Limit of the simulated state service on requests or changes per second.

use salttiller_records::units::{Micros, SECOND};

/// A limit per second that all controllers share, with bursts of one second's worth.
pub(super) struct RateLimit {
    per_second: f64,
    /// What is left of the limit now.
    available: f64,
    updated_at: Micros,
}

impl RateLimit {
    pub(super) fn new(per_second: f64) -> Self {
        RateLimit {
            per_second,
            available: per_second,
            updated_at: 0,
        }
    }

    /// Takes `amount` from the limit and returns true, or returns false if less is left.
    pub(super) fn take(&mut self, amount: f64, now: Micros) -> bool {
        let elapsed = (now - self.updated_at) as f64 / SECOND as f64;
        self.available = (self.available + elapsed * self.per_second).min(self.per_second);
        self.updated_at = now;
        let is_allowed = self.available >= amount;
        if is_allowed {
            self.available -= amount;
        }
        is_allowed
    }
}
