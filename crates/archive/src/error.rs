//! Error types of the archive.
//!
//! The message of each error is one line for an operator and includes the text of its cause.
//! The cause is also available through [`std::error::Error::source`].

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
    /// The file is not an archive.
    #[error("{}: not an archive: {cause}", path.display())]
    NotAnArchive {
        /// The file.
        path: PathBuf,
        /// Why the file is not an archive.
        #[source]
        cause: ForeignFile,
    },
    /// The file has a format of a later version.
    #[error("{}: format {found}, this version reads up to {supported}", path.display())]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// Format of the file.
        found: u64,
        /// The highest format that this version reads.
        supported: u64,
    },
    /// The archive belongs to another deployment.
    #[error("{}: archive of deployment \"{found}\", not of \"{expected}\"", path.display())]
    OtherDeployment {
        /// The file.
        path: PathBuf,
        /// The deployment that the archive belongs to.
        found: String,
        /// The requested deployment.
        expected: String,
    },
    /// The file's content is inconsistent or does not match its checksums.
    #[error("{}: damaged: {cause}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The kind of damage and the entry concerned.
        #[source]
        cause: Damage,
    },
    /// Another process kept the file open until the open timeout.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// The disk is full, or the process has reached a file size limit or disk quota.
    #[error("{}: no space left; the transaction was not written", .0.display())]
    NoSpace(PathBuf),
    /// The operating system reported another error.
    #[error("{}: {cause}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        #[source]
        cause: io::Error,
    },
    /// The archive does not cover the requested point in time.
    #[error("{0}")]
    NotCovered(PointInTime),
    /// The state service gave no usable response for longer than the limit.
    #[error("state service: {0}")]
    StateService(#[source] RequestError),
}

/// Why a file is not an archive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ForeignFile {
    /// The file has no content.
    #[error("the file is empty")]
    Empty,
    /// The file does not have the format of the embedded store.
    #[error("the file is of another kind")]
    OtherKind,
    /// The file is a file of the embedded store but has no archive tables.
    #[error("the file belongs to another program")]
    OtherProgram,
    /// A metadata entry that every archive has is missing.
    #[error("metadata entry \"{0}\" is missing")]
    MissingMetadata(&'static str),
}

/// Why a request to the state service got no usable response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The request got no response.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A page of records can't be decoded.
    #[error("page can't be decoded: {0}")]
    InvalidPage(#[source] rmp_serde::decode::Error),
    /// A list of changes can't be decoded.
    #[error("changes can't be decoded: {0}")]
    InvalidChanges(#[source] rmp_serde::decode::Error),
    /// The state service refused the request.
    #[error("{address}: status {status}")]
    Refused {
        /// Address of the state service.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Minimum delay before a retry, as requested by the state service.
        retry_after: Option<Micros>,
    },
}

impl RequestError {
    /// Returns the minimum time to wait before the next request.
    pub(crate) fn retry_after(&self) -> Micros {
        match self {
            RequestError::Refused { retry_after, .. } => retry_after.unwrap_or(0),
            _ => 0,
        }
    }
}

/// Linux error numbers for exhausted space: `ENOSPC` (disk full), `EFBIG` (file size limit) and
/// `EDQUOT` (disk quota).
const NO_SPACE_ERRNOS: [i32; 3] = [28, 27, 122];

impl ArchiveError {
    /// Returns the error for an I/O error of a file.
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

/// Converts results of the embedded store into results of the archive.
pub(crate) trait StoreResult<T> {
    /// Converts an error of the store into an error that names the file.
    fn in_file(self, path: &Path) -> Result<T, ArchiveError>;
}

impl<T, E: Into<redb::Error>> StoreResult<T> for Result<T, E> {
    fn in_file(self, path: &Path) -> Result<T, ArchiveError> {
        self.map_err(|error| ArchiveError::from_store(path, error.into()))
    }
}
