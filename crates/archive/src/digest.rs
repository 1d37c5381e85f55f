//! The digest by which a snapshot's records are checked.

use sha2::{Digest, Sha256};

use crate::model::StoredRecord;

/// Number of records and SHA-256 over them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DigestedRecords {
    /// Number of records.
    pub records: u64,
    /// Digest over all keys, versions and values.
    pub digest: Vec<u8>,
}

/// Computes the digest of records, which must be added in ascending order of their keys.
#[derive(Default)]
pub(crate) struct RecordDigest {
    hash: Sha256,
    records: u64,
}

impl RecordDigest {
    /// Adds the next record. Lengths go before variable parts, so that no two lists of records
    /// hash the same bytes.
    pub(crate) fn add(&mut self, key: &str, record: &StoredRecord) {
        self.hash.update((key.len() as u64).to_le_bytes());
        self.hash.update(key.as_bytes());
        self.hash.update(record.version.to_le_bytes());
        self.hash.update((record.value.len() as u64).to_le_bytes());
        self.hash.update(&record.value);
        self.records += 1;
    }

    /// The number of records and their digest.
    #[must_use]
    pub(crate) fn finish(self) -> DigestedRecords {
        DigestedRecords {
            records: self.records,
            digest: self.hash.finalize().to_vec(),
        }
    }
}
