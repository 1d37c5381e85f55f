//! The program's commands, a file each; what they have in common: the settings' files, the
//! errors and the exit codes.

pub(crate) mod check;
pub(crate) mod serve;
pub(crate) mod status;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use salttiller::settings::{Settings, SettingsError};
use thiserror::Error;

/// Files with the settings of a controller.
#[derive(Args)]
pub(crate) struct SettingsFiles {
    /// Operators' own settings (INI).
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl SettingsFiles {
    /// Reads and validates both files.
    pub(crate) fn load(&self) -> Result<Settings, SettingsError> {
        Settings::load(&self.config, self.ini.as_deref())
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// Neither settings nor a command were given.
    #[error("--config FILE or a command is needed, see --help")]
    NothingToDo,
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The controller could not open its listeners, or its event loop failed.
    #[error("{0}")]
    Serve(#[source] std::io::Error),
    /// A running controller gave no usable answer.
    #[error(transparent)]
    Status(#[from] status::StatusError),
}

/// Exit code of a command that answered, with an objective breached.
const OBJECTIVE_BREACHED: u8 = 3;
/// Exit code of a wrong call; clap's own for the errors that it finds.
const USAGE: u8 = 2;

impl CommandError {
    /// The exit code that scripts go by.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::NothingToDo => ExitCode::from(USAGE),
            CommandError::Settings(_) | CommandError::Serve(_) | CommandError::Status(_) => {
                ExitCode::FAILURE
            }
        }
    }
}
