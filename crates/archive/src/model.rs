//! What an archive is made of.
//!
//! All types here are written to the file in MessagePack with their field names. Where a Rust
//! name differs from the stored one, `serde(rename)` keeps the file's form; `encoding/tests.rs`
//! holds the bytes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use salttiller_protocol::state_service::{Event, Pair};
use salttiller_records::history::Fingerprint;
use salttiller_records::units::Micros;

/// An entry of a table, with the number that it is stored under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row<T> {
    /// Number of the segment or snapshot; numbers only grow.
    pub id: u64,
    /// The entry.
    pub value: T,
}

/// A record as archived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Revision of the record's last change.
    pub version: u64,
    /// The value, in MessagePack.
    pub value: Vec<u8>,
}

impl StoredRecord {
    /// Encodes a record as the state service returned it.
    #[must_use]
    pub fn new(version: u64, value: &Value) -> Self {
        StoredRecord {
            version,
            // A value that was just decoded can be encoded.
            value: rmp_serde::to_vec(value).unwrap_or_default(),
        }
    }

    /// Decodes the value.
    ///
    /// # Errors
    /// The stored bytes are not MessagePack.
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
    /// It is not exactly one of put and deletion.
    #[error("the change at revision {revision} is neither a put nor a deletion")]
    Ambiguous {
        /// Revision of the event.
        revision: u64,
    },
    /// It puts a record without a value.
    #[error("the change at revision {revision} has no value")]
    NoValue {
        /// Revision of the event.
        revision: u64,
    },
    /// Its revision lies outside of the range that was asked for.
    #[error("the change at revision {revision} is outside of revisions {after} to {until}")]
    OutOfRange {
        /// Revision of the event.
        revision: u64,
        /// The watch asked for changes after this revision.
        after: u64,
        /// Revision of the answer.
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
    /// The new value in MessagePack; `None`: the record was deleted.
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
    /// What identifies the change when two histories are compared.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(self.version, self.key.clone(), self.value.as_deref())
    }
}

/// The changes that one answer of the watch brought.
///
/// Invariant: `after <` each change's revision `<= until`, in ascending order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The batch holds all changes after this revision …
    pub after: u64,
    /// … up to and including this one.
    pub until: u64,
    /// Wall-clock time at which the answer arrived; informational only.
    pub received: Micros,
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
}

/// Why a segment does not continue the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// It is the archive's first segment.
    FirstRecording,
    /// The state service no longer kept the changes after the last archived one.
    #[serde(rename = "ChangesNotKept")]
    ChangesCompacted,
    /// The revision is lower than one seen before: the store was wiped or restored from an
    /// older copy.
    RevisionWentBack {
        /// The lower revision.
        to: u64,
    },
    /// The state service shows other changes for archived revisions: another history.
    HistoryReplaced,
}

/// A gap between two segments: changes that may exist but are not archived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Why continuity was lost.
    pub cause: GapCause,
    /// The last revision that is certainly archived, in the segment before.
    pub after_revision: u64,
    /// Wall-clock time of the last answer before the gap.
    pub last_contact: Micros,
    /// Wall-clock time at which the gap was detected.
    #[serde(rename = "noticed")]
    pub detected: Micros,
}

/// A run of changes without a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The gap between the segment before and this one.
    pub gap: Gap,
    /// Changes are complete after this revision …
    pub after: u64,
    /// … up to and including this one.
    pub until: u64,
    /// Up to this revision the state service has been seen to have the same history.
    #[serde(rename = "verified")]
    pub verified_until: u64,
    /// Number of the first change batch that is retained.
    pub first_batch: u64,
    /// Number of the next change batch to be written.
    pub next_batch: u64,
    /// The changes just before the segment. They identify its history while it has no changes
    /// of its own.
    #[serde(rename = "context")]
    pub preceding_changes: Vec<Fingerprint>,
    /// Wall-clock time of the last answer.
    pub last_contact: Micros,
    /// Set when continuity was lost: the gap between this segment and the next.
    #[serde(rename = "ended")]
    pub ended_by: Option<Gap>,
}

/// All records at one revision; the records themselves are in a table of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the segment that it belongs to.
    pub segment: u64,
    /// Revision at which it is consistent; `None` while it is being read.
    pub revision: Option<u64>,
    /// Revision of the first page that was read.
    #[serde(rename = "first_page")]
    pub first_page_revision: u64,
    /// Wall-clock time at which reading began.
    #[serde(rename = "begun")]
    pub started: Micros,
    /// Number of records.
    pub records: u64,
    /// SHA-256 over all keys, versions and values in the order of the keys, see `digest.rs`.
    pub digest: Vec<u8>,
}

/// A snapshot that was read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// Its number.
    pub id: u64,
    /// Revision at which it is consistent.
    pub revision: u64,
    /// What the archive says of it.
    pub snapshot: Snapshot,
}

impl CompleteSnapshot {
    /// The snapshot of a row, unless it is still being read.
    pub(crate) fn from_row(row: Row<Snapshot>) -> Option<Self> {
        Some(CompleteSnapshot {
            id: row.id,
            revision: row.value.revision?,
            snapshot: row.value,
        })
    }
}
