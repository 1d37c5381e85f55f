//! What the recorder decides.

use salttiller_records::history::Fingerprint;

use crate::model::{ChangeBatch, Gap, KeyedRecord};

/// A change to the archive. Actions that come together are carried out in their order and in
/// one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts a segment.
    BeginSegment {
        /// The gap before it.
        gap: Gap,
        /// Its changes are complete after this revision.
        after: u64,
    },
    /// Stores the changes just before the new segment.
    SetPrecedingChanges(Vec<Fingerprint>),
    /// Starts a snapshot; an incomplete one is deleted.
    BeginSnapshot {
        /// Revision of its first page.
        first_page_revision: u64,
    },
    /// Adds records to the snapshot in progress.
    AddRecords(Vec<KeyedRecord>),
    /// Brings the snapshot in progress to this revision by the archived changes, and
    /// completes it.
    CompleteSnapshot {
        /// The revision.
        revision: u64,
    },
    /// Deletes the snapshot in progress.
    AbandonSnapshot,
    /// Adds changes to the segment.
    AddChanges(ChangeBatch),
    /// Deletes the segment's changes after a revision: they are of another history.
    DropChangesAfter(u64),
    /// Ends the segment: whatever comes next doesn't continue it.
    EndSegment(Gap),
    /// There are no changes up to a revision.
    AdvanceTo(u64),
    /// The history was compared and is the segment's up to a revision.
    MarkVerified(u64),
}
