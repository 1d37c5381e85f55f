//! Failures of a command and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use salttiller::settings::SettingsError;
use salttiller_archive::ArchiveError;
use thiserror::Error;

use crate::state_service::StateServiceError;

/// Why a command failed. The message is a single line.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The platform's settings or the INI file can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The archive can't be used.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// The output file exists and `--yes` is not given.
    #[error("{}: file exists; --yes overwrites it", .0.display())]
    WouldOverwrite(PathBuf),
    /// The state service gave no usable response.
    #[error("state service: {0}")]
    StateService(#[from] StateServiceError),
    /// There is no data-loss hold that waits for a decision.
    #[error("no data-loss hold waits for a decision")]
    NoPendingHold,
    /// Another decision or a further data loss changed the hold's record after it was read.
    #[error("the hold's record changed after it was read; run `recover status` again")]
    HoldChanged,
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    StandardOutput(#[source] io::Error),
}

impl Failure {
    /// Returns the exit code, by which scripts distinguish failures. docs/operators/recovery.md
    /// lists the exit codes. Exit code 2 is reserved for clap's usage errors.
    #[must_use]
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::StandardOutput(_) => 1,
            Failure::Settings(_) => 3,
            Failure::WouldOverwrite(_) => 4,
            Failure::Archive(error) => archive_exit_code(error),
            Failure::StateService(_) => 18,
            Failure::NoPendingHold => 20,
            Failure::HoldChanged => 21,
        })
    }
}

fn archive_exit_code(error: &ArchiveError) -> u8 {
    match error {
        ArchiveError::Io { .. } => 1,
        ArchiveError::NotFound(_) => 10,
        ArchiveError::NotAnArchive { .. } => 11,
        ArchiveError::UnsupportedFormat { .. } => 12,
        ArchiveError::OtherDeployment { .. } => 13,
        ArchiveError::Damaged { .. } => 14,
        ArchiveError::InUse(_) => 15,
        ArchiveError::NoSpace(_) => 16,
        ArchiveError::NotCovered(_) => 17,
        ArchiveError::StateService(_) => 18,
    }
}
