//! What an archive is made of, and the forms in which its file keeps it.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use salttiller_protocol::state_service::{Event, Pair};
use salttiller_records::history::Fingerprint;
use salttiller_records::units::Micros;

/// A record as kept: its version and its value in MessagePack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Revision of its last change.
    pub version: u64,
    /// The value, in MessagePack.
    pub value: Vec<u8>,
}

impl StoredRecord {
    /// The record as the state service showed it.
    pub fn new(version: u64, value: &Value) -> Self {
        StoredRecord {
            version,
            // A value that was just decoded can be encoded.
            value: rmp_serde::to_vec(value).unwrap_or_default(),
        }
    }

    /// The value, if it can be read.
    pub fn decoded(&self) -> Option<Value> {
        rmp_serde::from_slice(&self.value).ok()
    }
}

/// One change of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub version: u64,
    /// Key of the record.
    pub key: String,
    /// Its new value in MessagePack; `None`: deleted.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// A change as a watch shows it; `None` for an event that is neither put nor deletion.
    pub fn from_event(event: &Event) -> Option<Self> {
        let version = event.version;
        match (&event.put, &event.delete) {
            (Some(key), None) => Some(Change {
                version,
                key: key.clone(),
                value: Some(StoredRecord::new(version, event.value.as_ref()?).value),
            }),
            (None, Some(key)) => Some(Change {
                version,
                key: key.clone(),
                value: None,
            }),
            _ => None,
        }
    }

    /// What identifies the change when two histories are compared.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(self.version, self.key.clone(), self.value.as_deref())
    }
}

/// Changes that came in one answer of the watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// All changes after this revision …
    pub after: u64,
    /// … up to and with this one.
    pub until: u64,
    /// Time of day at which it came, for information only.
    pub received: Micros,
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
}

/// Why a segment doesn't continue the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapCause {
    /// The archive's first segment.
    FirstRecording,
    /// The state service no longer kept the changes after our last one.
    ChangesNotKept,
    /// Its revision is lower than one seen before: wiped, or an older copy.
    RevisionWentBack {
        /// The lower revision.
        to: u64,
    },
    /// It shows other changes for revisions that we have: another history.
    HistoryReplaced,
}

/// A hole between two segments: changes that may exist and aren't archived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Why.
    pub cause: GapCause,
    /// The last revision that is surely archived, in the segment before.
    pub after_revision: u64,
    /// Time of day of the last answer before it.
    pub last_contact: Micros,
    /// Time of day at which it was noticed.
    pub noticed: Micros,
}

/// A run of changes without a hole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// What lies between it and the segment before.
    pub gap: Gap,
    /// Changes are complete after this revision …
    pub after: u64,
    /// … up to and with this one.
    pub until: u64,
    /// Up to here the state service has been seen to have the same history.
    pub verified: u64,
    /// Number of the first change batch that is kept.
    pub first_batch: u64,
    /// Number of the next change batch.
    pub next_batch: u64,
    /// Changes just before the segment, by which its history is recognised while it has
    /// none of its own.
    pub context: Vec<Fingerprint>,
    /// Time of day of the last answer.
    pub last_contact: Micros,
    /// Set when continuity was lost: what then lies between it and the next segment.
    pub ended: Option<Gap>,
}

/// All records at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// Its segment.
    pub segment: u64,
    /// Revision as of which it is complete; `None` while it is being read.
    pub revision: Option<u64>,
    /// Revision of the first page that was read.
    pub first_page: u64,
    /// Time of day at which it was begun.
    pub begun: Micros,
    /// Number of records.
    pub records: u64,
    /// Digest over all keys, versions and values, in the order of the keys.
    pub digest: Vec<u8>,
}

/// Digest of records, taken in the order of their keys.
#[derive(Default)]
pub struct RecordDigest {
    hash: Sha256,
    records: u64,
}

impl RecordDigest {
    /// Takes the next record.
    pub fn add(&mut self, key: &str, record: &StoredRecord) {
        self.hash.update((key.len() as u64).to_le_bytes());
        self.hash.update(key.as_bytes());
        self.hash.update(record.version.to_le_bytes());
        self.hash.update((record.value.len() as u64).to_le_bytes());
        self.hash.update(&record.value);
        self.records += 1;
    }

    /// The number of records and their digest.
    pub fn finish(self) -> (u64, Vec<u8>) {
        (self.records, self.hash.finalize().to_vec())
    }
}

/// A record as a page shows it, in the archive's form.
pub fn from_pair(pair: &Pair) -> (String, StoredRecord) {
    let record = StoredRecord::new(pair.version, &pair.value);
    (pair.key.clone(), record)
}

/// Bytes of a checksum in front of each entry.
const CHECKSUM_BYTES: usize = 4;

/// An entry of the file: a checksum, then MessagePack.
pub(crate) fn encode_entry<T: Serialize>(entry: &T) -> Vec<u8> {
    // Entries are plain structures of text, bytes and numbers: this can't fail.
    let body = rmp_serde::to_vec_named(entry).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads what [`encode_entry`] wrote; `None` if its checksum or form is wrong.
pub(crate) fn decode_entry<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}

#[cfg(test)]
mod tests;
