//! Service level objectives and their attainment.
//!
//! The controller shows the open jobs from time to time. Each job is judged once for each
//! objective that it counts for; attainment is the share of jobs that met it in a sliding
//! window. What operators are told of it is the business of [`crate::alerts`].

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

/// Slices of the sliding window.
const WINDOW_SLICES: u64 = 10;

/// An open job as it is seen just now.
pub struct ObservedJob<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// What was submitted.
    pub spec: &'a JobSpec,
    /// Whether it fits into its team's guarantee.
    pub guaranteed: bool,
    /// Whether some task of it runs or has run.
    pub started: bool,
    /// The end of the pipeline that it is a step of, if that has a deadline.
    pub pipeline: Option<PipelineEnd<'a>>,
}

/// A change of an objective's state.
#[derive(Debug)]
pub struct Transition {
    /// The objective in words.
    pub objective: String,
    /// Its new state.
    pub state: ObjectiveState,
    /// Attainment and target in words.
    pub figures: String,
}

/// Tracks the attainment of all objectives.
pub struct SloTracker {
    objectives: Vec<TrackedObjective>,
    jobs: BTreeMap<String, TrackedJob>,
    slice: Micros,
    min_jobs: u32,
    recovery_margin: f64,
}

impl SloTracker {
    /// Tracks the objectives of the settings that are about jobs.
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
            slice: (operator.alert_window / WINDOW_SLICES).max(SECOND),
            min_jobs: operator.alert_min_jobs,
            recovery_margin: operator.alert_recovery_margin,
        }
    }

    /// Takes the open jobs. `is_done` tells of one that is no longer open whether it was done
    /// (and not cancelled); `now` is the time of day.
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
        let slice = now / self.slice;
        for (id, job) in &mut self.jobs {
            let is_open = open.contains(id.as_str());
            if !is_open && !is_done(id) {
                continue; // a cancelled job counts for nothing
            }
            let finished = (!is_open).then_some(now);
            for (index, tracked) in self.objectives.iter_mut().enumerate() {
                if let Some(met) = tracked.judge(job, finished, now) {
                    if job.judged.insert(index) {
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
                judged: BTreeSet::new(),
            });
        if observed.started {
            job.started.get_or_insert(now);
        }
    }

    /// When an open job was first seen to have started.
    #[must_use]
    pub fn started_at(&self, id: &str) -> Option<Micros> {
        self.jobs.get(id)?.started
    }

    /// Objectives whose state changes by the attainment at `now`.
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

    /// The objectives as the status page shows them.
    pub fn status(&mut self, now: Micros) -> Vec<ObjectiveStatus> {
        let oldest = self.oldest_slice(now);
        self.objectives
            .iter_mut()
            .map(|tracked| tracked.status(oldest))
            .collect()
    }

    /// The oldest slice that is in the window at `now`.
    fn oldest_slice(&self, now: Micros) -> u64 {
        (now / self.slice).saturating_sub(WINDOW_SLICES - 1)
    }
}

#[cfg(test)]
mod tests;
