//! Table definitions and helpers that read their rows. Table names and key types are part of the
//! file format.

use std::ops::Range;
use std::path::Path;

use redb::{ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;

use crate::encoding::decode_entry;
use crate::error::{ArchiveError, Damage, EntryName, StoreResult};
use crate::model::{ChangeBatch, KeyedRecord, Row};

/// Key of a snapshot record: snapshot number and record key.
pub(super) type RecordKey = (u64, &'static str);
/// Key of a change batch: segment number and batch number.
pub(super) type BatchKey = (u64, u64);
/// An encoded entry, see [`crate::encoding`].
pub(super) type EntryBytes = &'static [u8];

/// Entries about the archive as a whole.
pub(super) const METADATA: TableDefinition<&str, EntryBytes> =
    TableDefinition::new("salttiller-archive");
/// [`crate::model::Segment`] by number.
pub(super) const SEGMENTS: TableDefinition<u64, EntryBytes> = TableDefinition::new("segments");
/// [`crate::model::Snapshot`] by number.
pub(super) const SNAPSHOTS: TableDefinition<u64, EntryBytes> = TableDefinition::new("images");
/// [`crate::model::StoredRecord`] by snapshot and key.
pub(super) const RECORDS: TableDefinition<RecordKey, EntryBytes> =
    TableDefinition::new("image-records");
/// [`crate::model::ChangeBatch`] by segment and number.
pub(super) const BATCHES: TableDefinition<BatchKey, EntryBytes> =
    TableDefinition::new("change-batches");

/// Decodes an entry; the error names the damaged entry.
pub(super) fn decode<T: DeserializeOwned>(
    path: &Path,
    entry: EntryName,
    bytes: &[u8],
) -> Result<T, ArchiveError> {
    decode_entry(bytes).map_err(|cause| Damage::Entry { entry, cause }.in_file(path))
}

/// Decodes a change batch that is stored under `key`.
pub(super) fn decode_batch(
    path: &Path,
    key: BatchKey,
    bytes: &[u8],
) -> Result<ChangeBatch, ArchiveError> {
    let (segment, number) = key;
    decode(path, EntryName::ChangeBatch { segment, number }, bytes)
}

/// Returns all rows of a table of numbered entries, in ascending order.
pub(super) fn read_rows<T: DeserializeOwned>(
    path: &Path,
    table: &impl ReadableTable<u64, EntryBytes>,
    name: fn(u64) -> EntryName,
) -> Result<Vec<Row<T>>, ArchiveError> {
    let mut rows = Vec::new();
    for row in table.iter().in_file(path)? {
        let (id, bytes) = row.in_file(path)?;
        let id = id.value();
        let value = decode(path, name(id), bytes.value())?;
        rows.push(Row { id, value });
    }
    Ok(rows)
}

/// Calls `visit` with every record of a snapshot, in key order.
pub(super) fn for_each_record(
    path: &Path,
    table: &impl ReadableTable<RecordKey, EntryBytes>,
    snapshot: u64,
    mut visit: impl FnMut(KeyedRecord) -> Result<(), ArchiveError>,
) -> Result<(), ArchiveError> {
    for row in table.range(record_keys(snapshot)).in_file(path)? {
        let (key, bytes) = row.in_file(path)?;
        let key = key.value().1.to_owned();
        let name = EntryName::Record {
            snapshot,
            key: key.clone(),
        };
        let record = decode(path, name, bytes.value())?;
        visit(KeyedRecord { key, record })?;
    }
    Ok(())
}

/// Returns the key range of a snapshot's records.
pub(super) fn record_keys(snapshot: u64) -> Range<RecordKey> {
    (snapshot, "")..(snapshot + 1, "")
}

/// Returns the key range of a segment's change batches, starting at batch number `first`.
pub(super) fn batch_keys(segment: u64, first: u64) -> Range<BatchKey> {
    (segment, first)..(segment + 1, 0)
}
