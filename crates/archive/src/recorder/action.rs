//! Actions by which the recorder changes the archive.

use salttiller_records::history::Fingerprint;

use crate::model::{ChangeBatch, Gap, KeyedRecord};

/// A change to the archive. Actions that are returned together are applied in order and in one
/// transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts a segment.
    BeginSegment {
        /// The gap before the segment.
        gap: Gap,
        /// The segment covers all changes after this revision.
        after: u64,
    },
    /// Stores the changes just before the new segment.
    SetPrecedingChanges(Vec<Fingerprint>),
    /// Starts a snapshot. An incomplete snapshot is deleted first.
    BeginSnapshot {
        /// Revision of the snapshot's first page.
        first_page_revision: u64,
    },
    /// Adds records to the snapshot in progress.
    AddRecords(Vec<KeyedRecord>),
    /// Applies the archived changes up to a revision to the snapshot in progress, and marks the
    /// snapshot complete.
    CompleteSnapshot {
        /// Revision at which the snapshot is consistent.
        revision: u64,
    },
    /// Deletes the snapshot in progress.
    AbandonSnapshot,
    /// Appends a batch of changes to the segment.
    AddChanges(ChangeBatch),
    /// Deletes the segment's changes after a revision, because they belong to another history.
    DropChangesAfter(u64),
    /// Ends the segment. Later changes belong to a new segment.
    EndSegment(Gap),
    /// Extends the segment to a revision up to which there are no further changes.
    AdvanceTo(u64),
    /// Records that a comparison found the segment's history at the state service, up to a
    /// revision.
    MarkVerified(u64),
}
