//! Digest that detects changes to a snapshot's records.

use sha2::{Digest, Sha256};

use crate::model::StoredRecord;

/// Number of records and their SHA-256 digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DigestedRecords {
    /// Number of records.
    pub records: u64,
    /// Digest over all keys, versions and values.
    pub digest: Vec<u8>,
}

/// Computes the digest of records. The records must be added in ascending order of their keys.
#[derive(Default)]
pub(crate) struct RecordDigest {
    hash: Sha256,
    records: u64,
}

impl RecordDigest {
    /// Adds the next record. Variable-length parts are prefixed with their length, so that two
    /// different lists of records never hash the same bytes.
    pub(crate) fn add(&mut self, key: &str, record: &StoredRecord) {
        self.hash.update((key.len() as u64).to_le_bytes());
        self.hash.update(key.as_bytes());
        self.hash.update(record.version.to_le_bytes());
        self.hash.update((record.value.len() as u64).to_le_bytes());
        self.hash.update(&record.value);
        self.records += 1;
    }

    /// Returns the number of records and their digest.
    #[must_use]
    pub(crate) fn finish(self) -> DigestedRecords {
        DigestedRecords {
            records: self.records,
            digest: self.hash.finalize().to_vec(),
        }
    }
}
