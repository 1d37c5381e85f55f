//! Service-level objectives (SLOs) and their attainment.
//!
//! The controller passes in the open jobs periodically. Each job is evaluated once for each
//! objective that applies to it. The attainment of an objective is the share of evaluated jobs
//! that met it within a sliding window. The module [`crate::alerts`] turns changes of an
//! objective's state into alerts.

mod job;
mod objective;
mod window;

use std::collections::{BTreeMap, BTreeSet};

pub use objective::ObjectiveState;

use crate::peer_protocol::ObjectiveStatus;
use crate::settings::{Objective, OperatorSettings};
use crate::state_store::pipelines::PipelineEnd;
use job::TrackedJob;
use objective::{Metric, TrackedObjective};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};
use window::SlidingWindow;

/// Number of slices of the sliding window.
const WINDOW_SLICES: u64 = 10;

/// Current state of an open job.
pub struct ObservedJob<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Specification of the job.
    pub spec: &'a JobSpec,
    /// Whether the job fits into its team's guarantee.
    pub guaranteed: bool,
    /// Whether any task of the job runs or has run.
    pub started: bool,
    /// End of the pipeline that the job is a step of, if the pipeline has a deadline.
    pub pipeline: Option<PipelineEnd<'a>>,
}

/// Change of an objective's state.
#[derive(Debug)]
pub struct Transition {
    /// Description of the objective.
    pub objective: String,
    /// New state of the objective.
    pub state: ObjectiveState,
    /// Description of the attainment and the target.
    pub figures: String,
}

/// Tracks the attainment of all objectives.
pub struct SloTracker {
    objectives: Vec<TrackedObjective>,
    jobs: BTreeMap<String, TrackedJob>,
    slice_length: Micros,
    min_jobs: u32,
    recovery_margin: f64,
}

impl SloTracker {
    /// Creates a tracker of the objectives whose metric is evaluated per job. Other objectives of
    /// the settings are ignored.
    pub fn new(objectives: &[Objective], operator: &OperatorSettings) -> Self {
        let tracked = |objective: &Objective| {
            Some(TrackedObjective {
                objective: objective.clone(),
                metric: Metric::from_name(&objective.kind)?,
                window: SlidingWindow::default(),
                state: ObjectiveState::Met,
            })
        };
        SloTracker {
            objectives: objectives.iter().filter_map(tracked).collect(),
            jobs: BTreeMap::new(),
            slice_length: (operator.alert_window / WINDOW_SLICES).max(SECOND),
            min_jobs: operator.alert_min_jobs,
            recovery_margin: operator.alert_recovery_margin,
        }
    }

    /// Evaluates the open jobs, and the jobs that ended since the last call. `is_done` returns
    /// whether a job that is no longer open completed, as opposed to being cancelled. `now` is
    /// the wall-clock time.
    pub fn observe(
        &mut self,
        open: &[ObservedJob<'_>],
        is_done: impl Fn(&str) -> bool,
        now: Micros,
    ) {
        for job in open {
            self.track(job, now);
        }
        let open: BTreeSet<&str> = open.iter().map(|job| job.id).collect();
        let slice = now / self.slice_length;
        for (id, job) in &mut self.jobs {
            let is_open = open.contains(id.as_str());
            if !is_open && !is_done(id) {
                continue; // cancelled jobs are not evaluated
            }
            let finished = (!is_open).then_some(now);
            for (index, tracked) in self.objectives.iter_mut().enumerate() {
                if let Some(met) = tracked.evaluate(job, finished, now) {
                    if job.evaluated.insert(index) {
                        tracked.window.add(slice, met);
                    }
                }
            }
        }
        self.jobs.retain(|id, _| open.contains(id.as_str()));
    }

    fn track(&mut self, observed: &ObservedJob<'_>, now: Micros) {
        let job = self
            .jobs
            .entry(observed.id.to_owned())
            .or_insert_with(|| TrackedJob {
                submitted: observed.spec.submitted_at,
                deadline: observed.spec.deadline,
                class: observed.spec.class.clone(),
                guaranteed: observed.guaranteed,
                started: None,
                evaluated: BTreeSet::new(),
            });
        if observed.started {
            job.started.get_or_insert(now);
        }
    }

    /// Time at which an open job was first observed to have started.
    #[must_use]
    pub fn started_at(&self, id: &str) -> Option<Micros> {
        self.jobs.get(id)?.started
    }

    /// Updates the state of each objective from its attainment at `now`, and returns the changes.
    pub fn transitions(&mut self, now: Micros) -> Vec<Transition> {
        let oldest = self.oldest_slice(now);
        let mut transitions = Vec::new();
        for tracked in &mut self.objectives {
            let attainment = tracked.window.attainment(oldest);
            let state = tracked.next_state(attainment, self.min_jobs, self.recovery_margin);
            if state != tracked.state {
                tracked.state = state;
                transitions.push(Transition {
                    objective: tracked.name(),
                    state,
                    figures: tracked.figures(attainment),
                });
            }
        }
        transitions
    }

    /// Returns the objectives for the status page.
    pub fn status(&mut self, now: Micros) -> Vec<ObjectiveStatus> {
        let oldest = self.oldest_slice(now);
        self.objectives
            .iter_mut()
            .map(|tracked| tracked.status(oldest))
            .collect()
    }

    /// Index of the oldest slice in the window at `now`.
    fn oldest_slice(&self, now: Micros) -> u64 {
        (now / self.slice_length).saturating_sub(WINDOW_SLICES - 1)
    }
}

#[cfg(test)]
mod tests;
