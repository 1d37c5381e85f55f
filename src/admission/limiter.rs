//! A concurrency limit on requests in progress, adjusted to measured latency: additive
//! increase while the state service is as fast as it has shown it can be and the limit is
//! being reached, multiplicative decrease when it gets slow.

use hdrhistogram::Histogram;

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// The limit at the start.
const INITIAL_LIMIT: f64 = 32.0;
/// The limit never falls below this.
pub(super) const MIN_LIMIT: f64 = 4.0;
/// By how much the limit grows in a window.
const INCREASE: f64 = 4.0;
/// The share of the limit that is left after a slow window.
const DECREASE_FACTOR: f64 = 0.8;
/// The limit counts as reached when the peak, times this, comes up to it.
const PEAK_HEADROOM: f64 = 1.2;
/// The shortest time over which latency is judged.
const WINDOW: Micros = SECOND;
/// The fewest latencies in a window that are judged.
const MIN_SAMPLES: u64 = 4;
/// The quantile of latencies that is judged.
const QUANTILE: f64 = 0.8;
/// A window is slow if its quantile exceeds so many times the best one ...
const SLOW_FACTOR: u64 = 3;
/// ... and this, which hides the jitter of short latencies.
const SLOW_ALLOWANCE: Micros = 50 * MILLISECOND;
/// The longest latency that is told from longer ones.
const MAX_LATENCY: Micros = 60 * SECOND;

/// A concurrency limiter.
pub struct ConcurrencyLimiter {
    limit: f64,
    max_limit: f64,
    latencies: Histogram<u64>,
    /// The best quantile of any window, slowly rising: what is possible here.
    best_quantile: Option<Micros>,
    window_ends: Micros,
    /// The most requests in progress since the last window.
    peak: usize,
}

impl ConcurrencyLimiter {
    /// A limiter that never lets more than `max_limit` requests in.
    pub fn new(max_limit: usize) -> Self {
        let max_limit = (max_limit as f64).max(MIN_LIMIT);
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT.min(max_limit),
            max_limit,
            // It fails only on bounds or precision out of range; these are constants.
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY, 2)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
            best_quantile: None,
            window_ends: 0,
            peak: 0,
        }
    }

    /// Whether one more request may come in beside `in_progress` others.
    pub fn admits(&mut self, in_progress: usize) -> bool {
        self.peak = self.peak.max(in_progress + 1);
        in_progress < self.limit()
    }

    /// The limit now.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records the latency of a read of the state service that ended at `now`, and adjusts
    /// the limit once a window is over.
    pub fn record_latency(&mut self, latency: Micros, now: Micros) {
        self.latencies.saturating_record(latency.max(1));
        if now < self.window_ends || self.latencies.len() < MIN_SAMPLES {
            return;
        }
        let quantile = self.latencies.value_at_quantile(QUANTILE);
        self.latencies.reset();
        self.window_ends = now + WINDOW;
        self.adjust(quantile);
    }

    /// Adjusts the limit after a window with this quantile of latencies.
    fn adjust(&mut self, quantile: Micros) {
        let best = self
            .best_quantile
            .map_or(quantile, |best| best.min(quantile));
        // Rises by 2 % a window, so that one lucky window doesn't set the bar for ever.
        self.best_quantile = Some(best + best / 50 + 1);
        if quantile > SLOW_FACTOR * best + SLOW_ALLOWANCE {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if self.peak as f64 * PEAK_HEADROOM >= self.limit {
            self.limit = (self.limit + INCREASE).min(self.max_limit);
        }
        self.peak = 0;
    }
}
