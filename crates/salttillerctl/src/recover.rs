//! `salttillerctl recover`: shows a data-loss hold and records the operators' decision.
//!
//! When controllers detect that the state service lost records, they send no commands until an
//! operator decides how to proceed. This state is called a data-loss hold. One record of the state
//! service contains the hold and the decision.
//!
//! The doc comments of the command-line types are printed as help text.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Subcommand;
use serde::Serialize;

use salttiller::settings::Settings;
use salttiller_archive::clock::wall_clock;
use salttiller_records::record::{AcceptedLoss, DataLossHoldRecord};

use crate::failure::Failure;
use crate::output::print_json;
use crate::state_service::{read_hold, replace_hold, CompareAndSwap, VersionedHold};

/// Commands of `salttillerctl recover`.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows whether controllers hold because the state service lost records.
    Status {
        /// The platform's settings (JSON), those of any controller.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Ends the hold: controllers go on with the records that there are. Work that has no
    /// record is stopped, and what was accepted and lost is not run.
    AcceptLoss {
        /// The platform's settings (JSON), those of any controller.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Who decides.
        #[arg(long)]
        by: String,
        /// Why.
        #[arg(long)]
        why: String,
        /// Do it; without this it is only shown what would be done.
        #[arg(long)]
        yes: bool,
    },
}

/// Document that `recover status --json` prints. The names are part of its format.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct StatusDocument {
    /// Whether a hold is in force.
    held: bool,
    /// Record of the last hold, or `None` if there has never been a hold.
    record: Option<DataLossHoldRecord>,
}

impl StatusDocument {
    fn new(record: Option<DataLossHoldRecord>) -> Self {
        let held = record.as_ref().is_some_and(is_in_force);
        StatusDocument { held, record }
    }
}

/// Runs a command of `salttillerctl recover`.
///
/// # Errors
/// Returns an error if the command fails.
pub(crate) fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Status { config, json } => {
            let platform = Settings::load(config, None)?;
            show_status(platform.state_store_addr, *json)
        }
        Command::AcceptLoss {
            config,
            by,
            why,
            yes,
        } => {
            let platform = Settings::load(config, None)?;
            let decision = AcceptedLoss {
                by: by.clone(),
                at: wall_clock(),
                why: why.clone(),
            };
            accept_loss(platform.state_store_addr, decision, *yes)
        }
    }
}

/// Whether the hold is in force, which it is until an operator accepts the loss.
fn is_in_force(record: &DataLossHoldRecord) -> bool {
    record.accepted.is_none()
}

fn show_status(state_service: SocketAddr, json: bool) -> Result<(), Failure> {
    let record = read_hold(state_service)?.map(|hold| hold.record);
    if json {
        return print_json(&StatusDocument::new(record));
    }
    match record {
        None => println!("no records are known to be lost"),
        Some(record) => print_hold(&record),
    }
    Ok(())
}

fn print_hold(record: &DataLossHoldRecord) {
    println!(
        "incident {}: found by {}: {}",
        record.incident, record.by, record.seen
    );
    match &record.accepted {
        None => println!("controllers hold; see docs/operators/recovery.md"),
        Some(decision) => println!("loss accepted by {}: {}", decision.by, decision.why),
    }
}

/// Records the decision if it is confirmed; otherwise only prints its effect.
fn accept_loss(
    state_service: SocketAddr,
    decision: AcceptedLoss,
    confirmed: bool,
) -> Result<(), Failure> {
    let hold = read_hold(state_service)?.filter(|hold| is_in_force(&hold.record));
    let VersionedHold {
        mut record,
        version,
    } = hold.ok_or(Failure::NoPendingHold)?;
    let incident = record.incident;
    if !confirmed {
        println!(
            "incident {incident}: {}: controllers would go on with the records that there are; \
             --yes does it",
            record.seen
        );
        return Ok(());
    }
    record.accepted = Some(decision);
    match replace_hold(state_service, &VersionedHold { record, version })? {
        CompareAndSwap::Committed => println!("incident {incident}: loss accepted"),
        CompareAndSwap::Conflict => return Err(Failure::HoldChanged),
    }
    Ok(())
}
