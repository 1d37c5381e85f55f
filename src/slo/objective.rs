//! An objective with its attainment, and whether a job meets it.

use super::job::TrackedJob;
use super::window::{Attainment, SlidingWindow};
use crate::peer_protocol::ObjectiveStatus;
use crate::settings::Objective;
use salttiller_records::units::{to_seconds, Micros};

/// What an objective is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Metric {
    /// Time from submission to the start of the first task.
    StartLatency,
    /// The same, of jobs within their team's guarantee.
    GuaranteedStartLatency,
    /// Time from submission to the end.
    CompletionTime,
    /// The job's own deadline.
    Deadline,
}

impl Metric {
    /// The metric by its name in the settings; others are not measured here.
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

/// Whether an objective is attained, as last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectiveState {
    /// Attained.
    Met,
    /// Attainment is below the target.
    Breached,
}

/// An objective of the settings, and the jobs that were judged for it.
pub(super) struct TrackedObjective {
    pub(super) objective: Objective,
    pub(super) metric: Metric,
    pub(super) window: SlidingWindow,
    pub(super) state: ObjectiveState,
}

impl TrackedObjective {
    /// The objective in words.
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

    /// Attainment and target in words.
    pub(super) fn figures(&self, attainment: Attainment) -> String {
        format!(
            "{:.0}% of {}, aim {:.0}%",
            attainment.ratio() * 100.0,
            attainment.total,
            self.objective.target * 100.0
        )
    }

    /// The state that follows from an attainment.
    pub(super) fn next_state(
        &self,
        attainment: Attainment,
        min_jobs: u32,
        recovery_margin: f64,
    ) -> ObjectiveState {
        let target = self.objective.target;
        // Hysteresis, so that the state doesn't flap about the target; with nothing left in
        // the window nothing is breached either.
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

    /// Whether a job met the objective; `None` while that is open, or if it doesn't count for
    /// it.
    /// See [`TrackedObjective::judge`].
    pub(super) fn judge(
        &self,
        job: &TrackedJob,
        finished: Option<Micros>,
        now: Micros,
    ) -> Option<bool> {
        judge(&self.objective, self.metric, job, finished, now)
    }
}

pub(super) fn judge(
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
