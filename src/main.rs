//! Entry point of the `salttiller` program, which parses the command line and runs a command.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod commands;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use commands::{check, serve, status, CommandError, SettingsFiles};

/// A hierarchical cluster scheduler. Without a command, runs a controller until the process is
/// killed.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Cli {
    #[command(flatten)]
    files: Option<SettingsFiles>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks the settings without starting a controller. Exit code 0: valid, 1: invalid.
    Check {
        #[command(flatten)]
        files: SettingsFiles,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the status page of a running controller. Exit code 0: all objectives are met,
    /// 1: no valid response, 3: an objective is breached.
    Status {
        /// Address of the controller for its peers (`mesh_addr` in its settings).
        addr: SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("salttiller: {error}");
            error.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<ExitCode, CommandError> {
    match (cli.command, cli.files) {
        (Some(Command::Check { files, json }), _) => check::run(&files, json),
        (Some(Command::Status { addr, json }), _) => status::run(addr, json),
        (None, Some(files)) => serve::run(&files),
        (None, None) => Err(CommandError::MissingCommand),
    }
}
