//! Failures of a command and their exit codes.

use std::process::ExitCode;

use salttiller::settings::SettingsError;
use salttiller_archive::ArchiveError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The platform's file or the INI can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The archive can't be used.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// A file that is there already would be overwritten.
    #[error("{0}: is there already; --yes overwrites it")]
    WouldOverwrite(String),
    /// The state service gave no usable answer.
    #[error("state service: {0}")]
    StateService(String),
    /// There is nothing to decide.
    #[error("no hold: there is nothing to decide")]
    NotHeld,
    /// Another decision, or a further loss, came in between.
    #[error("the hold's record changed in between; look again")]
    Changed,
    /// An output file can't be written.
    #[error("{file}: {cause}")]
    Output {
        /// The file.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
}

impl Failure {
    /// The exit code that scripts go by. 2 is clap's for a wrong call.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Output { .. } => 1,
            Failure::Settings(_) => 3,
            Failure::WouldOverwrite(_) => 4,
            Failure::StateService(_) => 18,
            Failure::NotHeld => 20,
            Failure::Changed => 21,
            Failure::Archive(error) => match error {
                ArchiveError::Io { .. } => 1,
                ArchiveError::Missing(_) => 10,
                ArchiveError::Foreign { .. } => 11,
                ArchiveError::Newer { .. } => 12,
                ArchiveError::OtherDeployment { .. } => 13,
                ArchiveError::Damaged { .. } => 14,
                ArchiveError::InUse(_) => 15,
                ArchiveError::NoSpace(_) => 16,
                ArchiveError::NotKept(_) => 17,
                ArchiveError::StateService(_) => 18,
            },
        })
    }
}
