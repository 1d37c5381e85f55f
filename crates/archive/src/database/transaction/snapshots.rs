//! Operations on snapshots and their records within a write transaction.

use salttiller_records::units::Micros;

use super::ArchiveTransaction;
use crate::database::tables::{for_each_record, read_rows, record_keys};
use crate::digest::RecordDigest;
use crate::encoding::encode_entry;
use crate::error::{ArchiveError, Damage, EntryName, StoreResult};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::model::{Change, CompleteSnapshot, KeyedRecord, Row, Snapshot, StoredRecord};
use crate::reconstruct::RevisionRange;

impl ArchiveTransaction<'_> {
    /// Returns all snapshots, oldest first, including an incomplete one.
    pub(crate) fn snapshots(&self) -> Result<Vec<Row<Snapshot>>, ArchiveError> {
        read_rows(&self.path, &self.snapshots, EntryName::Snapshot)
    }

    /// Returns the complete snapshots of all segments, oldest first.
    pub(crate) fn complete_snapshots(&self) -> Result<Vec<CompleteSnapshot>, ArchiveError> {
        let snapshots = self.snapshots()?.into_iter();
        Ok(snapshots.filter_map(CompleteSnapshot::from_row).collect())
    }

    fn incomplete_snapshot(&self) -> Result<Option<Row<Snapshot>>, ArchiveError> {
        let mut snapshots = self.snapshots()?;
        snapshots.retain(|row| row.value.revision.is_none());
        Ok(snapshots.pop())
    }

    fn snapshot_in_progress(&self) -> Result<Row<Snapshot>, ArchiveError> {
        let incomplete = self.incomplete_snapshot()?;
        incomplete.ok_or_else(|| Damage::NoSnapshotInProgress.in_file(&self.path))
    }

    pub(in crate::database) fn put_snapshot(
        &mut self,
        row: &Row<Snapshot>,
    ) -> Result<(), ArchiveError> {
        let bytes = encode_entry(&row.value);
        let previous = self.snapshots.insert(row.id, bytes.as_slice());
        previous.map(drop).in_file(&self.path)
    }

    pub(in crate::database) fn put_record(
        &mut self,
        snapshot: u64,
        key: &str,
        record: &StoredRecord,
    ) -> Result<(), ArchiveError> {
        let bytes = encode_entry(record);
        let previous = self.records.insert((snapshot, key), bytes.as_slice());
        previous.map(drop).in_file(&self.path)
    }

    fn delete_record(&mut self, snapshot: u64, key: &str) -> Result<(), ArchiveError> {
        let removed = self.records.remove((snapshot, key)).map(drop);
        removed.in_file(&self.path)
    }

    /// Starts a snapshot in the last segment. An incomplete snapshot is deleted first.
    pub(super) fn begin_snapshot(
        &mut self,
        first_page_revision: u64,
        wall_clock: Micros,
    ) -> Result<(), ArchiveError> {
        self.delete_incomplete_snapshot()?;
        let segment = self.last_segment()?.id;
        let id = self.snapshots()?.last().map_or(1, |last| last.id + 1);
        let value = Snapshot {
            segment,
            revision: None,
            first_page_revision,
            started: wall_clock,
            records: 0,
            digest: Vec::new(),
        };
        self.put_snapshot(&Row { id, value })
    }

    /// Adds a page of records to the snapshot in progress.
    pub(super) fn add_records(&mut self, records: &[KeyedRecord]) -> Result<(), ArchiveError> {
        let id = self.snapshot_in_progress()?.id;
        records
            .iter()
            .try_for_each(|keyed| self.put_record(id, &keyed.key, &keyed.record))
    }

    /// Makes the snapshot in progress consistent at a revision and marks it complete.
    ///
    /// The pages of a snapshot are read in sequence, each at its own revision. Applying the
    /// changes after the first page's revision brings all pages to the last page's revision.
    pub(in crate::database) fn complete_snapshot(
        &mut self,
        revision: u64,
    ) -> Result<(), ArchiveError> {
        let mut row = self.snapshot_in_progress()?;
        let range = RevisionRange {
            after: row.value.first_page_revision,
            until: revision,
        };
        if !is_disabled(Safeguard::SnapshotConsistency) {
            for change in self.changes_in(row.value.segment, range)? {
                self.apply_change(row.id, change)?;
            }
        }
        let mut digest = RecordDigest::default();
        for_each_record(&self.path, &self.records, row.id, |keyed| {
            digest.add(&keyed.key, &keyed.record);
            Ok(())
        })?;
        let digested = digest.finish();
        row.value.records = digested.records;
        row.value.digest = digested.digest;
        row.value.revision = Some(revision);
        self.put_snapshot(&row)
    }

    fn apply_change(&mut self, snapshot: u64, change: Change) -> Result<(), ArchiveError> {
        let version = change.version;
        match change.value {
            Some(value) => self.put_record(snapshot, &change.key, &StoredRecord { version, value }),
            None => self.delete_record(snapshot, &change.key),
        }
    }

    /// Deletes the snapshot in progress, if there is one.
    pub(crate) fn delete_incomplete_snapshot(&mut self) -> Result<(), ArchiveError> {
        while let Some(row) = self.incomplete_snapshot()? {
            self.delete_snapshot(row.id)?;
        }
        Ok(())
    }

    /// Deletes a snapshot and its records.
    pub(crate) fn delete_snapshot(&mut self, id: u64) -> Result<(), ArchiveError> {
        let removed = self.snapshots.remove(id).map(drop);
        removed.in_file(&self.path)?;
        let removed = self.records.retain_in(record_keys(id), |_, _| false);
        removed.in_file(&self.path)
    }
}
