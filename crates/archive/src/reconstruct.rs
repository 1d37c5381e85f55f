//! Point-in-time reconstruction of the records at a revision that the archive covers, from the
//! last snapshot at or before that revision and the changes after the snapshot.

use std::collections::BTreeMap;
use std::fmt;

use salttiller_records::units::Micros;

use crate::database::ArchiveView;
use crate::error::ArchiveError;
use crate::model::{Change, CompleteSnapshot, Row, Segment, StoredRecord};

/// All records, by key.
pub type RecordMap = BTreeMap<String, StoredRecord>;

/// A point in time that an operator requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PointInTime {
    /// Number of the segment; `None` selects the newest segment that covers the revision.
    pub segment: Option<u64>,
    /// Revision; `None` selects the last known revision.
    pub revision: Option<u64>,
}

/// Describes what is missing for this point in time, for an error message.
impl fmt::Display for PointInTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.revision {
            Some(revision) => write!(f, "no snapshot with the changes up to revision {revision}")?,
            None => f.write_str("no complete snapshot")?,
        }
        match self.segment {
            Some(segment) => write!(f, " in segment {segment}"),
            None => Ok(()),
        }
    }
}

/// A range of revisions: after one revision, up to and including another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionRange {
    /// The last revision before the range.
    pub after: u64,
    /// The last revision in the range.
    pub until: u64,
}

impl RevisionRange {
    /// Whether the range contains a revision.
    #[must_use]
    pub fn contains(&self, revision: u64) -> bool {
        self.after < revision && revision <= self.until
    }
}

/// The records at a point in time, with the snapshot and changes that they result from.
#[derive(Debug, Clone, PartialEq)]
pub struct Reconstruction {
    /// The segment that covers the revision.
    pub segment: Row<Segment>,
    /// The reconstructed revision.
    pub revision: u64,
    /// Revision of the snapshot that the reconstruction starts from.
    pub snapshot_revision: u64,
    /// Wall-clock time at which the snapshot was started.
    pub snapshot_started: Micros,
    /// Number of changes applied to the snapshot.
    pub changes_applied: u64,
    /// The records at the reconstructed revision.
    pub records: RecordMap,
}

/// Reconstructs the records at a point in time.
///
/// # Errors
/// Returns [`ArchiveError::NotCovered`] if there is no snapshot to start from, or another error if
/// the archive can't be read.
pub fn reconstruct(view: &ArchiveView, point: PointInTime) -> Result<Reconstruction, ArchiveError> {
    let (segment, revision, base) = find_base(view, point)?;
    let mut records = load_snapshot(view, base.id)?;
    let range = RevisionRange {
        after: base.revision,
        until: revision,
    };
    let changes_applied = apply_changes(view, &segment, range, &mut records)?;
    Ok(Reconstruction {
        segment,
        revision,
        snapshot_revision: base.revision,
        snapshot_started: base.snapshot.started,
        changes_applied,
        records,
    })
}

/// Returns the newest segment that covers a point in time, the selected revision, and the last
/// snapshot at or before that revision.
fn find_base(
    view: &ArchiveView,
    point: PointInTime,
) -> Result<(Row<Segment>, u64, CompleteSnapshot), ArchiveError> {
    let mut segments = view.segments()?;
    segments.retain(|row| point.segment.is_none_or(|wanted| wanted == row.id));
    for segment in segments.into_iter().rev() {
        let revision = point.revision.unwrap_or(segment.value.until);
        if revision > segment.value.until {
            continue;
        }
        let snapshots = view.complete_snapshots(segment.id)?;
        let base = snapshots.into_iter().rfind(|s| s.revision <= revision);
        if let Some(base) = base {
            return Ok((segment, revision, base));
        }
    }
    Err(ArchiveError::NotCovered(point))
}

/// Returns the records of a snapshot.
///
/// # Errors
/// Returns an error if the archive can't be read.
pub fn load_snapshot(view: &ArchiveView, snapshot: u64) -> Result<RecordMap, ArchiveError> {
    let mut records = RecordMap::new();
    view.for_each_record(snapshot, |keyed| {
        records.insert(keyed.key, keyed.record);
        Ok(())
    })?;
    Ok(records)
}

/// Applies a segment's changes within a range of revisions to `records` and returns their number.
///
/// # Errors
/// Returns an error if the archive can't be read.
pub fn apply_changes(
    view: &ArchiveView,
    segment: &Row<Segment>,
    range: RevisionRange,
    records: &mut RecordMap,
) -> Result<u64, ArchiveError> {
    let mut applied = 0;
    view.for_each_batch(segment, |_, batch| {
        let wanted = |change: &Change| range.contains(change.version);
        for change in batch.changes.into_iter().filter(wanted) {
            applied += 1;
            apply_change(records, change);
        }
        Ok(())
    })?;
    Ok(applied)
}

fn apply_change(records: &mut RecordMap, change: Change) {
    let Change {
        version,
        key,
        value,
    } = change;
    match value {
        Some(value) => records.insert(key, StoredRecord { version, value }),
        None => records.remove(&key),
    };
}
