//! Arrival rate of work: the processor time that flexible jobs add per unit of time.

use std::collections::VecDeque;

use salttiller_records::units::{Micros, SECOND};

/// Work submitted within one bucket width.
#[derive(Debug)]
struct Bucket {
    started_at: Micros,
    /// Millionths of a processor times microseconds.
    work: f64,
}

/// Recently submitted work, in buckets of one second.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    /// Start of the measurement; jobs submitted earlier are not counted.
    counted_from: Micros,
    buckets: VecDeque<Bucket>,
}

impl ArrivalRate {
    /// Length of the averaging window. The window is long enough to smooth bursts: a machine
    /// rented for a single burst is billed for at least one minute.
    const WINDOW: Micros = 90 * SECOND;
    /// Time at the start of a term during which submitted jobs are not counted. Jobs that
    /// accumulated while there was no leader would otherwise raise the rate.
    const BACKLOG_GRACE: Micros = 12 * SECOND;
    /// Minimum measurement time before a rate is returned.
    const MIN_SPAN: Micros = 20 * SECOND;
    /// Width of a bucket. A fixed width bounds the number of buckets at any submission rate.
    const BUCKET_WIDTH: Micros = SECOND;

    pub(super) fn new(now: Micros) -> Self {
        ArrivalRate {
            counted_from: now + Self::BACKLOG_GRACE,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a job's work at its submission time. A job may be bound much later than it was
    /// submitted when many jobs arrive at once.
    pub(super) fn add(&mut self, work: f64, submitted_at: Micros) {
        if submitted_at < self.counted_from {
            return;
        }
        match self.buckets.back_mut() {
            Some(last) if submitted_at < last.started_at + Self::BUCKET_WIDTH => last.work += work,
            _ => self.buckets.push_back(Bucket {
                started_at: submitted_at,
                work,
            }),
        }
    }

    /// Returns how many processors the arriving work keeps busy, in millionths, or `None` before
    /// the measurement has lasted `MIN_SPAN`.
    pub(super) fn rate(&mut self, now: Micros) -> Option<f64> {
        let window_start = now.saturating_sub(Self::WINDOW);
        while self
            .buckets
            .front()
            .is_some_and(|first| first.started_at < window_start)
        {
            self.buckets.pop_front();
        }
        let span = now.saturating_sub(self.counted_from.max(window_start));
        let work: f64 = self.buckets.iter().map(|bucket| bucket.work).sum();
        (span >= Self::MIN_SPAN).then(|| work / span as f64)
    }
}

#[cfg(test)]
mod tests;
