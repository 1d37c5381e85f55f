//! Conditions that operators should know of though no objective may be breached yet.

use std::fmt;

use salttiller_records::units::{to_seconds, Micros};

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
