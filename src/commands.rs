//! Commands of the program, each in its own submodule. This module defines the settings files, the
//! errors and the exit codes that the commands share.

pub(crate) mod check;
pub(crate) mod serve;
pub(crate) mod status;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use salttiller::settings::{Settings, SettingsError};
use thiserror::Error;

/// Settings files of a controller.
#[derive(Args)]
pub(crate) struct SettingsFiles {
    /// Operators' settings (INI).
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// Platform settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl SettingsFiles {
    /// Reads and validates both files.
    pub(crate) fn load(&self) -> Result<Settings, SettingsError> {
        Settings::load(&self.config, self.ini.as_deref())
    }
}

/// Reason for which a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line contains neither settings nor a command.
    #[error("--config FILE or a command is required; see --help")]
    MissingCommand,
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The controller failed to open its listeners, or its event loop failed.
    #[error("{0}")]
    Serve(#[source] std::io::Error),
    /// The status request to a running controller failed.
    #[error(transparent)]
    Status(#[from] status::StatusError),
}

/// Exit code of `salttiller status` if an objective is breached.
const EXIT_OBJECTIVE_BREACHED: u8 = 3;
/// Exit code of a usage error, the same that clap uses.
const EXIT_USAGE: u8 = 2;

impl CommandError {
    /// Exit code of the program for this error. Scripts depend on these codes.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::MissingCommand => ExitCode::from(EXIT_USAGE),
            CommandError::Settings(_) | CommandError::Serve(_) | CommandError::Status(_) => {
                ExitCode::FAILURE
            }
        }
    }
}
