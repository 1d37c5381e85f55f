//! The commands `archive verify` and `archive list`.

use std::path::Path;

use salttiller_archive::documents::{ListDocument, ListedSegment};
use salttiller_archive::export::list;
use salttiller_archive::verify::{verify, VerifiedCounts};
use salttiller_archive::Archive;

use crate::failure::Failure;
use crate::output::print_json;

/// Verifies an archive and prints the numbers of verified items.
pub(super) fn verify_archive(path: &Path, json: bool) -> Result<(), Failure> {
    let counts = verify(&Archive::open(path, None)?)?;
    if json {
        return print_json(&counts);
    }
    print_counts(path, counts);
    Ok(())
}

fn print_counts(path: &Path, counts: VerifiedCounts) {
    println!(
        "{}: whole: {} segments, {} snapshots ({} equal to the one before with its changes), \
         {} changes in {} batches",
        path.display(),
        counts.segments,
        counts.snapshots,
        counts.snapshots_from_changes,
        counts.changes,
        counts.batches
    );
}

/// Prints an archive's segments, gaps and snapshots.
pub(super) fn list_archive(path: &Path, json: bool) -> Result<(), Failure> {
    let document = list(&Archive::open(path, None)?)?;
    if json {
        return print_json(&document);
    }
    print_list(path, &document);
    Ok(())
}

fn print_list(path: &Path, document: &ListDocument) {
    println!(
        "{}: deployment {}, {} bytes",
        path.display(),
        document.deployment,
        document.file_bytes
    );
    document.segments.iter().for_each(print_segment);
}

fn print_segment(segment: &ListedSegment) {
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
    for snapshot in &segment.snapshots {
        println!(
            "    snapshot at revision {}: {} records, started at {:.0}",
            snapshot.revision, snapshot.records, snapshot.started_s
        );
    }
}
