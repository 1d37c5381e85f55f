//! Verification of an archive: checks checksums and batch numbers, and compares each snapshot with
//! the result of applying the changes to the previous snapshot.

use serde::Serialize;

use crate::database::{Archive, ArchiveView};
use crate::digest::{DigestedRecords, RecordDigest};
use crate::error::{ArchiveError, Damage, EntryName};
use crate::model::{ChangeBatch, CompleteSnapshot, Row, Segment};
use crate::reconstruct::{apply_changes, load_snapshot, RecordMap, RevisionRange};

/// Numbers of verified items. The counts are printed as JSON; the names are part of that format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct VerifiedCounts {
    /// Number of segments.
    pub segments: u64,
    /// Number of complete snapshots, each verified against its digest.
    #[serde(rename = "images")]
    pub snapshots: u64,
    /// Number of snapshots that equal the previous snapshot with the changes applied.
    #[serde(rename = "images_from_changes")]
    pub snapshots_from_changes: u64,
    /// Number of change batches.
    pub batches: u64,
    /// Number of changes.
    pub changes: u64,
}

/// Verifies an archive.
///
/// # Errors
/// Returns the first damage found, or another error if the file can't be read.
pub fn verify(archive: &Archive) -> Result<VerifiedCounts, ArchiveError> {
    archive.check_integrity()?;
    archive.read(|view| {
        let mut counts = VerifiedCounts::default();
        for segment in view.segments()? {
            counts.segments += 1;
            verify_batches(view, &segment, &mut counts)?;
            verify_snapshots(view, &segment, &mut counts)?;
        }
        Ok(counts)
    })
}

/// Checks that batches are numbered without gaps and that their changes are in order.
fn verify_batches(
    view: &ArchiveView,
    segment: &Row<Segment>,
    counts: &mut VerifiedCounts,
) -> Result<(), ArchiveError> {
    let name = |number| EntryName::ChangeBatch {
        segment: segment.id,
        number,
    };
    let missing = |number| Damage::MissingBatch(name(number)).in_file(view.path());
    let mut expected = segment.value.first_batch;
    let mut until = segment.value.after;
    view.for_each_batch(segment, |number, batch| {
        if number != expected {
            return Err(missing(expected));
        }
        if batch.after < until || batch.until > segment.value.until {
            return Err(Damage::BatchOutOfOrder(name(number)).in_file(view.path()));
        }
        verify_change_order(&batch, name(number)).map_err(|damage| damage.in_file(view.path()))?;
        expected += 1;
        until = batch.until;
        counts.batches += 1;
        counts.changes += batch.changes.len() as u64;
        Ok(())
    })?;
    if expected != segment.value.next_batch {
        return Err(missing(expected));
    }
    Ok(())
}

/// Checks that a batch's changes are in revision order and within the batch's range.
fn verify_change_order(batch: &ChangeBatch, name: EntryName) -> Result<(), Damage> {
    let mut last = batch.after;
    for change in &batch.changes {
        if change.version <= batch.after || change.version < last {
            return Err(Damage::ChangesOutOfOrder(name));
        }
        last = change.version;
    }
    if last > batch.until {
        return Err(Damage::ChangesPastEnd(name));
    }
    Ok(())
}

/// Checks each snapshot against its digest and against the previous snapshot with the changes
/// applied.
fn verify_snapshots(
    view: &ArchiveView,
    segment: &Row<Segment>,
    counts: &mut VerifiedCounts,
) -> Result<(), ArchiveError> {
    let mut previous: Option<(u64, RecordMap)> = None;
    for complete in view.complete_snapshots(segment.id)? {
        let records = load_snapshot(view, complete.id)?;
        let name = EntryName::Snapshot(complete.id);
        if !matches_digest(&complete, &records) {
            return Err(Damage::SnapshotDigest(name).in_file(view.path()));
        }
        if let Some((after, mut replayed)) = previous.take() {
            let until = complete.revision;
            let range = RevisionRange { after, until };
            apply_changes(view, segment, range, &mut replayed)?;
            if replayed != records {
                return Err(Damage::SnapshotDiffers(name).in_file(view.path()));
            }
            counts.snapshots_from_changes += 1;
        }
        counts.snapshots += 1;
        previous = Some((complete.revision, records));
    }
    Ok(())
}

fn matches_digest(complete: &CompleteSnapshot, records: &RecordMap) -> bool {
    let mut digest = RecordDigest::default();
    for (key, record) in records {
        digest.add(key, record);
    }
    let stored = DigestedRecords {
        records: complete.snapshot.records,
        digest: complete.snapshot.digest.clone(),
    };
    digest.finish() == stored
}
