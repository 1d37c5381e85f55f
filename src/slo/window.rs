//! Counts over a sliding window of time, kept in slices so that old ones drop off.

use std::collections::VecDeque;

/// How many jobs met an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Attainment {
    /// Jobs that met it.
    pub(super) met: u32,
    /// Jobs that were judged.
    pub(super) total: u32,
}

impl Attainment {
    /// The share of jobs that met it; all if there were none.
    pub(super) fn ratio(self) -> f64 {
        if self.total == 0 {
            1.0
        } else {
            f64::from(self.met) / f64::from(self.total)
        }
    }
}

#[derive(Debug)]
struct Slice {
    index: u64,
    counts: Attainment,
}

/// Counts by slice, the oldest first.
#[derive(Debug, Default)]
pub(super) struct SlidingWindow {
    slices: VecDeque<Slice>,
}

impl SlidingWindow {
    /// Counts a job in the slice of this index; indices never fall by much.
    pub(super) fn add(&mut self, index: u64, met: bool) {
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            let counts = Attainment::default();
            self.slices.push_back(Slice { index, counts });
        }
        if let Some(Slice { counts, .. }) = self.slices.back_mut() {
            counts.met += u32::from(met);
            counts.total += 1;
        }
    }

    /// Counts of all slices, after dropping those before `oldest`.
    pub(super) fn attainment(&mut self, oldest: u64) -> Attainment {
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.index < oldest)
        {
            self.slices.pop_front();
        }
        self.slices
            .iter()
            .fold(Attainment::default(), |sum, slice| Attainment {
                met: sum.met + slice.counts.met,
                total: sum.total + slice.counts.total,
            })
    }
}
