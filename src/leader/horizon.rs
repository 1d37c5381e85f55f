//! How soon the waiting tasks of a job should be running.

use crate::region::{start_windows, SchedulingContext};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

/// How long a job may wait that has no deadline and no objective which can still be met.
const DEFAULT_WAITING_SPAN: Micros = 120 * SECOND;
/// The shortest horizon: machines take longer to boot than anything below could gain.
const MIN_HORIZON: Micros = 5 * SECOND;

/// How soon a job's waiting tasks should be running: the operator's setting, else half of the
/// shortest time that its deadline and its class's objectives leave for waiting. What can't be
/// met any more, or is past, is no reason to hurry.
pub(super) fn start_horizon(spec: &JobSpec, context: &SchedulingContext<'_>) -> Micros {
    if let Some(horizon) = context.settings.operator.scale_out_horizon {
        return horizon;
    }
    let waiting_span = start_windows(spec, context.settings)
        .filter(|span| spec.submitted_at + span > context.wall)
        .fold(DEFAULT_WAITING_SPAN, Micros::min);
    (waiting_span / 2).max(MIN_HORIZON)
}
