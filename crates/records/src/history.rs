//! Fingerprints of changes. The fingerprints of the last changes identify a history of the state
//! service.

use serde::{Deserialize, Serialize};

/// Number of changes that are kept to identify a history. More changes are kept if the oldest of
/// their revisions would otherwise be incomplete.
pub const IDENTIFYING_CHANGES: usize = 32;

/// A summary of a change that shows whether another history has the same change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Revision of the change.
    pub version: u64,
    /// Key of the record.
    pub key: String,
    /// Checksum of the record's new value, or `None` if the record was deleted.
    pub checksum: Option<u32>,
}

impl Fingerprint {
    /// Returns the fingerprint of a change. `value` is the new value in an encoding in which equal
    /// values have equal bytes, or `None` if the record was deleted.
    pub fn new(version: u64, key: String, value: Option<&[u8]>) -> Self {
        let checksum = value.map(crc32fast::hash);
        Fingerprint {
            version,
            key,
            checksum,
        }
    }
}

/// Returns the last changes of `changes`, which must be in ascending order of their revisions. The
/// result has at least [`IDENTIFYING_CHANGES`] changes, or all changes if there are fewer. All
/// changes of a revision are kept or none, because a comparison requests complete revisions.
#[must_use]
pub fn last_complete_revisions(mut changes: Vec<Fingerprint>) -> Vec<Fingerprint> {
    let Some(first) = changes.len().checked_sub(IDENTIFYING_CHANGES) else {
        return changes;
    };
    let Some(oldest) = changes.get(first).map(|change| change.version) else {
        return changes;
    };
    let start = changes.partition_point(|change| change.version < oldest);
    changes.drain(..start);
    changes
}
