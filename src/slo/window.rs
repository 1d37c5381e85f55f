//! Counts of jobs over a sliding time window, kept in slices so that old counts expire.

use std::collections::VecDeque;

/// Counts of jobs that were evaluated for an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Attainment {
    /// Number of jobs that met the objective.
    pub(super) met: u32,
    /// Number of jobs that were evaluated.
    pub(super) total: u32,
}

impl Attainment {
    /// Share of the evaluated jobs that met the objective; 1 if no job was evaluated.
    pub(super) fn ratio(self) -> f64 {
        if self.total == 0 {
            1.0
        } else {
            f64::from(self.met) / f64::from(self.total)
        }
    }
}

/// Counts of one slice of the window.
#[derive(Debug)]
struct Slice {
    index: u64,
    counts: Attainment,
}

/// Counts by slice, ordered from oldest to newest.
#[derive(Debug, Default)]
pub(super) struct SlidingWindow {
    slices: VecDeque<Slice>,
}

impl SlidingWindow {
    /// Counts a job in the slice with this index. Indices are expected to increase, apart from
    /// small steps back of the clock.
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

    /// Drops the slices before `oldest` and returns the sum of the others.
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
