//! Operations on segments and their change batches within a write transaction.

use redb::ReadableTable;

use salttiller_records::units::Micros;

use super::ArchiveTransaction;
use crate::database::tables::{batch_keys, decode_batch, read_rows};
use crate::encoding::{decode_entry, encode_entry};
use crate::error::{ArchiveError, Damage, EntryName, StoreResult};
use crate::model::{Change, ChangeBatch, Gap, Row, Segment};
use crate::reconstruct::RevisionRange;

impl ArchiveTransaction<'_> {
    /// Returns all segments, oldest first.
    pub(crate) fn segments(&self) -> Result<Vec<Row<Segment>>, ArchiveError> {
        read_rows(&self.path, &self.segments, EntryName::Segment)
    }

    pub(super) fn last_segment(&self) -> Result<Row<Segment>, ArchiveError> {
        let last = self.segments()?.pop();
        last.ok_or_else(|| Damage::NoSegment.in_file(&self.path))
    }

    fn put_segment(&mut self, row: &Row<Segment>) -> Result<(), ArchiveError> {
        let bytes = encode_entry(&row.value);
        let previous = self.segments.insert(row.id, bytes.as_slice());
        previous.map(drop).in_file(&self.path)
    }

    /// Applies `change` to the last segment and stores the result.
    pub(super) fn update_segment(
        &mut self,
        change: impl FnOnce(&mut Segment),
    ) -> Result<(), ArchiveError> {
        let mut row = self.last_segment()?;
        change(&mut row.value);
        self.put_segment(&row)
    }

    pub(super) fn begin_segment(
        &mut self,
        gap: &Gap,
        after: u64,
        wall_clock: Micros,
    ) -> Result<(), ArchiveError> {
        let id = self.segments()?.last().map_or(1, |last| last.id + 1);
        let value = Segment {
            gap: gap.clone(),
            after,
            until: after,
            verified_until: after,
            first_batch: 0,
            next_batch: 0,
            preceding_changes: Vec::new(),
            last_contact: wall_clock,
            ended_by: None,
        };
        self.put_segment(&Row { id, value })
    }

    /// Appends a change batch to the last segment. The batch must start where the segment ends.
    pub(super) fn add_batch(&mut self, batch: &ChangeBatch) -> Result<(), ArchiveError> {
        let mut row = self.last_segment()?;
        let segment = &mut row.value;
        if batch.after != segment.until {
            let damage = Damage::NotContiguous {
                after: batch.after,
                expected: segment.until,
            };
            return Err(damage.in_file(&self.path));
        }
        let key = (row.id, segment.next_batch);
        let bytes = encode_entry(batch);
        let previous = self.batches.insert(key, bytes.as_slice());
        previous.map(drop).in_file(&self.path)?;
        segment.next_batch += 1;
        segment.until = batch.until;
        segment.last_contact = batch.received;
        self.put_segment(&row)
    }

    /// Returns a change batch, or `None` if the batch is missing or damaged. Deletion stops at
    /// such a batch and recording continues; only verification reports the damage.
    fn readable_batch(
        &self,
        segment: u64,
        number: u64,
    ) -> Result<Option<ChangeBatch>, ArchiveError> {
        let bytes = self.batches.get((segment, number)).in_file(&self.path)?;
        Ok(bytes.and_then(|bytes| decode_entry(bytes.value()).ok()))
    }

    fn delete_batch(&mut self, segment: u64, number: u64) -> Result<(), ArchiveError> {
        let removed = self.batches.remove((segment, number)).map(drop);
        removed.in_file(&self.path)
    }

    /// Returns a segment's changes in a range of revisions, oldest first.
    pub(super) fn changes_in(
        &self,
        segment: u64,
        range: RevisionRange,
    ) -> Result<Vec<Change>, ArchiveError> {
        let mut changes = Vec::new();
        let batches = self.batches.range(batch_keys(segment, 0));
        // The batches are read newest first, because a snapshot needs only the last of possibly
        // many batches.
        for row in batches.in_file(&self.path)?.rev() {
            let (key, bytes) = row.in_file(&self.path)?;
            let batch = decode_batch(&self.path, key.value(), bytes.value())?;
            if batch.until <= range.after {
                break;
            }
            changes.extend(batch.changes.into_iter().rev());
        }
        changes.reverse();
        changes.retain(|change| range.contains(change.version));
        Ok(changes)
    }

    /// Deletes the newest batches of the last segment that start at or after a revision. A batch
    /// that contains the change of that revision is kept as a whole.
    pub(super) fn drop_changes_after(&mut self, revision: u64) -> Result<(), ArchiveError> {
        let mut row = self.last_segment()?;
        let segment = &mut row.value;
        let mut until = revision;
        while segment.next_batch > segment.first_batch {
            let newest = segment.next_batch - 1;
            let batch = self.readable_batch(row.id, newest)?;
            let Some(batch) = batch.filter(|batch| batch.after >= revision) else {
                break;
            };
            self.delete_batch(row.id, newest)?;
            segment.next_batch = newest;
            until = batch.after;
        }
        segment.until = until;
        self.put_segment(&row)
    }

    /// Deletes a segment's oldest batches that end at or before a revision.
    pub(crate) fn delete_changes_until(
        &mut self,
        id: u64,
        revision: u64,
    ) -> Result<(), ArchiveError> {
        let Some(mut row) = self.segments()?.into_iter().find(|row| row.id == id) else {
            return Ok(());
        };
        let segment = &mut row.value;
        // The newest batch is kept because it identifies the history after an interruption.
        while segment.first_batch + 1 < segment.next_batch {
            let oldest = segment.first_batch;
            let batch = self.readable_batch(id, oldest)?;
            let Some(batch) = batch.filter(|batch| batch.until <= revision) else {
                break;
            };
            self.delete_batch(id, oldest)?;
            segment.first_batch += 1;
            segment.after = batch.until;
        }
        self.put_segment(&row)
    }

    /// Deletes a segment with all its changes.
    pub(crate) fn delete_segment(&mut self, id: u64) -> Result<(), ArchiveError> {
        let removed = self.segments.remove(id).map(drop);
        removed.in_file(&self.path)?;
        let removed = self.batches.retain_in(batch_keys(id, 0), |_, _| false);
        removed.in_file(&self.path)
    }
}
