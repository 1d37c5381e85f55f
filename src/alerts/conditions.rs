//! Conditions that operators should know of though no objective may be breached yet: each is
//! reported once when it has lasted for a moment, and once when it is over.

use std::collections::BTreeMap;
use std::fmt;

use super::Alert;
use salttiller_records::units::{to_seconds, Micros, SECOND};

/// Most conditions named in one round; the others are counted.
const NAMED_AT_ONCE: usize = 3;
/// Most conditions that are remembered.
const MAX_REMEMBERED: usize = 500;
/// How long a condition must last before it is reported.
const RAISE_AFTER: Micros = 3 * SECOND;
/// How long it must be gone before it is over.
const OVER_AFTER: Micros = 30 * SECOND;

/// Something that operators should know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Machines of a pool become ready late or not at all.
    ProvisioningFailing {
        /// Machine type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Spot or on-demand.
        spot: bool,
        /// Machines that are overdue.
        overdue: u32,
        /// For how long the first has been.
        since: Micros,
    },
    /// Users poll their jobs many times as often as usual.
    PollStorm {
        /// Polls a second at this controller.
        rate: u32,
        /// The usual rate.
        usual: u32,
    },
    /// Workers of a region don't reach its owner.
    OwnerUnreachable {
        /// Region.
        region: String,
        /// Machines that turn to this controller.
        machines: usize,
    },
    /// The state store lost records; this controller holds.
    DataLoss {
        /// What was seen.
        seen: String,
    },
    /// A job fails on machine after machine.
    JobFailing {
        /// Job.
        job: String,
        /// Its team.
        team: String,
        /// Its class.
        class: String,
    },
}

impl Condition {
    /// What it is about, without its figures.
    fn subject(&self) -> String {
        match self {
            Condition::ProvisioningFailing {
                machine_type,
                zone,
                spot,
                ..
            } => {
                let kind = if *spot { " spot" } else { "" };
                format!("{machine_type}{kind} machines in {zone} come up late or not at all")
            }
            Condition::PollStorm { .. } => "many more questions about jobs than usual".to_owned(),
            Condition::OwnerUnreachable { region, .. } => {
                format!("workers of region {region} don't reach its owner")
            }
            Condition::DataLoss { .. } => {
                "the state service lost records, nothing is started or accepted".to_owned()
            }
            Condition::JobFailing { job, team, class } => {
                format!("{job} of team {team}, class {class}, fails on every machine")
            }
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.subject())?;
        match self {
            Condition::ProvisioningFailing { overdue, since, .. } => {
                write!(
                    f,
                    ": {overdue} overdue, the first for {:.0} s",
                    to_seconds(*since)
                )
            }
            Condition::PollStorm { rate, usual } => {
                write!(f, ": {rate} a second, usually {usual}")
            }
            Condition::OwnerUnreachable { machines, .. } => {
                write!(f, ": {machines} of them turn to this controller")
            }
            Condition::DataLoss { seen } => write!(f, ": {seen}"),
            Condition::JobFailing { .. } => Ok(()),
        }
    }
}

/// State of a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConditionState {
    /// Observed, and not reported yet.
    Pending,
    /// Reported.
    Reported,
}

#[derive(Debug)]
struct TrackedCondition {
    state: ConditionState,
    first: Micros,
    last: Micros,
}

/// Tracks conditions by their subject.
#[derive(Debug, Default)]
pub struct ConditionWatch {
    known: BTreeMap<String, TrackedCondition>,
}

impl ConditionWatch {
    /// Reported conditions that are not over, for the status page.
    pub fn raised(&self) -> impl Iterator<Item = &String> {
        let reported = |tracked: &TrackedCondition| tracked.state == ConditionState::Reported;
        self.known
            .iter()
            .filter(move |(_, tracked)| reported(tracked))
            .map(|(subject, _)| subject)
    }

    /// Takes the conditions that there are just now. Returns the alerts to give.
    pub fn observe(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let mut alerts = Vec::new();
        let mut unnamed = 0;
        for condition in current {
            let subject = condition.subject();
            let full = self.known.len() >= MAX_REMEMBERED;
            if full && !self.known.contains_key(&subject) {
                continue;
            }
            let known = self.known.entry(subject).or_insert(TrackedCondition {
                state: ConditionState::Pending,
                first: now,
                last: now,
            });
            known.last = now;
            if known.state == ConditionState::Reported || now < known.first + RAISE_AFTER {
                continue;
            }
            known.state = ConditionState::Reported;
            if alerts.len() < NAMED_AT_ONCE {
                alerts.push(Alert::ConditionRaised(condition.to_string()));
            } else {
                unnamed += 1;
            }
        }
        if unnamed > 0 {
            alerts.push(Alert::ConditionRaised(format!("{unnamed} more")));
        }
        alerts.extend(self.clear_over(now));
        alerts
    }

    /// Forgets conditions that are over, and says so of those that were reported.
    fn clear_over(&mut self, now: Micros) -> Vec<Alert> {
        let mut over = Vec::new();
        self.known.retain(|subject, known| {
            let wait = match known.state {
                ConditionState::Pending => RAISE_AFTER,
                ConditionState::Reported => OVER_AFTER,
            };
            let gone = now > known.last + wait;
            if gone && known.state == ConditionState::Reported && over.len() < NAMED_AT_ONCE {
                over.push(Alert::ConditionCleared(subject.clone()));
            }
            !gone
        });
        over
    }
}

#[cfg(test)]
mod tests;
