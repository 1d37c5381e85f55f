//! `salttillerctl archive`.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use schemars::schema_for;

use salttiller::settings::Settings;
use salttiller_archive::export::{export, list, ExportDocument, ListDocument, ListedSegment};
use salttiller_archive::reconstruct::Moment;
use salttiller_archive::recorder::Pace;
use salttiller_archive::retention::Retention;
use salttiller_archive::session::{Goal, Session, Summary};
use salttiller_archive::verify::verify;
use salttiller_archive::{Archive, ArchiveError};

use crate::exit::Failure;
use crate::output::{print_json, write_whole};
use crate::settings::{read_archive_settings, ArchiveSettings};

/// `salttillerctl archive`.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Records all changes, and an image from time to time, until it is ended.
    Run {
        #[command(flatten)]
        source: Source,
        /// End by itself after so many seconds.
        #[arg(long, value_name = "SECONDS")]
        max_s: Option<u64>,
    },
    /// Takes one image, with the changes up to it, and ends.
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
struct Source {
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
pub enum Document {
    /// What `archive export` writes.
    ArchiveExport,
    /// What `archive list --json` prints.
    ArchiveList,
}

/// Runs a command.
pub fn run(args: &Args) -> Result<(), Failure> {
    match &args.command {
        Command::Run { source, max_s } => record(
            source,
            Goal {
                images: None,
                time: max_s.map(Duration::from_secs),
                patience: None,
            },
        ),
        Command::Snapshot { source, patience_s } => record(
            source,
            Goal {
                images: Some(1),
                time: None,
                patience: Some(Duration::from_secs(*patience_s)),
            },
        ),
        Command::Verify { archive, json } => check(archive, *json),
        Command::List { archive, json } => show(archive, *json),
        Command::Export {
            archive,
            revision,
            segment,
            output,
            yes,
        } => {
            let moment = Moment {
                segment: *segment,
                revision: *revision,
            };
            write_out(archive, moment, output.as_deref(), *yes)
        }
    }
}

/// Prints the schema of a document.
pub fn print_schema(document: Document) -> Result<(), Failure> {
    let schema = match document {
        Document::ArchiveExport => schema_for!(ExportDocument),
        Document::ArchiveList => schema_for!(ListDocument),
    };
    print_json(&schema)
}

fn record(source: &Source, goal: Goal) -> Result<(), Failure> {
    let platform = Settings::load(&source.config, None)?;
    let settings = read_archive_settings(source.ini.as_deref())?;
    let deployment = match &source.deployment {
        Some(name) => name.clone(),
        None => platform.regions().join(","),
    };
    let archive = Archive::open_or_create(&source.archive, &deployment)?;
    let mut pace = pace(&settings, platform.store_request_rate);
    if goal.images.is_some() {
        // An image was asked for: it is due now, however young the last one is.
        pace.image_every = 0;
    }
    let session = Session {
        state_service: platform.state_store_addr,
        archive: &archive,
        pace,
        retention: retention(&settings),
        stop: &AtomicBool::new(false),
    };
    let summary = session.run(goal)?;
    report(&summary, &archive)
}

fn pace(settings: &ArchiveSettings, requests_per_second: f64) -> Pace {
    Pace {
        request_gap: micros(1.0 / (requests_per_second * settings.request_share)),
        watch_gap: micros(settings.watch_s),
        image_every: micros(settings.image_every_s),
    }
}

fn retention(settings: &ArchiveSettings) -> Retention {
    Retention {
        images: settings.keep_images,
        age: micros(settings.keep_s),
    }
}

fn micros(seconds: f64) -> u64 {
    Duration::from_secs_f64(seconds).as_micros() as u64
}

fn report(summary: &Summary, archive: &Archive) -> Result<(), Failure> {
    let Summary { requests, images } = summary;
    let file = archive.path().display();
    println!("{file}: {images} images, {requests} requests to the state service");
    Ok(())
}

fn check(path: &Path, json: bool) -> Result<(), Failure> {
    let verified = verify(&Archive::open(path, None)?)?;
    if json {
        return print_json(&verified);
    }
    println!(
        "{}: whole: {} segments, {} images ({} equal to the one before with its changes), \
         {} changes in {} batches",
        path.display(),
        verified.segments,
        verified.images,
        verified.images_from_changes,
        verified.changes,
        verified.batches
    );
    Ok(())
}

fn show(path: &Path, json: bool) -> Result<(), Failure> {
    let listed = list(&Archive::open(path, None)?)?;
    if json {
        return print_json(&listed);
    }
    println!(
        "{}: deployment {}, {} bytes",
        path.display(),
        listed.deployment,
        listed.file_bytes
    );
    for segment in &listed.segments {
        show_segment(segment);
    }
    Ok(())
}

fn show_segment(segment: &ListedSegment) {
    let gap = &segment.gap;
    println!(
        "  gap after revision {}: {}, last answer before it at {:.0}",
        gap.after_revision, gap.cause, gap.last_contact_s
    );
    println!(
        "  segment {}: revisions {} to {}, {} change batches, last answer at {:.0}",
        segment.segment,
        segment.after_revision,
        segment.until_revision,
        segment.batches,
        segment.last_contact_s
    );
    for image in &segment.images {
        println!(
            "    image at revision {}: {} records, begun at {:.0}",
            image.revision, image.records, image.begun_s
        );
    }
}

fn write_out(
    path: &Path,
    moment: Moment,
    output: Option<&Path>,
    overwrite: bool,
) -> Result<(), Failure> {
    let archive = Archive::open(path, None)?;
    let Some(output) = output else {
        return print_json(&export(&archive, moment)?);
    };
    let file = output.display().to_string();
    if output.exists() && !overwrite {
        return Err(Failure::WouldOverwrite(file));
    }
    let document = export(&archive, moment)?;
    write_whole(output, &serde_json::to_vec(&document).unwrap_or_default())
        .map_err(|cause| ArchiveError::io(output, cause).into())
}
