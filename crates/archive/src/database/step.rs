//! Writing an archive: the actions of one step, in one transaction.

use std::path::{Path, PathBuf};

use redb::{ReadableTable, Table, WriteTransaction};

use salttiller_records::units::Micros;

use super::view::{each_record, entries};
use super::{entry, records_of, BATCHES, IMAGES, RECORDS, SEGMENTS};
use crate::error::ArchiveError;
use crate::fault_injection::{is_left_out, Guard};
use crate::form::{
    decode_entry, encode_entry, Change, ChangeBatch, Gap, Image, RecordDigest, Segment,
    StoredRecord,
};
use crate::recorder::Action;

/// The tables within a transaction that is being written.
pub(crate) struct Step<'txn> {
    path: PathBuf,
    segments: Table<'txn, u64, &'static [u8]>,
    pub(super) images: Table<'txn, u64, &'static [u8]>,
    pub(super) records: Table<'txn, (u64, &'static str), &'static [u8]>,
    pub(super) batches: Table<'txn, (u64, u64), &'static [u8]>,
}

impl<'txn> Step<'txn> {
    pub(super) fn open(path: &Path, txn: &'txn WriteTransaction) -> Result<Self, ArchiveError> {
        let fail = |e| ArchiveError::store(path, redb::Error::from(e));
        Ok(Step {
            path: path.to_path_buf(),
            segments: txn.open_table(SEGMENTS).map_err(fail)?,
            images: txn.open_table(IMAGES).map_err(fail)?,
            records: txn.open_table(RECORDS).map_err(fail)?,
            batches: txn.open_table(BATCHES).map_err(fail)?,
        })
    }

