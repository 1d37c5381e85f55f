//! Alerts: what operators are told, each once when it begins and once when it is over.
//!
//! The monitor watches objectives ([`crate::slo`]), pipelines with a deadline, and conditions
//! that matter though no objective may be breached yet. The controller shows it the open jobs
//! and the conditions, and logs the alerts that it returns.

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

/// Alerts that are kept for the status page.
const MAX_RECENT: usize = 10;

/// What operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Alert {
    /// An objective is breached.
    ObjectiveBreached(String),
    /// It is met again.
    ObjectiveRecovered(String),
    /// A pipeline will miss its deadline.
    PipelineLate(String),
    /// It will be in time after all.
    PipelineRecovered(String),
    /// A condition began.
    ConditionRaised(String),
    /// A condition is over.
    ConditionCleared(String),
}

impl Alert {
    /// Whether somebody should look at it.
    #[must_use]
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Alert::ObjectiveBreached(_) | Alert::PipelineLate(_) | Alert::ConditionRaised(_)
        )
    }

    /// The alert for a change of an objective's state; `cause` is the likely one.
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
            Alert::ObjectiveBreached(what) => write!(f, "aim behind: {what}"),
            Alert::ObjectiveRecovered(what) => write!(f, "aim met again: {what}"),
            Alert::PipelineLate(what) => write!(f, "pipeline behind: {what}"),
            Alert::PipelineRecovered(what) => write!(f, "pipeline in time again: {what}"),
            Alert::ConditionRaised(what) => write!(f, "{what}"),
            Alert::ConditionCleared(what) => write!(f, "over: {what}"),
        }
    }
}

/// Watches for what operators should be told.
pub struct AlertMonitor {
    slo: SloTracker,
    pipelines: PipelineWatch,
    conditions: ConditionWatch,
    /// The last alerts, the oldest first.
    recent: VecDeque<String>,
}

impl AlertMonitor {
    /// Watches the objectives of the settings, with the operators' thresholds.
    pub fn new(objectives: &[Objective], operator: &OperatorSettings) -> Self {
        AlertMonitor {
            slo: SloTracker::new(objectives, operator),
            pipelines: PipelineWatch::new(operator.alert_recovery_margin),
            conditions: ConditionWatch::default(),
            recent: VecDeque::new(),
        }
    }

    /// Takes the open jobs. `is_done` tells of one that is no longer open whether it was done
    /// (and not cancelled), `is_open` whether a job is open; `now` is the time of day, `cause`
    /// what is wrong just now. Returns the alerts to give.
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
        self.keep(&alerts);
        alerts
    }

    /// An open job as a step of its pipeline, if that has a deadline.
    fn pipeline_step<'a>(&self, job: &ObservedJob<'a>, now: Micros) -> Option<Step<'a>> {
        let end = job.pipeline.as_ref()?;
        let started = self.slo.started_at(job.id);
        Some(Step {
            id: job.id,
            last: end.id,
            class: end.class,
            deadline: end.deadline,
            due: job.spec.submitted_at + job.spec.deadline?,
            expected: expected_end(started, job.spec.estimated_run_time, now),
        })
    }

    /// Takes the conditions that there are just now. Returns the alerts to give.
    pub fn observe_conditions(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let alerts = self.conditions.observe(current, now);
        self.keep(&alerts);
        alerts
    }

    /// Keeps alerts for the status page.
    fn keep(&mut self, alerts: &[Alert]) {
        self.recent.extend(alerts.iter().map(Alert::to_string));
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
    }

    /// Fills in the objectives and the last alerts of the status page; `now` is the time of
    /// day.
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
