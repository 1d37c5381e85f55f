//! Detection of pipelines that are expected to miss their deadline.
//!
//! Each pipeline is reported once when the estimated time of its remaining steps exceeds the time
//! to its deadline, and once more when the remaining steps fit again.

use std::collections::{BTreeMap, BTreeSet};

use super::Alert;
use salttiller_records::units::{to_seconds, Micros, SECOND};

/// Maximum number of late pipelines that one observation reports by name. Further pipelines are
/// counted in a single alert.
const MAX_NAMED_ALERTS: usize = 3;
/// Maximum number of late pipelines that are tracked.
const MAX_LATE: usize = 1_000;

/// A step of a pipeline that runs, or is the next to run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step<'a> {
    /// Id of the step's job.
    pub id: &'a str,
    /// Id of the job that ends the pipeline, which has a deadline of its own.
    pub last_job: &'a str,
    /// Class of the last job.
    pub class: &'a str,
    /// Deadline of the last job, relative to its submission.
    pub deadline: Micros,
    /// Wall-clock time by which this step must be done for the pipeline to meet its deadline.
    pub due: Micros,
    /// Wall-clock time at which the step is expected to be done, by its estimated run time.
    pub expected_end: Micros,
}

/// Tracks the pipelines that are expected to miss their deadline.
#[derive(Debug)]
pub(super) struct PipelineWatch {
    /// Share of the deadline by which a late pipeline must be early to count as recovered.
    recovery_margin: f64,
    /// Late pipelines, each identified by its last job.
    late: BTreeSet<String>,
}

impl PipelineWatch {
    /// Creates a watch without late pipelines. `recovery_margin` is the share of its deadline by
    /// which a late pipeline must be early to count as recovered.
    pub(super) fn new(recovery_margin: f64) -> Self {
        PipelineWatch {
            recovery_margin,
            late: BTreeSet::new(),
        }
    }

    /// Number of late pipelines.
    pub(super) fn late_count(&self) -> usize {
        self.late.len()
    }

    /// Updates the late pipelines from the steps that run or are next, and returns the alerts to
    /// raise. `is_open` returns whether a job is open, and `cause` is the likely cause of delays.
    pub(super) fn observe<'a>(
        &mut self,
        steps: impl Iterator<Item = Step<'a>>,
        is_open: impl Fn(&str) -> bool,
        cause: &str,
    ) -> Vec<Alert> {
        // A pipeline that has ended is evaluated by the objectives of its class.
        self.late.retain(|last| is_open(last));
        let mut alerts = Vec::new();
        let mut unnamed = 0;
        for step in most_delayed_steps(steps) {
            let delay = lateness(&step);
            let required_slack = (step.deadline as f64 * self.recovery_margin) as i64;
            if self.late.contains(step.last_job) {
                if delay <= -required_slack {
                    self.late.remove(step.last_job);
                    alerts.push(Alert::PipelineRecovered(describe_recovered(&step)));
                }
            } else if delay > 0 && self.late.len() < MAX_LATE {
                self.late.insert(step.last_job.to_owned());
                if alerts.len() < MAX_NAMED_ALERTS {
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

/// Returns the most delayed step of each pipeline, ordered by the pipeline's last job.
fn most_delayed_steps<'a>(steps: impl Iterator<Item = Step<'a>>) -> impl Iterator<Item = Step<'a>> {
    let mut most_delayed: BTreeMap<&str, Step<'a>> = BTreeMap::new();
    for step in steps {
        let known = most_delayed.entry(step.last_job).or_insert(step);
        if lateness(&step) > lateness(known) {
            *known = step;
        }
    }
    most_delayed.into_values()
}

/// Time by which a step is expected to be done after it is due; negative if it is early.
fn lateness(step: &Step<'_>) -> i64 {
    step.expected_end as i64 - step.due as i64
}

fn describe_late(step: &Step<'_>, cause: &str) -> String {
    let late = to_seconds(step.expected_end - step.due);
    let Step {
        id,
        last_job,
        class,
        ..
    } = step;
    format!(
        "{last_job} of {class}: {late:.0} s late by the estimates, {id} is next, \
         likely cause: {cause}"
    )
}

fn describe_recovered(step: &Step<'_>) -> String {
    let slack = to_seconds(step.due.saturating_sub(step.expected_end)).max(0.0);
    format!("{} of {}: {slack:.0} s to spare", step.last_job, step.class)
}

/// Time at which a step is expected to be done by its estimated run time. A running step that has
/// exceeded its estimate is expected to end in a second, since it is not done yet.
pub(super) fn expected_end(started: Option<Micros>, estimate: Micros, now: Micros) -> Micros {
    match started {
        Some(at) => (at + estimate).max(now + SECOND),
        None => now + estimate,
    }
}

#[cfg(test)]
mod tests;
