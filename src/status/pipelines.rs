//! Pipelines that will miss their deadline: each is reported once when the estimates of
//! what is left no longer fit, and once when they fit again.

use std::collections::{BTreeMap, BTreeSet};

use super::Alert;
use salttiller_records::units::{to_secs, Micros, SECOND};

/// Most pipelines named in one round; the others are counted.
const NAMED_AT_ONCE: usize = 3;
/// Most pipelines that are remembered as behind.
const MAX_BEHIND: usize = 1_000;

/// A step of a pipeline that is next to run, or runs.
#[derive(Debug, Clone, Copy)]
pub struct Step<'a> {
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

/// Which pipelines are behind.
#[derive(Debug)]
pub struct PipelineWatch {
    /// How far ahead of its deadline a pipeline that was behind must be, as a share of it.
    margin: f64,
    behind: BTreeSet<String>,
}

impl PipelineWatch {
    /// Nothing is behind yet.
    pub fn new(margin: f64) -> Self {
        PipelineWatch {
            margin,
            behind: BTreeSet::new(),
        }
    }

    /// Pipelines that are behind.
    pub fn late_count(&self) -> usize {
        self.behind.len()
    }

    /// Looks at the steps that are next in all pipelines. Returns what changed.
    pub fn observe<'a>(
        &mut self,
        steps: impl Iterator<Item = Step<'a>>,
        is_open: impl Fn(&str) -> bool,
        cause: &str,
    ) -> Vec<Alert> {
        let mut slowest: BTreeMap<&str, Step<'a>> = BTreeMap::new();
        for step in steps {
            let known = slowest.entry(step.last).or_insert(step);
            if lateness(&step) > lateness(known) {
                *known = step;
            }
        }
        // One that is over is judged by its class's aim.
        self.behind.retain(|last| is_open(last));
        let mut signals = Vec::new();
        let mut unnamed = 0;
        for step in slowest.into_values() {
            let late = lateness(&step);
            let spare = (step.deadline as f64 * self.margin) as i64;
            if self.behind.contains(step.last) {
                if late <= -spare {
                    self.behind.remove(step.last);
                    signals.push(Alert::PipelineRecovered(in_time(&step)));
                }
            } else if late > 0 && self.behind.len() < MAX_BEHIND {
                self.behind.insert(step.last.to_owned());
                if signals.len() < NAMED_AT_ONCE {
                    signals.push(Alert::PipelineLate(behind(&step, cause)));
                } else {
                    unnamed += 1;
                }
            }
        }
        if unnamed > 0 {
            signals.push(Alert::PipelineLate(format!("{unnamed} more")));
        }
        signals
    }
}

/// How much later than it must be a step will be done; negative if it has time to spare.
fn lateness(step: &Step<'_>) -> i64 {
    step.expected as i64 - step.due as i64
}

fn behind(step: &Step<'_>, cause: &str) -> String {
    let late = to_secs(step.expected - step.due);
    let Step {
        id, last, class, ..
    } = step;
    format!(
        "{last} of {class}: {late:.0} s late by the estimates, {id} is next, likely cause: {cause}"
    )
}

fn in_time(step: &Step<'_>) -> String {
    let spare = to_secs(step.due.saturating_sub(step.expected)).max(0.0);
    format!("{} of {}: {spare:.0} s to spare", step.last, step.class)
}

/// When a step will be done by its estimate: one that runs has that less before it, but
/// is not taken for done because it should be.
pub fn expected_end(started: Option<Micros>, estimate: Micros, now: Micros) -> Micros {
    match started {
        Some(at) => (at + estimate).max(now + SECOND),
        None => now + estimate,
    }
}

#[cfg(test)]
mod tests;
