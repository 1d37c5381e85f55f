//! What can go wrong with an archive.
//!
//! Each error is one line for an operator, which includes the text of its cause. Causes are
//! available through [`std::error::Error::source`] as well.

mod damage;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttiller_protocol::client::ClientError;
use salttiller_records::units::Micros;
use thiserror::Error;

pub use crate::encoding::EntryError;
use crate::reconstruct::PointInTime;
pub use damage::{Damage, EntryName};

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
    #[error("{}: no space left; nothing of this transaction is written", .0.display())]
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