    fn fail(&self) -> impl Fn(redb::StorageError) -> ArchiveError + Copy + '_ {
        move |e| ArchiveError::store(&self.path, e)
    }

    pub(super) fn apply(&mut self, action: &Action, wall: Micros) -> Result<(), ArchiveError> {
        match action {
            Action::BeginSegment { gap, after } => self.begin_segment(gap, *after, wall),
            Action::SetContext(context) => {
                self.with_segment(|segment| segment.context = context.clone())
            }
            Action::BeginImage { first_page } => self.begin_image(*first_page, wall),
            Action::AddRecords(records) => self.add_records(records),
            Action::CompleteImage { revision } => self.complete_image(*revision),
            Action::AbandonImage => self.drop_incomplete_image(),
            Action::AddChanges(batch) => self.add_batch(batch),
            Action::DropChangesAfter(revision) => self.drop_changes_after(*revision),
            Action::EndSegment(gap) => {
                self.with_segment(|segment| segment.ended = Some(gap.clone()))
            }
            Action::Reached(revision) => self.with_segment(|segment| {
                segment.until = *revision;
                segment.last_contact = wall;
            }),
            Action::Verified(revision) => self.with_segment(|segment| {
                segment.verified = *revision;
                segment.last_contact = wall;
            }),
        }
    }

    /// All segments, oldest first.
    pub(crate) fn segments(&self) -> Result<Vec<(u64, Segment)>, ArchiveError> {
        entries(&self.path, &self.segments, "segment")
    }

    /// All images, oldest first.
    pub(crate) fn images(&self) -> Result<Vec<(u64, Image)>, ArchiveError> {
        entries(&self.path, &self.images, "image")
    }

    fn last_segment(&self) -> Result<(u64, Segment), ArchiveError> {
        self.segments()?
            .pop()
            .ok_or_else(|| ArchiveError::damaged(&self.path, "no segment is open"))
    }

    fn incomplete_image(&self) -> Result<Option<(u64, Image)>, ArchiveError> {
        let mut images = self.images()?;
        images.retain(|(_, image)| image.revision.is_none());
        Ok(images.pop())
    }

    fn put_segment(&mut self, id: u64, segment: &Segment) -> Result<(), ArchiveError> {
        let bytes = encode_entry(segment);
        let put = self.segments.insert(id, bytes.as_slice()).map(drop);
        put.map_err(self.fail())
    }

    pub(super) fn put_image(&mut self, id: u64, image: &Image) -> Result<(), ArchiveError> {
        let bytes = encode_entry(image);
        let put = self.images.insert(id, bytes.as_slice()).map(drop);
        put.map_err(self.fail())
    }

    fn with_segment(&mut self, change: impl FnOnce(&mut Segment)) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        change(&mut segment);
        self.put_segment(id, &segment)
    }

    fn begin_segment(&mut self, gap: &Gap, after: u64, wall: Micros) -> Result<(), ArchiveError> {
        let id = self.segments()?.last().map_or(1, |(id, _)| id + 1);
        self.put_segment(
            id,
            &Segment {
                gap: gap.clone(),
                after,
                until: after,
                verified: after,
                first_batch: 0,
                next_batch: 0,
                context: Vec::new(),
                last_contact: wall,
                ended: None,
            },
        )
    }

    fn begin_image(&mut self, first_page: u64, wall: Micros) -> Result<(), ArchiveError> {
        self.drop_incomplete_image()?;
        let (segment, _) = self.last_segment()?;
        let id = self.images()?.last().map_or(1, |(id, _)| id + 1);
        self.put_image(
            id,
            &Image {
                segment,
                revision: None,
                first_page,
                begun: wall,
                records: 0,
                digest: Vec::new(),
            },
        )
    }

    fn add_records(&mut self, records: &[(String, StoredRecord)]) -> Result<(), ArchiveError> {
        let Some((id, _)) = self.incomplete_image()? else {
            return Err(ArchiveError::damaged(&self.path, "no image is being read"));
        };
        for (key, record) in records {
            self.put_record(id, key, record)?;
        }
        Ok(())
    }

    pub(super) fn put_record(
        &mut self,
        image: u64,
        key: &str,
        record: &StoredRecord,
    ) -> Result<(), ArchiveError> {
        let bytes = encode_entry(record);
        let put = self.records.insert((image, key), bytes.as_slice());
        put.map(drop).map_err(self.fail())
    }

    /// Pages were read one after the other, each as of its own revision. The changes from the
    /// first page's revision on bring all of them to the last page's.
    pub(super) fn complete_image(&mut self, revision: u64) -> Result<(), ArchiveError> {
        let Some((id, mut image)) = self.incomplete_image()? else {
            return Err(ArchiveError::damaged(&self.path, "no image is being read"));
        };
        let mut changes = self.changes_between(image.segment, image.first_page, revision)?;
        if is_left_out(Guard::ImageChanges) {
            changes.clear();
        }
        for change in changes {
            match change.value {
                Some(value) => {
                    let version = change.version;
                    self.put_record(id, &change.key, &StoredRecord { version, value })?;
                }
                None => {
                    let removed = self.records.remove((id, change.key.as_str())).map(drop);
                    removed.map_err(self.fail())?;
                }
            }
        }
        let mut digest = RecordDigest::default();
        each_record(&self.path, &self.records, id, &mut |key, record| {
            digest.add(key, &record);
            Ok(())
        })?;
        (image.records, image.digest) = digest.finish();
        image.revision = Some(revision);
        self.put_image(id, &image)
    }

    fn changes_between(
        &self,
        segment: u64,
        after: u64,
        until: u64,
    ) -> Result<Vec<Change>, ArchiveError> {
        let mut changes = Vec::new();
        let range = (segment, 0)..(segment + 1, 0);
        // Newest first: an image needs only the last of possibly many batches.
        for row in self.batches.range(range).map_err(self.fail())?.rev() {
            let (_, value) = row.map_err(self.fail())?;
            let batch: ChangeBatch = entry(&self.path, "a change batch", value.value())?;
            if batch.until <= after {
                break;
            }
            changes.extend(batch.changes.into_iter().rev());
        }
        changes.reverse();
        changes.retain(|c| c.version > after && c.version <= until);
        Ok(changes)
    }

    fn add_batch(&mut self, batch: &ChangeBatch) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        if batch.after != segment.until {
            let reason = format!(
                "changes after {} don't continue {}",
                batch.after, segment.until
            );
            return Err(ArchiveError::damaged(&self.path, reason));
        }
        let bytes = encode_entry(batch);
        let key = (id, segment.next_batch);
        let put = self.batches.insert(key, bytes.as_slice()).map(drop);
        put.map_err(self.fail())?;
        segment.next_batch += 1;
        segment.until = batch.until;
        segment.last_contact = batch.received;
        self.put_segment(id, &segment)
    }

    /// Drops the batches that begin at a revision or later; the one that holds the change of
    /// that revision stays whole.
    fn drop_changes_after(&mut self, revision: u64) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        let mut until = revision;
        while segment.next_batch > segment.first_batch {
            let key = (id, segment.next_batch - 1);
            let newest = self.batches.get(key).map_err(self.fail())?;
            let batch: Option<ChangeBatch> = newest.and_then(|b| decode_entry(b.value()));
            let Some(batch) = batch.filter(|b| b.after >= revision) else {
                break;
            };
            let removed = self.batches.remove(key).map(drop);
            removed.map_err(self.fail())?;
            segment.next_batch -= 1;
            until = batch.after;
        }
        segment.until = until;
        self.put_segment(id, &segment)
    }

    pub(crate) fn drop_incomplete_image(&mut self) -> Result<(), ArchiveError> {
        while let Some((id, _)) = self.incomplete_image()? {
            self.drop_image(id)?;
        }
        Ok(())
    }

    /// Drops an image with its records.
    pub(crate) fn drop_image(&mut self, id: u64) -> Result<(), ArchiveError> {
        let dropped = self.images.remove(id).map(drop);
        dropped.map_err(self.fail())?;
        let dropped = self.records.retain_in(records_of(id), |_, _| false);
        dropped.map_err(self.fail())
    }

    /// Drops a segment with all its changes.
    pub(crate) fn drop_segment(&mut self, id: u64) -> Result<(), ArchiveError> {
        let dropped = self.segments.remove(id).map(drop);
        dropped.map_err(self.fail())?;
        let range = (id, 0)..(id + 1, 0);
        let dropped = self.batches.retain_in(range, |_, _| false);
        dropped.map_err(self.fail())
    }

    /// Drops a segment's changes up to a revision, whole batches only.
    pub(crate) fn drop_changes_until(
        &mut self,
        id: u64,
        revision: u64,
    ) -> Result<(), ArchiveError> {
        let segments = self.segments()?;
        let Some((_, mut segment)) = segments.into_iter().find(|(n, _)| *n == id) else {
            return Ok(());
        };
        // The newest batch stays: by it the history is recognised after an interruption.
        while segment.first_batch + 1 < segment.next_batch {
            let key = (id, segment.first_batch);
            let oldest = self.batches.get(key).map_err(self.fail())?;
            let batch: Option<ChangeBatch> = oldest.and_then(|b| decode_entry(b.value()));
            let Some(batch) = batch.filter(|b| b.until <= revision) else {
                break;
            };
            let removed = self.batches.remove(key).map(drop);
            removed.map_err(self.fail())?;
            segment.first_batch += 1;
            segment.after = batch.until;
        }
        self.put_segment(id, &segment)
    }
}
