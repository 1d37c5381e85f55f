//! Conditions that operators should know of though no aim may be behind yet: each is
//! reported once when it has lasted for a moment, and once when it is over.

use std::collections::BTreeMap;
use std::fmt;

use super::Alert;
use salttiller_records::units::{to_secs, Micros, SECOND};

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
    /// Machines of a kind come up late or not at all.
    ProvisioningFailing {
        /// Type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Spot or ordinary.
        spot: bool,
        /// Machines that are overdue.
        overdue: u32,
        /// For how long the first has been.
        since: Micros,
    },
    /// Users ask about their jobs many times as often as usual.
    PollStorm {
        /// Questions a second at this controller.
        rate: u32,
        /// What is usual.
        usual: u32,
    },
    /// Workers of a region don't reach its owner.
    OwnerUnreachable {
        /// Region.
        region: String,
        /// Machines that turn to this controller.
        machines: usize,
    },
    /// The state service lost records; this controller holds.
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
                    to_secs(*since)
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

/// How a condition stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Pending, and not reported yet.
    Pending,
    /// Reported.
    Reported,
}

#[derive(Debug)]
struct Known {
    standing: Standing,
    first: Micros,
    last: Micros,
}

/// Which conditions there are.
#[derive(Debug, Default)]
pub struct ConditionWatch {
    known: BTreeMap<String, Known>,
}

impl ConditionWatch {
    /// Reported conditions that are not over, for the status page.
    pub fn raised(&self) -> impl Iterator<Item = &String> {
        let reported = |k: &Known| k.standing == Standing::Reported;
        self.known
            .iter()
            .filter(move |(_, k)| reported(k))
            .map(|(subject, _)| subject)
    }

    /// Takes the conditions that there are just now. Returns what changed.
    pub fn observe(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let mut signals = Vec::new();
        let mut unnamed = 0;
        for condition in current {
            let subject = condition.subject();
            let full = self.known.len() >= MAX_REMEMBERED;
            if full && !self.known.contains_key(&subject) {
                continue;
            }
            let known = self.known.entry(subject).or_insert(Known {
                standing: Standing::Pending,
                first: now,
                last: now,
            });
            known.last = now;
            if known.standing == Standing::Reported || now < known.first + RAISE_AFTER {
                continue;
            }
            known.standing = Standing::Reported;
            if signals.len() < NAMED_AT_ONCE {
                signals.push(Alert::ConditionRaised(condition.to_string()));
            } else {
                unnamed += 1;
            }
        }
        if unnamed > 0 {
            signals.push(Alert::ConditionRaised(format!("{unnamed} more")));
        }
        signals.extend(self.take_over(now));
        signals
    }

    /// Forgets conditions that are over, and says so of those that were reported.
    fn take_over(&mut self, now: Micros) -> Vec<Alert> {
        let mut over = Vec::new();
        self.known.retain(|subject, known| {
            let wait = match known.standing {
                Standing::Pending => RAISE_AFTER,
                Standing::Reported => OVER_AFTER,
            };
            let gone = now > known.last + wait;
            if gone && known.standing == Standing::Reported && over.len() < NAMED_AT_ONCE {
                over.push(Alert::ConditionCleared(subject.clone()));
            }
            !gone
        });
        over
    }
}

/// Tells when users ask many times as often as usual.
#[derive(Debug, Default)]
pub struct PollRate {
    count: u32,
    usual: f64,
    looked: Option<Micros>,
}

impl PollRate {
    /// So many times the usual rate are a storm.
    const STORM: f64 = 4.0;
    /// Fewer a second are none, whatever is usual.
    const LEAST: f64 = 20.0;
    /// How fast the usual rate follows.
    const FOLLOW: f64 = 0.05;

    /// A question came.
    pub fn record(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Looks at the rate since the last look.
    pub fn sample(&mut self, now: Micros) -> Option<Condition> {
        let last = self.looked.replace(now);
        let count = std::mem::take(&mut self.count);
        let span = to_secs(now.saturating_sub(last?));
        if span <= 0.0 {
            return None;
        }
        let rate = f64::from(count) / span;
        if self.usual > 0.0 && rate > Self::LEAST && rate > self.usual * Self::STORM {
            return Some(Condition::PollStorm {
                rate: rate as u32,
                usual: self.usual as u32,
            });
        }
        if self.usual == 0.0 {
            self.usual = rate;
        }
        self.usual += (rate - self.usual) * Self::FOLLOW;
        None
    }
}

#[cfg(test)]
mod tests;
