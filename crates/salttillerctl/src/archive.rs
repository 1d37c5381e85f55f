//! `salttillerctl archive`: defines the command line and dispatches the commands.
//!
//! The doc comments of the command-line types are printed as help text.

mod export;
mod inspect;
mod record;

use std::path::PathBuf;
use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use schemars::schema_for;

use salttiller_archive::documents::{ExportDocument, ListDocument};
use salttiller_archive::reconstruct::PointInTime;
use salttiller_archive::session::SessionLimits;

use crate::failure::Failure;
use crate::output::print_json;

/// Commands of `salttillerctl archive`.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Records all changes, and a snapshot from time to time, until it is ended.
    Run {
        #[command(flatten)]
        source: Source,
        /// End by itself after so many seconds.
        #[arg(long, value_name = "SECONDS")]
        max_s: Option<u64>,
    },
    /// Takes one snapshot, with the changes up to it, and ends.
    Snapshot {
        #[command(flatten)]
        source: Source,
        /// Give up when the state service gave no usable answer for so many seconds.
        #[arg(long, value_name = "SECONDS", default_value_t = 60)]
        patience_s: u64,
    },
    /// Checks that an archive is whole.
    Verify {
        /// The archive.
        archive: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows what an archive holds, and its gaps.
    List {
        /// The archive.
        archive: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Writes out all records as they were at a revision, as JSON.
    Export {
        /// The archive.
        archive: PathBuf,
        /// The revision; the last one known unless given.
        #[arg(long)]
        revision: Option<u64>,
        /// The segment; the newest that covers the revision unless given.
        #[arg(long)]
        segment: Option<u64>,
        /// The file to write; standard output unless given.
        #[arg(long, value_name = "FILE")]
        output: Option<PathBuf>,
        /// Overwrite the file if it is there.
        #[arg(long)]
        yes: bool,
    },
}

/// Where records come from and go to.
#[derive(clap::Args)]
pub(crate) struct Source {
    /// The archive; created if there is none.
    archive: PathBuf,
    /// The platform's settings (JSON), those of any controller.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' settings of the archive (INI).
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// Name of the deployment; that of its controllers unless given.
    #[arg(long)]
    deployment: Option<String>,
}

/// A document with a published schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Document {
    /// What `archive export` writes.
    ArchiveExport,
    /// What `archive list --json` prints.
    ArchiveList,
}

/// Runs a command of `salttillerctl archive`.
///
/// # Errors
/// Returns an error if the command fails.
pub(crate) fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Run { source, max_s } => {
            let limits = SessionLimits {
                duration: max_s.map(Duration::from_secs),
                ..SessionLimits::default()
            };
            record::record(source, limits)
        }
        Command::Snapshot { source, patience_s } => {
            let limits = SessionLimits {
                snapshots: Some(1),
                unavailability: Some(Duration::from_secs(*patience_s)),
                ..SessionLimits::default()
            };
            record::record(source, limits)
        }
        Command::Verify { archive, json } => inspect::verify_archive(archive, *json),
        Command::List { archive, json } => inspect::list_archive(archive, *json),
        Command::Export {
            archive,
            revision,
            segment,
            output,
            yes,
        } => {
            let point = PointInTime {
                segment: *segment,
                revision: *revision,
            };
            match output {
                Some(output) => export::export_to_file(archive, point, output, *yes),
                None => export::print_export(archive, point),
            }
        }
    }
}

/// Prints the JSON schema of a document.
///
/// # Errors
/// Returns an error if standard output can't be written.
pub(crate) fn print_schema(document: Document) -> Result<(), Failure> {
    let schema = match document {
        Document::ArchiveExport => schema_for!(ExportDocument),
        Document::ArchiveList => schema_for!(ListDocument),
    };
    print_json(&schema)
}
