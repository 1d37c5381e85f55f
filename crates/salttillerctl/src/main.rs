//! The operators' command line. Each kind of failure has an exit code of its own, see
//! docs/operators/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod archive;
mod exit;
mod output;
mod recover;
mod settings;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

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
    Archive(archive::Args),
    /// Shows and ends a hold after lost records.
    Recover(recover::Args),
    /// Prints the JSON schema of a document.
    Schema {
        /// Which document.
        document: archive::Document,
    },
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env("LOG_LEVEL").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .init();
    let result = match Cli::parse().command {
        Command::Archive(args) => archive::run(&args),
        Command::Recover(args) => recover::run(&args),
        Command::Schema { document } => archive::print_schema(document),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("salttillerctl: {error}");
            error.exit_code()
        }
    }
}
