//! How much work arrives: the rate at which flexible jobs bring processor time.

use std::collections::VecDeque;

use salttiller_records::units::{Micros, SECOND};

/// Work that arrived within one second.
#[derive(Debug)]
struct Bucket {
    started_at: Micros,
    /// Millionths of a processor times microseconds.
    work: f64,
}

/// Work that arrived lately, in buckets of a second.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    /// Jobs submitted before are not counted.
    counted_from: Micros,
    buckets: VecDeque<Bucket>,
}

impl ArrivalRate {
    /// How far back the rate looks: long enough to even out bursts, since a machine that comes
    /// and goes with each costs a minute at least.
    const WINDOW: Micros = 90 * SECOND;
    /// Jobs submitted in the first while of a term are not counted: they have piled up while
    /// there was no leader and would be taken for a higher rate.
    const BACKLOG_GRACE: Micros = 12 * SECOND;
    /// No rate is given before jobs have been counted for this long: too little to go by.
    const MIN_SPAN: Micros = 20 * SECOND;
    /// Width of a bucket: bounds how many there are, whatever the rate of submissions.
    const BUCKET_WIDTH: Micros = SECOND;

    pub(super) fn new(now: Micros) -> Self {
        ArrivalRate {
            counted_from: now + Self::BACKLOG_GRACE,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a job's work by the time of its submission, which may be long before it is bound
    /// when many come at once.
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

    /// Work per time, in millionths of a processor: how many processors the arriving work keeps
    /// busy. `None` as long as too little has been seen.
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
