//! The operators' command-line tool. Each kind of failure has its own exit code, see
//! docs/operators/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod archive;
mod archive_settings;
mod failure;
mod output;
mod recover;
mod state_service;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

/// Environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Operators' tools for the salttiller scheduler.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Keeps and reads an archive of the state service's records.
    #[command(subcommand)]
    Archive(archive::Command),
    /// Shows and ends a hold after lost records.
    #[command(subcommand)]
    Recover(recover::Command),
    /// Prints the JSON schema of a document.
    Schema {
        /// Which document.
        document: archive::Document,
    },
}

fn main() -> ExitCode {
    start_logging();
    let result = match Cli::parse().command {
        Command::Archive(command) => archive::run(&command),
        Command::Recover(command) => recover::run(&command),
        Command::Schema { document } => archive::print_schema(document),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("salttillerctl: {failure}");
            failure.exit_code()
        }
    }
}

/// Initializes logging to standard error. Standard output is reserved for results.
fn start_logging() {
    let filter =
        EnvFilter::try_from_env(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .init();
}
