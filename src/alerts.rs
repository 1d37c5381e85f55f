//! Alerts to operators, one when a problem begins and one when it ends.
//!
//! The monitor watches objectives ([`crate::slo`]), pipelines with a deadline, and conditions
//! that need attention even while every objective is met. The controller passes in the open
//! jobs and the current conditions, and logs the alerts that the monitor returns.

mod condition_watch;
pub mod conditions;
mod pipelines;
pub mod poll_rate;

use std::collections::VecDeque;
use std::fmt;

use crate::peer_protocol::Status;
use crate::settings::{Objective, OperatorSettings};
use crate::slo::{ObjectiveState, ObservedJob, SloTracker, Transition};
use condition_watch::ConditionWatch;
use conditions::Condition;
use pipelines::{expected_end, PipelineWatch, Step};
use salttiller_records::units::Micros;

/// Maximum number of alerts kept for the status page.
const MAX_RECENT: usize = 10;

/// An alert to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Alert {
    /// An objective is breached.
    ObjectiveBreached(String),
    /// A breached objective is met again.
    ObjectiveRecovered(String),
    /// A pipeline is expected to miss its deadline.
    PipelineLate(String),
    /// A late pipeline is expected to meet its deadline again.
    PipelineRecovered(String),
    /// A condition began.
    ConditionRaised(String),
    /// A condition has ended.
    ConditionCleared(String),
}

impl Alert {
    /// Whether the alert needs attention, as opposed to reporting a recovery.
    #[must_use]
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Alert::ObjectiveBreached(_) | Alert::PipelineLate(_) | Alert::ConditionRaised(_)
        )
    }

    /// Creates the alert for a change of an objective's state. `cause` is its likely cause.
    fn for_objective(transition: &Transition, cause: &str) -> Self {
        let Transition {
            objective, figures, ..
        } = transition;
        match transition.state {
            ObjectiveState::Breached => {
                Alert::ObjectiveBreached(format!("{objective}: {figures}, likely cause: {cause}"))
            }
            ObjectiveState::Met => Alert::ObjectiveRecovered(format!("{objective}: {figures}")),
        }
    }
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Alert::ObjectiveBreached(text) => write!(f, "aim behind: {text}"),
            Alert::ObjectiveRecovered(text) => write!(f, "aim met again: {text}"),
            Alert::PipelineLate(text) => write!(f, "pipeline behind: {text}"),
            Alert::PipelineRecovered(text) => write!(f, "pipeline in time again: {text}"),
            Alert::ConditionRaised(text) => write!(f, "{text}"),
            Alert::ConditionCleared(text) => write!(f, "over: {text}"),
        }
    }
}

/// Monitors objectives, pipelines and conditions, and raises alerts.
pub struct AlertMonitor {
    slo: SloTracker,
    pipelines: PipelineWatch,
    conditions: ConditionWatch,
    /// Most recent alerts, ordered from oldest to newest.
    recent: VecDeque<String>,
}

impl AlertMonitor {
    /// Creates a monitor of the given objectives with the operators' alert thresholds.
    pub fn new(objectives: &[Objective], operator: &OperatorSettings) -> Self {
        AlertMonitor {
            slo: SloTracker::new(objectives, operator),
            pipelines: PipelineWatch::new(operator.alert_recovery_margin),
            conditions: ConditionWatch::default(),
            recent: VecDeque::new(),
        }
    }

    /// Evaluates objectives and pipelines against the open jobs, and returns the alerts to raise.
    /// `is_done` returns whether a job that is no longer open completed, as opposed to being
    /// cancelled. `is_open` returns whether a job is open. `now` is the wall-clock time, and
    /// `cause` is the likely cause of missed objectives and deadlines at present.
    pub fn observe_jobs<'a>(
        &mut self,
        open: impl Iterator<Item = ObservedJob<'a>>,
        is_done: impl Fn(&str) -> bool,
        is_open: impl Fn(&str) -> bool,
        now: Micros,
        cause: &str,
    ) -> Vec<Alert> {
        let open: Vec<ObservedJob<'a>> = open.collect();
        self.slo.observe(&open, is_done, now);
        let transitions = self.slo.transitions(now);
        let mut alerts: Vec<Alert> = transitions
            .iter()
            .map(|transition| Alert::for_objective(transition, cause))
            .collect();
        let steps = open.iter().filter_map(|job| self.pipeline_step(job, now));
        let steps: Vec<Step<'a>> = steps.collect();
        alerts.extend(self.pipelines.observe(steps.into_iter(), is_open, cause));
        self.add_recent(&alerts);
        alerts
    }

    /// Returns an open job as a step of its pipeline if the pipeline has a deadline.
    fn pipeline_step<'a>(&self, job: &ObservedJob<'a>, now: Micros) -> Option<Step<'a>> {
        let end = job.pipeline.as_ref()?;
        let started = self.slo.started_at(job.id);
        Some(Step {
            id: job.id,
            last_job: end.id,
            class: end.class,
            deadline: end.deadline,
            due: job.spec.submitted_at + job.spec.deadline?,
            expected_end: expected_end(started, job.spec.estimated_run_time, now),
        })
    }

    /// Updates the tracked conditions from the current ones, and returns the alerts to raise.
    pub fn observe_conditions(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let alerts = self.conditions.observe(current, now);
        self.add_recent(&alerts);
        alerts
    }

    /// Adds alerts to the recent ones that the status page shows.
    fn add_recent(&mut self, alerts: &[Alert]) {
        self.recent.extend(alerts.iter().map(Alert::to_string));
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
    }

    /// Fills in the objectives, late pipelines and recent alerts of the status page. `now` is
    /// the wall-clock time.
    pub fn fill_status(&mut self, status: &mut Status, now: Micros) {
        status.objectives = self.slo.status(now);
        let late = self.pipelines.late_count() as u32;
        if late > 0 {
            let line = "(pipelines that will miss their deadline)".to_owned();
            status.pending_tasks.push((line, late));
        }
        status.alerts = self.recent.iter().cloned().collect();
    }
}

#[cfg(test)]
mod tests;
