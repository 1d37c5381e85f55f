//! Data types of an archive.
//!
//! The serializable types of this module are written to the file in MessagePack with their field
//! names. Where a Rust name differs from the stored name, `serde(rename)` preserves the stored
//! form; `encoding/tests.rs` checks the stored bytes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use salttiller_protocol::state_service::{Event, Pair};
use salttiller_records::history::Fingerprint;
use salttiller_records::units::Micros;

/// An entry of a table with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row<T> {
    /// Number of the segment or snapshot. An entry has a higher number than the entries before it in
    /// the table.
    pub id: u64,
    /// The entry.
    pub value: T,
}

/// A record in its archived form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Revision of the record's last change.
    pub version: u64,
    /// The record's value in MessagePack.
    pub value: Vec<u8>,
}

impl StoredRecord {
    /// Encodes a record that the state service returned.
    #[must_use]
    pub fn new(version: u64, value: &Value) -> Self {
        StoredRecord {
            version,
            // The value was decoded from a response, so encoding can't fail.
            value: rmp_serde::to_vec(value).unwrap_or_default(),
        }
    }

    /// Decodes the record's value.
    ///
    /// # Errors
    /// Returns an error if the stored bytes are not valid MessagePack.
    pub fn decode_value(&self) -> Result<Value, rmp_serde::decode::Error> {
        rmp_serde::from_slice(&self.value)
    }
}

/// A record with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// The record.
    pub record: StoredRecord,
}

impl From<&Pair> for KeyedRecord {
    fn from(pair: &Pair) -> Self {
        KeyedRecord {
            key: pair.key.clone(),
            record: StoredRecord::new(pair.version, &pair.value),
        }
    }
}

/// A watch event that can't be archived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidChange {
    /// The event is both a put and a deletion, or neither.
    #[error("the change at revision {revision} is neither a put nor a deletion")]
    Ambiguous {
        /// Revision of the event.
        revision: u64,
    },
    /// The event puts a record without a value.
    #[error("the change at revision {revision} has no value")]
    NoValue {
        /// Revision of the event.
        revision: u64,
    },
    /// The event's revision is outside the requested range.
    #[error("the change at revision {revision} is outside of revisions {after} to {until}")]
    OutOfRange {
        /// Revision of the event.
        revision: u64,
        /// The watch requested changes after this revision.
        after: u64,
        /// Revision of the response.
        until: u64,
    },
}

/// One change of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub version: u64,
    /// Key of the record.
    pub key: String,
    /// The new value in MessagePack, or `None` if the record was deleted.
    pub value: Option<Vec<u8>>,
}

impl TryFrom<&Event> for Change {
    type Error = InvalidChange;

    fn try_from(event: &Event) -> Result<Self, InvalidChange> {
        let revision = event.version;
        let (key, value) = match (&event.put, &event.delete) {
            (Some(key), None) => {
                let value = event.value.as_ref();
                let value = value.ok_or(InvalidChange::NoValue { revision })?;
                (key, Some(StoredRecord::new(revision, value).value))
            }
            (None, Some(key)) => (key, None),
            _ => return Err(InvalidChange::Ambiguous { revision }),
        };
        Ok(Change {
            version: revision,
            key: key.clone(),
            value,
        })
    }
}

impl Change {
    /// Returns the change's fingerprint, by which two histories are compared.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(self.version, self.key.clone(), self.value.as_deref())
    }
}

/// The changes of one response to a watch.
///
/// Invariant: `after <` each change's revision `<= until`, in ascending order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The batch contains all changes after this revision and up to `until`.
    pub after: u64,
    /// Last revision that the batch covers.
    pub until: u64,
    /// Wall-clock time at which the response arrived; informational only.
    pub received: Micros,
    /// The changes in revision order.
    pub changes: Vec<Change>,
}

/// Why a segment does not continue the previous segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// The segment is the archive's first.
    FirstRecording,
    /// The state service no longer retained the changes after the last archived change.
    #[serde(rename = "ChangesNotKept")]
    ChangesCompacted,
    /// The revision is lower than an earlier one: the store was wiped or restored from an older
    /// backup.
    RevisionWentBack {
        /// The lower revision.
        to: u64,
    },
    /// The state service reports other changes for archived revisions, so its history was
    /// replaced.
    HistoryReplaced,
}

/// A gap between two segments. Changes within the gap may exist but are not archived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Why continuity was lost.
    pub cause: GapCause,
    /// The last revision of the previous segment that is certainly archived.
    pub after_revision: u64,
    /// Wall-clock time of the last response before the gap.
    pub last_contact: Micros,
    /// Wall-clock time at which the gap was detected.
    #[serde(rename = "noticed")]
    pub detected: Micros,
}

/// A sequence of changes without a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The gap between the previous segment and this one.
    pub gap: Gap,
    /// The segment covers all changes after this revision and up to `until`.
    pub after: u64,
    /// Last revision that the segment covers.
    pub until: u64,
    /// Last revision up to which a comparison found the same history at the state service.
    #[serde(rename = "verified")]
    pub verified_until: u64,
    /// Number of the first retained change batch.
    pub first_batch: u64,
    /// Number of the next change batch to be written.
    pub next_batch: u64,
    /// The changes just before the segment. They identify its history while the segment has no
    /// changes.
    #[serde(rename = "context")]
    pub preceding_changes: Vec<Fingerprint>,
    /// Wall-clock time of the last response.
    pub last_contact: Micros,
    /// The gap between this segment and the next, set when continuity was lost.
    #[serde(rename = "ended")]
    pub ended_by: Option<Gap>,
}

/// Metadata of a snapshot, which holds all records at one revision. The records are stored in a
/// separate table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the segment that the snapshot belongs to.
    pub segment: u64,
    /// Revision at which the snapshot is consistent, or `None` while it is incomplete.
    pub revision: Option<u64>,
    /// Revision of the first page.
    #[serde(rename = "first_page")]
    pub first_page_revision: u64,
    /// Wall-clock time at which the snapshot was started.
    #[serde(rename = "begun")]
    pub started: Micros,
    /// Number of records.
    pub records: u64,
    /// SHA-256 over all keys, versions and values in key order, see `digest.rs`.
    pub digest: Vec<u8>,
}

/// A complete snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// Number of the snapshot.
    pub id: u64,
    /// Revision at which the snapshot is consistent.
    pub revision: u64,
    /// Metadata of the snapshot.
    pub snapshot: Snapshot,
}

impl CompleteSnapshot {
    /// Returns the snapshot of a row, or `None` if it is incomplete.
    pub(crate) fn from_row(row: Row<Snapshot>) -> Option<Self> {
        Some(CompleteSnapshot {
            id: row.id,
            revision: row.value.revision?,
            snapshot: row.value,
        })
    }
}
