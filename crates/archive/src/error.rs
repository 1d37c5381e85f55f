//! What can go wrong with an archive. Each error is one line for an operator.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttiller_protocol::client::ClientError;
use salttiller_records::units::Micros;
use thiserror::Error;

use crate::encoding::EntryError;
use crate::reconstruct::PointInTime;

/// Why an archive can't be used or written.
#[derive(Debug, Error)]
pub enum ArchiveError {
    /// There is no such file.
    #[error("{}: no such archive", .0.display())]
    NotFound(PathBuf),
    /// The file is something else.
    #[error("{}: not an archive: {cause}", path.display())]
    NotAnArchive {
        /// The file.
        path: PathBuf,
        /// How that shows.
        #[source]
        cause: ForeignFile,
    },
    /// A later version wrote it.
    #[error("{}: format {found}, this version reads up to {supported}", path.display())]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// Its format.
        found: u64,
        /// The highest format that this version reads.
        supported: u64,
    },
    /// It belongs to another deployment.
    #[error("{}: archive of deployment \"{found}\", not of \"{expected}\"", path.display())]
    OtherDeployment {
        /// The file.
        path: PathBuf,
        /// The deployment that it belongs to.
        found: String,
        /// The deployment that was asked for.
        expected: String,
    },
    /// Its content contradicts itself or its checksums.
    #[error("{}: damaged: {cause}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        #[source]
        cause: Damage,
    },
    /// Another process kept it open for longer than the wait limit.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// The disk is full, or this process may not write more.
    #[error("{}: no space left; nothing of this step is written", .0.display())]
    NoSpace(PathBuf),
    /// The operating system refused for another reason.
    #[error("{}: {cause}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        cause: io::Error,
    },
    /// The archive does not cover the requested point in time.
    #[error("{0}")]
    NotCovered(PointInTime),
    /// The state service gave no usable answer for too long.
    #[error("state service: {0}")]
    StateService(#[source] RequestError),
}

/// How a file shows that it is not an archive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ForeignFile {
    /// It has no bytes.
    #[error("the file is empty")]
    Empty,
    /// It is no file of the embedded store.
    #[error("another kind of file")]
    OtherKind,
    /// It is a file of the embedded store without an archive's tables.
    #[error("a store of another program")]
    OtherProgram,
    /// An entry that every archive has is missing.
    #[error("no {0}")]
    MissingMetadata(&'static str),
}

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

/// Why a request to the state service has no usable answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There was no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A page of records can't be decoded.
    #[error("a page can't be read: {0}")]
    InvalidPage(#[source] rmp_serde::decode::Error),
    /// A list of changes can't be decoded.
    #[error("changes can't be read: {0}")]
    InvalidChanges(#[source] rmp_serde::decode::Error),
    /// The state service refused.
    #[error("{address}: status {status}")]
    Refused {
        /// Address of the state service.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// The state service asks to come back no sooner than after this time.
        retry_after: Option<Micros>,
    },
}

impl RequestError {
    /// The least time to wait before the next request.
    pub(crate) fn retry_after(&self) -> Micros {
        match self {
            RequestError::Refused { retry_after, .. } => retry_after.unwrap_or(0),
            _ => 0,
        }
    }
}

/// Linux error numbers that mean that no more can be written: `ENOSPC` (disk full), `EFBIG`
/// (file size limit) and `EDQUOT` (disk quota).
const NO_SPACE_ERRNOS: [i32; 3] = [28, 27, 122];

impl ArchiveError {
    /// An input or output error of a file.
    #[must_use]
    pub fn io(path: &Path, cause: io::Error) -> Self {
        let path = path.to_path_buf();
        match cause.raw_os_error() {
            Some(errno) if NO_SPACE_ERRNOS.contains(&errno) => ArchiveError::NoSpace(path),
            _ => ArchiveError::Io { path, cause },
        }
    }

    fn from_store(path: &Path, error: redb::Error) -> Self {
        match error {
            redb::Error::Io(cause) => ArchiveError::io(path, cause),
            redb::Error::DatabaseAlreadyOpen => ArchiveError::InUse(path.to_path_buf()),
            other => Damage::Store(Box::new(other)).in_file(path),
        }
    }
}

/// Converts results of the embedded store into those of an archive.
pub(crate) trait StoreResult<T> {
    /// Names the file that the store's error is about.
    fn in_file(self, path: &Path) -> Result<T, ArchiveError>;
}

impl<T, E: Into<redb::Error>> StoreResult<T> for Result<T, E> {
    fn in_file(self, path: &Path) -> Result<T, ArchiveError> {
        self.map_err(|error| ArchiveError::from_store(path, error.into()))
    }
}
