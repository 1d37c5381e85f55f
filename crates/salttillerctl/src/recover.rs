//! `salttillerctl recover`: a hold after lost records, and operators' decision.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use serde::Serialize;
use serde_json::json;

use salttiller::settings::Settings;
use salttiller_archive::session::wall_clock;
use salttiller_protocol::client::Client;
use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, encode, Pair};
use salttiller_records::record::{value, AcceptedLoss, DataLossHoldRecord};
use salttiller_records::Key;

use crate::exit::Failure;
use crate::output::print_json;

const ANSWER_TIME: Duration = Duration::from_secs(5);

/// `salttillerctl recover`.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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

/// How it stands, as a document.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct StatusDocument {
    /// Whether controllers hold.
    held: bool,
    /// The record of the hold, if there ever was one.
    record: Option<DataLossHoldRecord>,
}

/// Runs a command.
pub fn run(args: &Args) -> Result<(), Failure> {
    match &args.command {
        Command::Status { config, json } => {
            let platform = Settings::load(config, None)?;
            show(&read_hold(platform.state_store_addr)?, *json)
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
            accept(platform.state_store_addr, decision, *yes)
        }
    }
}

/// The record of a hold and its version; `None` if there is none.
fn read_hold(state_service: SocketAddr) -> Result<Option<(DataLossHoldRecord, u64)>, Failure> {
    let target = format!("/store/{}", Key::DataLossHold.text());
    let response = call(state_service, "GET", &target, &[])?;
    match response.status {
        404 => Ok(None),
        200 => {
            let pair: Pair = decode(&response.body)
                .map_err(|e| Failure::StateService(format!("an answer can't be read: {e}")))?;
            let record = serde_json::from_value(pair.value)
                .map_err(|e| Failure::StateService(format!("the hold's record: {e}")))?;
            Ok(Some((record, pair.version)))
        }
        status => Err(Failure::StateService(format!("status {status}"))),
    }
}

fn call(
    state_service: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Result<Response, Failure> {
    Client::new(state_service)
        .call(method, target, body, ANSWER_TIME)
        .map_err(|e| Failure::StateService(e.to_string()))
}

fn show(hold: &Option<(DataLossHoldRecord, u64)>, json: bool) -> Result<(), Failure> {
    let record = hold.as_ref().map(|(record, _)| record);
    let held = record.is_some_and(|r| r.accepted.is_none());
    if json {
        let record = record.cloned();
        return print_json(&StatusDocument { held, record });
    }
    match record {
        None => println!("no records are known to be lost"),
        Some(r) => {
            let (by, seen) = (&r.by, &r.seen);
            println!("incident {}: found by {by}: {seen}", r.incident);
            match &r.accepted {
                None => println!("controllers hold; see docs/operators/recovery.md"),
                Some(a) => println!("loss accepted by {}: {}", a.by, a.why),
            }
        }
    }
    Ok(())
}

fn accept(
    state_service: SocketAddr,
    decision: AcceptedLoss,
    confirmed: bool,
) -> Result<(), Failure> {
    let hold = read_hold(state_service)?;
    let Some((mut record, version)) = hold.filter(|(r, _)| r.accepted.is_none()) else {
        return Err(Failure::NotHeld);
    };
    if !confirmed {
        println!(
            "incident {}: {}: controllers would go on with the records that there are; \
             --yes does it",
            record.incident, record.seen
        );
        return Ok(());
    }
    record.accepted = Some(decision);
    let key = Key::DataLossHold.text();
    let transaction = json!({
        "when": [{"k": key, "mark": version}],
        "apply": [{"put": key, "value": value(&record)}],
    });
    let response = call(state_service, "POST", "/commit", &encode(&transaction))?;
    match response.status {
        200 => {
            println!("incident {}: loss accepted", record.incident);
            Ok(())
        }
        409 => Err(Failure::Changed),
        status => Err(Failure::StateService(format!("status {status}"))),
    }
}
