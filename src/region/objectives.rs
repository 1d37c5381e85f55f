//! Time by which a job must start to meet its own deadline and the service-level objectives of
//! its class.
//!
//! The functions are pure. The queue and the leader call them.

use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

use super::SchedulingContext;
use crate::settings::Settings;

/// Start window, counted from submission, of a job without deadline and objectives.
const DEFAULT_START_WINDOW: Micros = 3600 * SECOND;

/// Returns the start windows of a job, one for its deadline and one for each objective of its
/// class: the time after submission within which the job must start to meet it.
pub fn start_windows<'a>(
    spec: &'a JobSpec,
    settings: &'a Settings,
) -> impl Iterator<Item = Micros> + 'a {
    let run_time = spec.estimated_run_time;
    let deadline = spec.deadline.map(|span| span.saturating_sub(run_time));
    let objectives = settings
        .objectives
        .iter()
        .filter(|objective| objective.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(
            move |objective| match (objective.kind.as_str(), objective.threshold?) {
                ("wait", within) => Some(within),
                ("finished", within) => Some(within.saturating_sub(run_time)),
                _ => None,
            },
        );
    deadline.into_iter().chain(objectives)
}

/// Returns the wall-clock time by which a job must start to meet the nearest of its deadline
/// and the objectives of its class that can still be met. Returns `None` if all of them are
/// missed, and the end of [`DEFAULT_START_WINDOW`] if the job has none.
pub(super) fn latest_start(spec: &JobSpec, context: &SchedulingContext<'_>) -> Option<Micros> {
    let mut starts = start_windows(spec, context.settings)
        .map(|window| spec.submitted_at + window)
        .peekable();
    if starts.peek().is_none() {
        return Some(spec.submitted_at + DEFAULT_START_WINDOW);
    }
    starts.filter(|at| *at >= context.wall).min()
}
