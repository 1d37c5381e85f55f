//! Measurement of the rate at which users poll their jobs, and detection of poll storms.

use super::conditions::Condition;
use salttiller_records::units::{to_seconds, Micros};

/// Multiple of the usual rate above which polls count as a storm.
const STORM_FACTOR: f64 = 4.0;
/// Minimum rate of a storm in polls per second, regardless of the usual rate.
const MIN_STORM_RATE: f64 = 20.0;
/// Weight of a new sample in the exponential moving average that forms the usual rate.
const SMOOTHING: f64 = 0.05;

/// Measures the rate of polls and compares it with the usual rate.
#[derive(Debug, Default)]
pub struct PollRate {
    /// Number of polls since the last sample.
    count: u32,
    /// Usual rate in polls per second; 0 before the first sample.
    usual: f64,
    sampled_at: Option<Micros>,
}

impl PollRate {
    /// Counts a poll.
    pub fn record(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Samples the rate since the last sample, and returns a condition if the rate is a storm. A
    /// storm is not included in the usual rate.
    pub fn sample(&mut self, now: Micros) -> Option<Condition> {
        let last = self.sampled_at.replace(now);
        let count = std::mem::take(&mut self.count);
        let seconds = to_seconds(now.saturating_sub(last?));
        if seconds <= 0.0 {
            return None;
        }
        let rate = f64::from(count) / seconds;
        if self.usual > 0.0 && rate > MIN_STORM_RATE && rate > self.usual * STORM_FACTOR {
            return Some(Condition::PollStorm {
                rate: rate as u32,
                usual: self.usual as u32,
            });
        }
        if self.usual == 0.0 {
            self.usual = rate;
        }
        self.usual += (rate - self.usual) * SMOOTHING;
        None
    }
}

#[cfg(test)]
mod tests;
