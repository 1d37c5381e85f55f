//! Reading an archive: everything as of one moment.

use std::path::{Path, PathBuf};

use redb::{ReadOnlyTable, ReadTransaction, ReadableTable};
use serde::de::DeserializeOwned;

use salttiller_records::history::{last_whole_revisions, Fingerprint, RECOGNISED_CHANGES};

use super::{entry, records_of, BATCHES, IMAGES, RECORDS, SEGMENTS};
use crate::error::ArchiveError;
use crate::form::{Change, ChangeBatch, Image, Segment, StoredRecord};

/// A consistent view of an archive.
pub struct View {
    path: PathBuf,
    segments: ReadOnlyTable<u64, &'static [u8]>,
    images: ReadOnlyTable<u64, &'static [u8]>,
    records: ReadOnlyTable<(u64, &'static str), &'static [u8]>,
    batches: ReadOnlyTable<(u64, u64), &'static [u8]>,
}

impl View {
    pub(super) fn open(path: &Path, txn: &ReadTransaction) -> Result<Self, ArchiveError> {
        let fail = |e| ArchiveError::store(path, redb::Error::from(e));
        Ok(View {
            path: path.to_path_buf(),
            segments: txn.open_table(SEGMENTS).map_err(fail)?,
            images: txn.open_table(IMAGES).map_err(fail)?,
            records: txn.open_table(RECORDS).map_err(fail)?,
            batches: txn.open_table(BATCHES).map_err(fail)?,
        })
    }

    /// The file, for messages.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// All segments, oldest first.
    pub fn segments(&self) -> Result<Vec<(u64, Segment)>, ArchiveError> {
        entries(&self.path, &self.segments, "segment")
    }

    /// All images, oldest first; one that is being read has no revision.
    pub fn images(&self) -> Result<Vec<(u64, Image)>, ArchiveError> {
        entries(&self.path, &self.images, "image")
    }

    /// The complete images of a segment with their revisions, oldest first.
    pub fn complete_images(&self, segment: u64) -> Result<Vec<(u64, u64, Image)>, ArchiveError> {
        let images = self.images()?.into_iter();
        Ok(images
            .filter(|(_, image)| image.segment == segment)
            .filter_map(|(id, image)| image.revision.map(|revision| (id, revision, image)))
            .collect())
    }

    /// Calls `each` with every record of an image, in the order of the keys.
    pub fn each_record(
        &self,
        image: u64,
        mut each: impl FnMut(&str, StoredRecord) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        each_record(&self.path, &self.records, image, &mut each)
    }

    /// Calls `each` with every batch of a segment from a number on, in their order.
    pub fn each_batch(
        &self,
        segment: u64,
        first: u64,
        mut each: impl FnMut(u64, ChangeBatch) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        let fail = |e| ArchiveError::store(&self.path, redb::Error::from(e));
        let range = (segment, first)..(segment + 1, 0);
        for row in self.batches.range(range).map_err(fail)? {
            let (key, value) = row.map_err(fail)?;
            let number = key.value().1;
            let name = format!("change batch {segment}/{number}");
            each(number, entry(&self.path, &name, value.value())?)?;
        }
        Ok(())
    }

    /// The changes by which a segment's history is recognised: the last ones that were
    /// compared, and all after them.
    pub fn recent_changes(
        &self,
        id: u64,
        segment: &Segment,
    ) -> Result<Vec<Fingerprint>, ArchiveError> {
        let fail = |e| ArchiveError::store(&self.path, redb::Error::from(e));
        let mut newest_first: Vec<Vec<Fingerprint>> = Vec::new();
        let mut compared = 0;
        let range = (id, segment.first_batch)..(id + 1, 0);
        for row in self.batches.range(range).map_err(fail)?.rev() {
            let (_, value) = row.map_err(fail)?;
            let batch: ChangeBatch = entry(&self.path, "the last change batch", value.value())?;
            newest_first.push(batch.changes.iter().map(Change::fingerprint).collect());
            if batch.until <= segment.verified {
                compared += batch.changes.len();
            }
            if compared > RECOGNISED_CHANGES {
                break;
            }
        }
        let mut recent = Vec::new();
        if compared <= RECOGNISED_CHANGES && segment.first_batch == 0 {
            recent.extend(segment.context.iter().cloned());
        }
        recent.extend(newest_first.into_iter().rev().flatten());
        let split = recent.partition_point(|c| c.version <= segment.verified);
        let unverified = recent.split_off(split);
        recent = last_whole_revisions(recent);
        recent.extend(unverified);
        Ok(recent)
    }

    /// Size of the file.
    pub fn file_bytes(&self) -> Result<u64, ArchiveError> {
        let meta = std::fs::metadata(&self.path);
        meta.map(|m| m.len())
            .map_err(|cause| ArchiveError::io(&self.path, cause))
    }
}

pub(super) fn entries<T: DeserializeOwned>(
    path: &Path,
    table: &impl ReadableTable<u64, &'static [u8]>,
    name: &str,
) -> Result<Vec<(u64, T)>, ArchiveError> {
    let fail = |e| ArchiveError::store(path, redb::Error::from(e));
    let mut all = Vec::new();
    for row in table.iter().map_err(fail)? {
        let (id, value) = row.map_err(fail)?;
        let id = id.value();
        all.push((id, entry(path, &format!("{name} {id}"), value.value())?));
    }
    Ok(all)
}

pub(super) fn each_record(
    path: &Path,
    table: &impl ReadableTable<(u64, &'static str), &'static [u8]>,
    image: u64,
    each: &mut dyn FnMut(&str, StoredRecord) -> Result<(), ArchiveError>,
) -> Result<(), ArchiveError> {
    let fail = |e| ArchiveError::store(path, redb::Error::from(e));
    for row in table.range(records_of(image)).map_err(fail)? {
        let (key, value) = row.map_err(fail)?;
        let key = key.value().1;
        let name = format!("record {key} of image {image}");
        each(key, entry(path, &name, value.value())?)?;
    }
    Ok(())
}
