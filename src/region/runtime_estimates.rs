//! Comparison of actual run times of finished tasks with the estimates in their job
//! specifications.
//!
//! The leader corrects the estimates of pending jobs by the ratio of the two sums.

use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

/// Estimated and actual CPU time of finished flexible tasks, each an exponentially decaying
/// sum.
#[derive(Debug, Default)]
pub(super) struct RuntimeEstimates {
    estimated: f64,
    actual: f64,
    updated_at: Micros,
}

impl RuntimeEstimates {
    /// Time in microseconds in which the weight of a recorded task falls to 1/e.
    const DECAY_TIME: f64 = 90.0 * SECOND as f64;

    /// Records a task of a job that finished at `now` and ran for `run_time`.
    pub(super) fn record(&mut self, spec: &JobSpec, run_time: Micros, now: Micros) {
        let age = now.saturating_sub(self.updated_at) as f64;
        let decay = (-age / Self::DECAY_TIME).exp();
        self.updated_at = now;
        self.estimated = self.estimated * decay + (spec.cpus * spec.estimated_run_time) as f64;
        self.actual = self.actual * decay + (spec.cpus * run_time) as f64;
    }

    /// Decayed sum of estimated CPU time.
    pub(super) fn estimated(&self) -> f64 {
        self.estimated
    }

    /// Decayed sum of actual CPU time.
    pub(super) fn actual(&self) -> f64 {
        self.actual
    }
}
