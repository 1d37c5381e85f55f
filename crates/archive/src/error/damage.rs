//! What is wrong with a damaged file, and where.

use std::fmt;
use std::path::Path;

use thiserror::Error;

use super::ArchiveError;
use crate::encoding::EntryError;

/// Names an entry of the file in messages.
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
        /// Number of its segment.
        segment: u64,
        /// Its number within the segment.
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

/// What is wrong with a damaged file.
#[derive(Debug, Error)]
pub enum Damage {
    /// An entry's bytes are not those that were written.
    #[error("{entry} {cause}")]
    Entry {
        /// The entry.
        entry: EntryName,
        /// What is wrong with it.
        #[source]
        cause: EntryError,
    },
    /// A record's value can't be decoded.
    #[error("record {key} can't be read: {cause}")]
    RecordValue {
        /// Key of the record.
        key: String,
        /// What the decoder said.
        #[source]
        cause: rmp_serde::decode::Error,
    },
    /// The embedded store reports an error.
    #[error("{0}")]
    Store(#[source] Box<redb::Error>),
    /// The embedded store found its own structures inconsistent and panicked.
    #[error("the embedded store finds it inconsistent")]
    StoreAssertion,
    /// The embedded store's check of all its pages failed.
    #[error("checksums of the file's pages don't agree")]
    PageChecksums,
    /// A segment is needed and there is none.
    #[error("no segment is open")]
    NoSegment,
    /// A snapshot in progress is needed and there is none.
    #[error("no snapshot is being read")]
    NoSnapshotInProgress,
    /// Changes were to be added that don't follow the last ones.
    #[error("changes after {after} don't continue {expected}")]
    NotContiguous {
        /// The new changes come after this revision.
        after: u64,
        /// The segment ends at this revision.
        expected: u64,
    },
    /// A change batch is missing from the numbering.
    #[error("{0} is missing")]
    MissingBatch(EntryName),
    /// A change batch overlaps the one before it or lies past its segment's end.
    #[error("{0} is out of order")]
    BatchOutOfOrder(EntryName),
    /// Changes within a batch are not in the order of their revisions.
    #[error("{0} holds changes out of order")]
    ChangesOutOfOrder(EntryName),
    /// A batch holds changes after the revision that it ends at.
    #[error("{0} holds changes past its end")]
    ChangesPastEnd(EntryName),
    /// A snapshot's records are not those that were written.
    #[error("{0} fails its digest")]
    SnapshotDigest(EntryName),
    /// A snapshot is not what the changes make of the one before it.
    #[error("{0} differs from the one before it with the changes between")]
    SnapshotDiffers(EntryName),
}

impl Damage {
    /// The damage as an error of a file.
    pub(crate) fn in_file(self, path: &Path) -> ArchiveError {
        ArchiveError::Damaged {
            path: path.to_path_buf(),
            cause: self,
        }
    }
}
