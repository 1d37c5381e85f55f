//! Exponential backoff with jitter between the attempts of a request.

use salttiller_records::units::Micros;

/// Delays of consecutive failed attempts.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    /// Number of failed attempts since the last success.
    failures: u32,
}

impl Backoff {
    /// Counts a failed attempt and returns the delay before the next one: `base`, doubled with each
    /// consecutive failure, at most `max`. A random half of the delay keeps controllers that
    /// failed together from retrying together.
    #[must_use]
    pub(super) fn next_delay(&mut self, base: Micros, max: Micros) -> Micros {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let delay = base.saturating_mul(factor).min(max);
        self.failures = self.failures.saturating_add(1);
        delay / 2 + fastrand::u64(0..=delay / 2)
    }

    /// Records a success: the next delay begins at the base again.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
