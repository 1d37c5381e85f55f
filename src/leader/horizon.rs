//! Start horizon: the time within which a job's pending tasks should be running.

use crate::region::{start_windows, SchedulingContext};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

/// Upper bound of the start window from which the horizon is computed. The bound also applies to a
/// job without a deadline or objective that can still be met.
const MAX_START_WINDOW: Micros = 120 * SECOND;
/// Shortest horizon. A shorter one has no benefit, because machines take longer to boot.
const MIN_HORIZON: Micros = 5 * SECOND;

/// Returns the time within which a job's pending tasks should be running: the operator's setting,
/// else half of the shortest start window of the job's deadline and its class's objectives. A
/// deadline or objective that can no longer be met is ignored.
pub(super) fn start_horizon(spec: &JobSpec, context: &SchedulingContext<'_>) -> Micros {
    if let Some(horizon) = context.settings.operator.scale_out_horizon {
        return horizon;
    }
    let start_window = start_windows(spec, context.settings)
        .filter(|window| spec.submitted_at + window > context.wall)
        .fold(MAX_START_WINDOW, Micros::min);
    (start_window / 2).max(MIN_HORIZON)
}
