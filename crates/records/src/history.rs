//! Identifying a history of the state service by its last changes.

use serde::{Deserialize, Serialize};

/// Number of changes that are kept to identify a history; more if the last revision of them
/// is only whole with more.
pub const RECOGNISED_CHANGES: usize = 32;

/// A short form of a change: enough to tell whether another history has the same one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Revision of the change.
    pub version: u64,
    /// Key of the record.
    pub key: String,
    /// Checksum of its value; `None`: deleted.
    pub checksum: Option<u32>,
}

impl Fingerprint {
    /// The fingerprint of a change to a value, as bytes that are the same for equal values.
    pub fn new(version: u64, key: String, value: Option<&[u8]>) -> Self {
        let checksum = value.map(crc32fast::hash);
        Fingerprint {
            version,
            key,
            checksum,
        }
    }
}

/// The last [`RECOGNISED_CHANGES`] of `changes`, which are in the order of their revisions.
/// A revision is kept whole, since a comparison asks for whole revisions.
#[must_use]
pub fn last_whole_revisions(mut changes: Vec<Fingerprint>) -> Vec<Fingerprint> {
    let Some(first) = changes.len().checked_sub(RECOGNISED_CHANGES) else {
        return changes;
    };
    let Some(oldest) = changes.get(first).map(|change| change.version) else {
        return changes;
    };
    let start = changes.partition_point(|change| change.version < oldest);
    changes.drain(..start);
    changes
}
