//! Read access to an archive: a consistent view as of one transaction.

use std::path::{Path, PathBuf};

use redb::{ReadOnlyTable, ReadTransaction};

use salttiller_records::history::{last_complete_revisions, Fingerprint, IDENTIFYING_CHANGES};

use super::tables::{
    batch_keys, decode_batch, for_each_record, read_rows, BatchKey, EntryBytes, RecordKey, BATCHES,
    RECORDS, SEGMENTS, SNAPSHOTS,
};
use crate::error::{ArchiveError, EntryName, StoreResult};
use crate::model::{Change, ChangeBatch, CompleteSnapshot, KeyedRecord, Row, Segment, Snapshot};

/// A consistent view of an archive.
pub struct ArchiveView {
    path: PathBuf,
    segments: ReadOnlyTable<u64, EntryBytes>,
    snapshots: ReadOnlyTable<u64, EntryBytes>,
    records: ReadOnlyTable<RecordKey, EntryBytes>,
    batches: ReadOnlyTable<BatchKey, EntryBytes>,
}

impl ArchiveView {
    pub(super) fn open(path: &Path, transaction: &ReadTransaction) -> Result<Self, ArchiveError> {
        Ok(ArchiveView {
            path: path.to_path_buf(),
            segments: transaction.open_table(SEGMENTS).in_file(path)?,
            snapshots: transaction.open_table(SNAPSHOTS).in_file(path)?,
            records: transaction.open_table(RECORDS).in_file(path)?,
            batches: transaction.open_table(BATCHES).in_file(path)?,
        })
    }

    /// Returns the path of the file, for messages.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns all segments, oldest first.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read.
    pub fn segments(&self) -> Result<Vec<Row<Segment>>, ArchiveError> {
        read_rows(&self.path, &self.segments, EntryName::Segment)
    }

    /// Returns all snapshots, oldest first, including an incomplete one.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read.
    pub fn snapshots(&self) -> Result<Vec<Row<Snapshot>>, ArchiveError> {
        read_rows(&self.path, &self.snapshots, EntryName::Snapshot)
    }

    /// Returns the complete snapshots of a segment, oldest first.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read.
    pub fn complete_snapshots(&self, segment: u64) -> Result<Vec<CompleteSnapshot>, ArchiveError> {
        let complete = self.snapshots()?.into_iter();
        Ok(complete
            .filter(|row| row.value.segment == segment)
            .filter_map(CompleteSnapshot::from_row)
            .collect())
    }

    /// Calls `visit` with every record of a snapshot, in key order.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read, or the error of `visit`.
    pub fn for_each_record(
        &self,
        snapshot: u64,
        visit: impl FnMut(KeyedRecord) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        for_each_record(&self.path, &self.records, snapshot, visit)
    }

    /// Calls `visit` with the number and content of every retained change batch of a segment,
    /// in ascending order.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read, or the error of `visit`.
    pub fn for_each_batch(
        &self,
        segment: &Row<Segment>,
        mut visit: impl FnMut(u64, ChangeBatch) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        let keys = batch_keys(segment.id, segment.value.first_batch);
        for row in self.batches.range(keys).in_file(&self.path)? {
            let (key, bytes) = row.in_file(&self.path)?;
            let (_, number) = key.value();
            let batch = decode_batch(&self.path, key.value(), bytes.value())?;
            visit(number, batch)?;
        }
        Ok(())
    }

    /// Returns the changes that identify a segment's history: the last changes that were compared
    /// with the state service, and all changes after them.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read.
    pub fn recent_changes(&self, row: &Row<Segment>) -> Result<Vec<Fingerprint>, ArchiveError> {
        let segment = &row.value;
        let keys = batch_keys(row.id, segment.first_batch);
        let mut newest_first: Vec<Vec<Fingerprint>> = Vec::new();
        let mut compared = 0;
        for row in self.batches.range(keys).in_file(&self.path)?.rev() {
            let (key, bytes) = row.in_file(&self.path)?;
            let batch = decode_batch(&self.path, key.value(), bytes.value())?;
            newest_first.push(batch.changes.iter().map(Change::fingerprint).collect());
            if batch.until <= segment.verified_until {
                compared += batch.changes.len();
            }
            if compared > IDENTIFYING_CHANGES {
                break;
            }
        }
        let mut recent = Vec::new();
        if compared <= IDENTIFYING_CHANGES && segment.first_batch == 0 {
            recent.extend(segment.preceding_changes.iter().cloned());
        }
        recent.extend(newest_first.into_iter().rev().flatten());
        Ok(retain_identifying_changes(recent, segment.verified_until))
    }

    /// Returns the size of the file in bytes.
    ///
    /// # Errors
    /// Returns an error if the file's metadata can't be read.
    pub fn file_bytes(&self) -> Result<u64, ArchiveError> {
        std::fs::metadata(&self.path)
            .map(|metadata| metadata.len())
            .map_err(|cause| ArchiveError::io(&self.path, cause))
    }
}

/// Reduces changes in revision order to those that identify the history: the last changes up to
/// `verified_until`, and all changes after it.
fn retain_identifying_changes(
    mut changes: Vec<Fingerprint>,
    verified_until: u64,
) -> Vec<Fingerprint> {
    let split = changes.partition_point(|change| change.version <= verified_until);
    let unverified = changes.split_off(split);
    let mut recent = last_complete_revisions(changes);
    recent.extend(unverified);
    recent
}
