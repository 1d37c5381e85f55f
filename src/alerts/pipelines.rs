//! Pipelines that will miss their deadline: each is reported once when the estimates of
//! what is left no longer fit, and once when they fit again.

use std::collections::{BTreeMap, BTreeSet};

use super::Alert;
use salttiller_records::units::{to_seconds, Micros, SECOND};

/// Most pipelines named in one round; the others are counted.
const NAMED_AT_ONCE: usize = 3;
/// Most pipelines that are remembered as late.
const MAX_LATE: usize = 1_000;

/// A step of a pipeline that is next to run, or runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step<'a> {
    /// The step's job.
    pub id: &'a str,
    /// The job that ends the pipeline, with a deadline of its own.
    pub last: &'a str,
    /// That job's class.
    pub class: &'a str,
    /// That job's deadline, counted from its submission.
    pub deadline: Micros,
    /// By what time of day this step must be done for the rest to be in time.
    pub due: Micros,
    /// When it will be done by its owner's estimate.
    pub expected: Micros,
}

/// Tracks which pipelines will miss their deadline.
#[derive(Debug)]
pub(super) struct PipelineWatch {
    /// How far ahead of its deadline a late pipeline must be to recover, as a share of it.
    margin: f64,
    late: BTreeSet<String>,
}

impl PipelineWatch {
    /// No pipeline is late yet. `margin` is the share of its deadline that one must be ahead
    /// of it to count as recovered.
    pub(super) fn new(margin: f64) -> Self {
        PipelineWatch {
            margin,
            late: BTreeSet::new(),
        }
    }

    /// How many pipelines are late.
    pub(super) fn late_count(&self) -> usize {
        self.late.len()
    }

    /// Takes the steps that are next in all pipelines. Returns the alerts to give.
    pub(super) fn observe<'a>(
        &mut self,
        steps: impl Iterator<Item = Step<'a>>,
        is_open: impl Fn(&str) -> bool,
        cause: &str,
    ) -> Vec<Alert> {
        // One that is over is judged by its class's objective.
        self.late.retain(|last| is_open(last));
        let mut alerts = Vec::new();
        let mut unnamed = 0;
        for step in slowest_steps(steps) {
            let delay = lateness(&step);
            let spare = (step.deadline as f64 * self.margin) as i64;
            if self.late.contains(step.last) {
                if delay <= -spare {
                    self.late.remove(step.last);
                    alerts.push(Alert::PipelineRecovered(describe_recovered(&step)));
                }
            } else if delay > 0 && self.late.len() < MAX_LATE {
                self.late.insert(step.last.to_owned());
                if alerts.len() < NAMED_AT_ONCE {
                    alerts.push(Alert::PipelineLate(describe_late(&step, cause)));
                } else {
                    unnamed += 1;
                }
            }
        }
        if unnamed > 0 {
            alerts.push(Alert::PipelineLate(format!("{unnamed} more")));
        }
        alerts
    }
}

/// The step of each pipeline that will be latest, by the pipeline's last job.
fn slowest_steps<'a>(steps: impl Iterator<Item = Step<'a>>) -> impl Iterator<Item = Step<'a>> {
    let mut slowest: BTreeMap<&str, Step<'a>> = BTreeMap::new();
    for step in steps {
        let known = slowest.entry(step.last).or_insert(step);
        if lateness(&step) > lateness(known) {
            *known = step;
        }
    }
    slowest.into_values()
}

/// How much later than it must be a step will be done; negative if it has time to spare.
fn lateness(step: &Step<'_>) -> i64 {
    step.expected as i64 - step.due as i64
}

fn describe_late(step: &Step<'_>, cause: &str) -> String {
    let late = to_seconds(step.expected - step.due);
    let Step {
        id, last, class, ..
    } = step;
    format!(
        "{last} of {class}: {late:.0} s late by the estimates, {id} is next, likely cause: {cause}"
    )
}

fn describe_recovered(step: &Step<'_>) -> String {
    let spare = to_seconds(step.due.saturating_sub(step.expected)).max(0.0);
    format!("{} of {}: {spare:.0} s to spare", step.last, step.class)
}

/// When a step will be done by its estimate: one that runs has that less before it, but
/// is not taken for done because it should be.
pub(super) fn expected_end(started: Option<Micros>, estimate: Micros, now: Micros) -> Micros {
    match started {
        Some(at) => (at + estimate).max(now + SECOND),
        None => now + estimate,
    }
}

#[cfg(test)]
mod tests;
