//! Adaptive concurrency limit on requests in progress, based on the measured latency of the
//! state service (additive increase, multiplicative decrease).
//!
//! The limit increases while the latency is near the lowest that was measured and the limit is
//! being reached. The limit decreases when the latency is much higher.

use hdrhistogram::Histogram;

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// Limit at startup, in requests in progress.
const INITIAL_LIMIT: f64 = 32.0;
/// Lower bound of the limit.
pub(super) const MIN_LIMIT: f64 = 4.0;
/// Amount by which the limit increases after a window.
const LIMIT_INCREASE: f64 = 4.0;
/// Factor by which the limit is multiplied after a slow window.
const DECREASE_FACTOR: f64 = 0.8;
/// The limit counts as reached if the peak of requests in progress, multiplied by this factor, is
/// at least the limit.
const PEAK_HEADROOM: f64 = 1.2;
/// Minimum length of a window over which latency is evaluated.
const MIN_WINDOW: Micros = SECOND;
/// Minimum number of latencies in a window.
const MIN_SAMPLES: u64 = 4;
/// Quantile of the latencies in a window that is evaluated.
const LATENCY_QUANTILE: f64 = 0.8;
/// A window is slow if its quantile exceeds the baseline latency multiplied by this factor, plus
/// [`SLOW_ALLOWANCE`].
const SLOW_FACTOR: u64 = 3;
/// Latency that is added to the threshold of a slow window, so that jitter of short latencies does
/// not make a window slow.
const SLOW_ALLOWANCE: Micros = 50 * MILLISECOND;
/// Maximum latency that is recorded; longer latencies count as this one.
const MAX_LATENCY: Micros = 60 * SECOND;

/// Adaptive limit on the number of requests in progress.
pub struct ConcurrencyLimiter {
    limit: f64,
    max_limit: f64,
    latencies: Histogram<u64>,
    /// Lowest latency quantile of the past windows, increased slightly after each window.
    baseline_latency: Option<Micros>,
    window_ends_at: Micros,
    /// Maximum number of requests in progress since the last window.
    peak: usize,
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose limit never exceeds `max_limit`. A `max_limit` below the lower bound
    /// of the limit is raised to that bound.
    pub fn new(max_limit: usize) -> Self {
        let max_limit = (max_limit as f64).max(MIN_LIMIT);
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT.min(max_limit),
            max_limit,
            // Creating a histogram fails only if the bounds or the precision are invalid; both are
            // constants here.
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY, 2)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
            baseline_latency: None,
            window_ends_at: 0,
            peak: 0,
        }
    }

    /// Whether another request may be admitted while `in_progress` others are in progress.
    pub fn admits(&mut self, in_progress: usize) -> bool {
        self.peak = self.peak.max(in_progress + 1);
        in_progress < self.limit()
    }

    /// Returns the current limit.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records the latency of a request to the state service that was completed at `now`, and
    /// adjusts the limit at the end of a window.
    pub fn record_latency(&mut self, latency: Micros, now: Micros) {
        self.latencies.saturating_record(latency.max(1));
        if now < self.window_ends_at || self.latencies.len() < MIN_SAMPLES {
            return;
        }
        let quantile = self.latencies.value_at_quantile(LATENCY_QUANTILE);
        self.latencies.reset();
        self.window_ends_at = now + MIN_WINDOW;
        self.adjust_limit(quantile);
    }

    /// Adjusts the limit after a window with this latency quantile.
    fn adjust_limit(&mut self, quantile: Micros) {
        let baseline = self
            .baseline_latency
            .map_or(quantile, |baseline| baseline.min(quantile));
        // The baseline increases by 2 % per window, so that a single exceptionally fast window does
        // not determine it permanently.
        self.baseline_latency = Some(baseline + baseline / 50 + 1);
        if quantile > SLOW_FACTOR * baseline + SLOW_ALLOWANCE {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if self.peak as f64 * PEAK_HEADROOM >= self.limit {
            self.limit = (self.limit + LIMIT_INCREASE).min(self.max_limit);
        }
        self.peak = 0;
    }
}
