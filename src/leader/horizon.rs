//! Start horizon: the time within which a job's waiting tasks should be running.

use crate::region::{start_windows, SchedulingContext};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

/// Permitted wait of a job without a deadline or objective that can still be met.
const DEFAULT_MAX_WAIT: Micros = 120 * SECOND;
/// Shortest horizon. A shorter one has no benefit, because machines take longer to boot.
const MIN_HORIZON: Micros = 5 * SECOND;

/// Returns the time within which a job's waiting tasks should be running: the operator's setting,
/// else half of the shortest wait that the job's deadline and its class's objectives permit. A
/// deadline or objective that can no longer be met is ignored.
pub(super) fn start_horizon(spec: &JobSpec, context: &SchedulingContext<'_>) -> Micros {
    if let Some(horizon) = context.settings.operator.scale_out_horizon {
        return horizon;
    }
    let max_wait = start_windows(spec, context.settings)
        .filter(|window| spec.submitted_at + window > context.wall)
        .fold(DEFAULT_MAX_WAIT, Micros::min);
    (max_wait / 2).max(MIN_HORIZON)
}
