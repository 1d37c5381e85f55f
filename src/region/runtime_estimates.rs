//! What finished tasks took, against what was said of them.

use super::*;

/// What finished tasks that fit many types took, and what their owners had said;
/// what is older weighs less.
#[derive(Debug, Default)]
pub(super) struct RuntimeEstimates {
    pub(super) estimated: f64,
    pub(super) actual: f64,
    pub(super) at: Micros,
}

impl RuntimeEstimates {
    /// How fast it forgets.
    const SPAN: f64 = 90.0 * SECOND as f64;

    pub(super) fn record(&mut self, s: &JobSpec, took: Micros, now: Micros) {
        let fade = (-(now.saturating_sub(self.at) as f64) / Self::SPAN).exp();
        self.at = now;
        self.estimated = self.estimated * fade + (s.cpus * s.estimated_run_time) as f64;
        self.actual = self.actual * fade + (s.cpus * took) as f64;
    }
}
