//! Write transactions: apply the recorder's actions to the archive's tables.

mod segments;
mod snapshots;

use std::path::{Path, PathBuf};

use redb::{Table, WriteTransaction};

use salttiller_records::units::Micros;

use super::tables::{BatchKey, EntryBytes, RecordKey, BATCHES, RECORDS, SEGMENTS, SNAPSHOTS};
use crate::error::{ArchiveError, StoreResult};
use crate::recorder::Action;

/// Tables of an archive within a write transaction. Changes take effect when the transaction is
/// committed.
pub(crate) struct ArchiveTransaction<'txn> {
    path: PathBuf,
    segments: Table<'txn, u64, EntryBytes>,
    pub(super) snapshots: Table<'txn, u64, EntryBytes>,
    pub(super) records: Table<'txn, RecordKey, EntryBytes>,
    pub(super) batches: Table<'txn, BatchKey, EntryBytes>,
}

impl<'txn> ArchiveTransaction<'txn> {
    /// Opens the tables, creating those that are missing.
    pub(super) fn open(
        path: &Path,
        transaction: &'txn WriteTransaction,
    ) -> Result<Self, ArchiveError> {
        Ok(ArchiveTransaction {
            path: path.to_path_buf(),
            segments: transaction.open_table(SEGMENTS).in_file(path)?,
            snapshots: transaction.open_table(SNAPSHOTS).in_file(path)?,
            records: transaction.open_table(RECORDS).in_file(path)?,
            batches: transaction.open_table(BATCHES).in_file(path)?,
        })
    }

    /// Applies one action of the recorder.
    pub(super) fn apply(
        &mut self,
        action: &Action,
        wall_clock: Micros,
    ) -> Result<(), ArchiveError> {
        match action {
            Action::BeginSegment { gap, after } => self.begin_segment(gap, *after, wall_clock),
            Action::SetPrecedingChanges(changes) => {
                self.update_segment(|segment| segment.preceding_changes.clone_from(changes))
            }
            Action::BeginSnapshot {
                first_page_revision,
            } => self.begin_snapshot(*first_page_revision, wall_clock),
            Action::AddRecords(records) => self.add_records(records),
            Action::CompleteSnapshot { revision } => self.complete_snapshot(*revision),
            Action::AbandonSnapshot => self.delete_incomplete_snapshot(),
            Action::AddChanges(batch) => self.add_batch(batch),
            Action::DropChangesAfter(revision) => self.drop_changes_after(*revision),
            Action::EndSegment(gap) => {
                self.update_segment(|segment| segment.ended_by = Some(gap.clone()))
            }
            Action::AdvanceTo(revision) => self.update_segment(|segment| {
                segment.until = *revision;
                segment.last_contact = wall_clock;
            }),
            Action::MarkVerified(revision) => self.update_segment(|segment| {
                segment.verified_until = *revision;
                segment.last_contact = wall_clock;
            }),
        }
    }
}
