//! Conversion of an archive's content into the JSON documents of [`crate::documents`].

use salttiller_records::units::to_seconds;

use crate::database::{Archive, ArchiveView};
use crate::documents::{
    ExportDocument, ExportedRecord, ListDocument, ListedGap, ListedSegment, ListedSnapshot,
    DOCUMENT_VERSION,
};
use crate::error::{ArchiveError, Damage};
use crate::model::{Gap, GapCause, Row, Segment};
use crate::reconstruct::{reconstruct, PointInTime, RecordMap};

/// Exports the records at a point in time.
///
/// # Errors
/// Returns [`ArchiveError::NotCovered`] if the archive does not cover the point in time, or another
/// error if the archive can't be read.
pub fn export(archive: &Archive, point: PointInTime) -> Result<ExportDocument, ArchiveError> {
    archive.read(|view| {
        let found = reconstruct(view, point)?;
        let records =
            decode_records(found.records).map_err(|damage| damage.in_file(view.path()))?;
        Ok(ExportDocument {
            version: DOCUMENT_VERSION,
            deployment: archive.deployment().to_owned(),
            segment: found.segment.id,
            revision: found.revision,
            known_until_revision: found.segment.value.until,
            known_until_s: to_seconds(found.segment.value.last_contact),
            snapshot_revision: found.snapshot_revision,
            changes_applied: found.changes_applied,
            records,
        })
    })
}

fn decode_records(records: RecordMap) -> Result<Vec<ExportedRecord>, Damage> {
    records
        .into_iter()
        .map(|(key, record)| match record.decode_value() {
            Ok(value) => Ok(ExportedRecord {
                key,
                version: record.version,
                value,
            }),
            Err(cause) => Err(Damage::RecordValue { key, cause }),
        })
        .collect()
}

/// Lists an archive's segments and snapshots.
///
/// # Errors
/// Returns an error if the archive can't be read.
pub fn list(archive: &Archive) -> Result<ListDocument, ArchiveError> {
    archive.read(|view| {
        let segments = view.segments()?;
        let listed = segments.iter().map(|segment| list_segment(view, segment));
        Ok(ListDocument {
            version: DOCUMENT_VERSION,
            deployment: archive.deployment().to_owned(),
            file_bytes: view.file_bytes()?,
            segments: listed.collect::<Result<_, _>>()?,
        })
    })
}

fn list_segment(view: &ArchiveView, row: &Row<Segment>) -> Result<ListedSegment, ArchiveError> {
    let segment = &row.value;
    Ok(ListedSegment {
        segment: row.id,
        gap: list_gap(&segment.gap),
        after_revision: segment.after,
        until_revision: segment.until,
        last_contact_s: to_seconds(segment.last_contact),
        batches: segment.next_batch - segment.first_batch,
        snapshots: list_snapshots(view, row.id)?,
    })
}

fn list_snapshots(view: &ArchiveView, segment: u64) -> Result<Vec<ListedSnapshot>, ArchiveError> {
    let snapshots = view.complete_snapshots(segment)?.into_iter();
    Ok(snapshots
        .map(|complete| ListedSnapshot {
            revision: complete.revision,
            started_s: to_seconds(complete.snapshot.started),
            records: complete.snapshot.records,
        })
        .collect())
}

fn list_gap(gap: &Gap) -> ListedGap {
    ListedGap {
        cause: describe_cause(&gap.cause),
        after_revision: gap.after_revision,
        last_contact_s: to_seconds(gap.last_contact),
        detected_s: to_seconds(gap.detected),
    }
}

/// Returns the text of a cause. Scripts may compare the text, so it must not change.
fn describe_cause(cause: &GapCause) -> String {
    match cause {
        GapCause::FirstRecording => "first recording".to_owned(),
        GapCause::ChangesCompacted => "the state service no longer kept the changes".to_owned(),
        GapCause::RevisionWentBack { to } => format!("the revision went back to {to}"),
        GapCause::HistoryReplaced => "the state service shows another history".to_owned(),
    }
}
