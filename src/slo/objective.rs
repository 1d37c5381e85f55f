//! Evaluation of jobs against an objective, and the state of the objective.

use super::job::TrackedJob;
use super::window::{Attainment, SlidingWindow};
use crate::peer_protocol::ObjectiveStatus;
use crate::settings::Objective;
use salttiller_records::units::{to_seconds, Micros};

/// Metric to which an objective applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Metric {
    /// Time from submission to the start of the first task.
    StartLatency,
    /// Start latency of jobs within their team's guarantee.
    GuaranteedStartLatency,
    /// Time from submission to completion.
    CompletionTime,
    /// Completion within the job's own deadline.
    Deadline,
}

impl Metric {
    /// Returns the metric for its name in the settings, or `None` if it is not evaluated per job.
    pub(super) fn from_name(name: &str) -> Option<Self> {
        match name {
            "wait" => Some(Metric::StartLatency),
            "guarantee" => Some(Metric::GuaranteedStartLatency),
            "finished" => Some(Metric::CompletionTime),
            "deadline" => Some(Metric::Deadline),
            _ => None,
        }
    }
}

/// State of an objective as last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectiveState {
    /// The objective is met.
    Met,
    /// The attainment is below the target.
    Breached,
}

/// An objective with the counts of evaluated jobs and its current state.
pub(super) struct TrackedObjective {
    pub(super) objective: Objective,
    pub(super) metric: Metric,
    pub(super) window: SlidingWindow,
    pub(super) state: ObjectiveState,
}

impl TrackedObjective {
    /// Description of the objective, as alerts and the status page show it.
    pub(super) fn name(&self) -> String {
        let Objective {
            kind,
            class,
            threshold,
            ..
        } = &self.objective;
        let class = class.as_deref().unwrap_or("all classes");
        match threshold {
            Some(threshold) => format!("{class}, {kind} within {:.0} s", to_seconds(*threshold)),
            None => format!("{class}, {kind}"),
        }
    }

    /// Description of an attainment and the target.
    pub(super) fn figures(&self, attainment: Attainment) -> String {
        format!(
            "{:.0}% of {}, aim {:.0}%",
            attainment.ratio() * 100.0,
            attainment.total,
            self.objective.target * 100.0
        )
    }

    /// Returns the state that follows from an attainment and the current state.
    pub(super) fn next_state(
        &self,
        attainment: Attainment,
        min_jobs: u32,
        recovery_margin: f64,
    ) -> ObjectiveState {
        let target = self.objective.target;
        // Hysteresis keeps the state from flapping around the target. An objective without jobs
        // in the window counts as met.
        let recovered = (target + recovery_margin).min(1.0);
        match self.state {
            ObjectiveState::Met if attainment.total >= min_jobs && attainment.ratio() < target => {
                ObjectiveState::Breached
            }
            ObjectiveState::Breached
                if attainment.total == 0 || attainment.ratio() >= recovered =>
            {
                ObjectiveState::Met
            }
            unchanged => unchanged,
        }
    }

    /// Returns the objective for the status page.
    pub(super) fn status(&mut self, oldest_slice: u64) -> ObjectiveStatus {
        let attainment = self.window.attainment(oldest_slice);
        ObjectiveStatus {
            objective: self.name(),
            met: attainment.met,
            total: attainment.total,
            target: self.objective.target,
            breached: self.state == ObjectiveState::Breached,
        }
    }

    /// Returns whether a job met the objective. See [`evaluate`].
    pub(super) fn evaluate(
        &self,
        job: &TrackedJob,
        finished: Option<Micros>,
        now: Micros,
    ) -> Option<bool> {
        evaluate(&self.objective, self.metric, job, finished, now)
    }
}

/// Returns whether a job met an objective, or `None` if that is not decided yet or the objective
/// does not apply to the job. `finished` is the time at which the job completed.
pub(super) fn evaluate(
    objective: &Objective,
    metric: Metric,
    job: &TrackedJob,
    finished: Option<Micros>,
    now: Micros,
) -> Option<bool> {
    if objective
        .class
        .as_ref()
        .is_some_and(|class| *class != job.class)
        || (metric == Metric::GuaranteedStartLatency && !job.guaranteed)
    {
        return None;
    }
    let (event, due) = match metric {
        Metric::StartLatency | Metric::GuaranteedStartLatency => (
            job.started.or(finished),
            job.submitted + objective.threshold?,
        ),
        Metric::CompletionTime => (finished, job.submitted + objective.threshold?),
        Metric::Deadline => (finished, job.submitted + job.deadline?),
    };
    match event {
        Some(at) => Some(at <= due),
        None => (now > due).then_some(false),
    }
}
