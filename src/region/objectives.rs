//! By when a job must start to meet its own deadline and the objectives of its class.
//!
//! Pure functions of the job and the settings; called by the queue and by the leader.

use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

use super::SchedulingContext;
use crate::settings::Settings;

/// The latest start after its submission that is assumed for a job without any objective.
const DEFAULT_START_WINDOW: Micros = 3600 * SECOND;

/// How long after its submission a job may be started and still meet its own
/// deadline and each objective of its class.
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

/// The time of day by which a job must be started to meet the nearest of its
/// objectives that can still be met: its own deadline, or what its class is expected.
/// `None` if there was one and it is past; far off if there never was one.
pub(super) fn latest_start(spec: &JobSpec, context: &SchedulingContext<'_>) -> Option<Micros> {
    let mut starts = start_windows(spec, context.settings)
        .map(|window| spec.submitted_at + window)
        .peekable();
    if starts.peek().is_none() {
        return Some(spec.submitted_at + DEFAULT_START_WINDOW);
    }
    starts.filter(|at| *at >= context.wall).min()
}
