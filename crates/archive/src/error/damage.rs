//! Kinds of damage to an archive's file, and the entries that they concern.

use std::fmt;
use std::path::Path;

use thiserror::Error;

use super::ArchiveError;
use crate::encoding::EntryError;

/// Name of an entry of the file, for messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryName {
    /// An entry about the archive as a whole.
    Metadata(&'static str),
    /// A segment.
    Segment(u64),
    /// A snapshot.
    Snapshot(u64),
    /// A record of a snapshot.
    Record {
        /// Number of the snapshot.
        snapshot: u64,
        /// Key of the record.
        key: String,
    },
    /// A change batch.
    ChangeBatch {
        /// Number of the segment that the batch belongs to.
        segment: u64,
        /// Number of the batch within the segment.
        number: u64,
    },
}

impl fmt::Display for EntryName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryName::Metadata(name) => f.write_str(name),
            EntryName::Segment(id) => write!(f, "segment {id}"),
            EntryName::Snapshot(id) => write!(f, "snapshot {id}"),
            EntryName::Record { snapshot, key } => write!(f, "record {key} of snapshot {snapshot}"),
            EntryName::ChangeBatch { segment, number } => {
                write!(f, "change batch {segment}/{number}")
            }
        }
    }
}

/// Damage found in a file.
#[derive(Debug, Error)]
pub enum Damage {
    /// An entry can't be decoded.
    #[error("{entry} {cause}")]
    Entry {
        /// The entry.
        entry: EntryName,
        /// Why the entry can't be decoded.
        #[source]
        cause: EntryError,
    },
    /// A record's value can't be decoded.
    #[error("record {key} can't be decoded: {cause}")]
    RecordValue {
        /// Key of the record.
        key: String,
        /// The decoder's error.
        #[source]
        cause: rmp_serde::decode::Error,
    },
    /// The embedded store reports an error.
    #[error("{0}")]
    Store(#[source] Box<redb::Error>),
    /// The embedded store found its own structures inconsistent and panicked.
    #[error("the embedded store found inconsistent structures")]
    StoreAssertion,
    /// The embedded store's check of its page checksums failed.
    #[error("page checksums don't match")]
    PageChecksums,
    /// An action requires a segment, but the archive has none.
    #[error("the archive has no segment")]
    NoSegment,
    /// An action requires a snapshot in progress, but there is none.
    #[error("no snapshot is in progress")]
    NoSnapshotInProgress,
    /// A new change batch does not start at the end of the segment.
    #[error("changes start after revision {after}, but the segment ends at {expected}")]
    NotContiguous {
        /// Revision after which the new batch starts.
        after: u64,
        /// Revision at which the segment ends.
        expected: u64,
    },
    /// A change batch is missing from the sequence of numbers.
    #[error("{0} is missing")]
    MissingBatch(EntryName),
    /// A change batch overlaps the batch before it or extends past the segment's end.
    #[error("{0} is out of order")]
    BatchOutOfOrder(EntryName),
    /// Changes within a batch are not in revision order.
    #[error("{0} contains changes out of order")]
    ChangesOutOfOrder(EntryName),
    /// A batch contains changes after its last revision.
    #[error("{0} contains changes after its last revision")]
    ChangesPastEnd(EntryName),
    /// A snapshot's records do not match its digest.
    #[error("{0} fails its digest")]
    SnapshotDigest(EntryName),
    /// A snapshot differs from the result of applying the changes to the previous snapshot.
    #[error("{0} differs from the previous snapshot with the changes applied")]
    SnapshotDiffers(EntryName),
}

impl Damage {
    /// Returns the damage as an error that names the file.
    pub(crate) fn in_file(self, path: &Path) -> ArchiveError {
        ArchiveError::Damaged {
            path: path.to_path_buf(),
            cause: self,
        }
    }
}
