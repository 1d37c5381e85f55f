//! Conditions that operators are alerted to even while every objective is met.

use std::fmt;

use salttiller_records::units::{to_seconds, Micros};

/// A condition that operators are alerted to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Machines of a pool become ready late or never.
    ProvisioningFailing {
        /// Machine type of the pool.
        machine_type: String,
        /// Zone of the pool.
        zone: String,
        /// Whether the pool consists of spot instances, as opposed to on-demand ones.
        spot: bool,
        /// Number of overdue machines.
        overdue: u32,
        /// Time for which the first of them has been overdue.
        since: Micros,
    },
    /// Users poll their jobs far more often than usual.
    PollStorm {
        /// Polls per second at this controller.
        rate: u32,
        /// Usual number of polls per second.
        usual: u32,
    },
    /// Workers of a region don't reach its owner.
    OwnerUnreachable {
        /// Name of the region.
        region: String,
        /// Number of machines that contact this controller instead.
        machines: usize,
    },
    /// The state service lost records, and this controller is in a data-loss hold.
    DataLoss {
        /// Description of the evidence.
        seen: String,
    },
    /// A job fails on every machine that runs it.
    JobFailing {
        /// Id of the job.
        job: String,
        /// Team of the job.
        team: String,
        /// Class of the job.
        class: String,
    },
}

impl Condition {
    /// Description without figures, which identifies the condition while its figures change.
    pub(super) fn subject(&self) -> String {
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
