//! What can go wrong with an archive.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why an archive can't be used or written; each is one line for an operator.
#[derive(Debug, Error)]
pub enum ArchiveError {
    /// There is no such file.
    #[error("{}: no such archive", .0.display())]
    Missing(PathBuf),
    /// The file is something else, empty included.
    #[error("{}: not an archive: {reason}", path.display())]
    Foreign {
        /// The file.
        path: PathBuf,
        /// How that shows.
        reason: String,
    },
    /// A later version wrote it.
    #[error("{}: format {found}, this version reads up to {supported}", path.display())]
    Newer {
        /// The file.
        path: PathBuf,
        /// Its format.
        found: u64,
        /// The highest that we read.
        supported: u64,
    },
    /// It belongs to another deployment.
    #[error("{}: archive of deployment \"{found}\", not of \"{expected}\"", path.display())]
    OtherDeployment {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        found: String,
        /// Whose it should be.
        expected: String,
    },
    /// What it holds contradicts itself or its checksums.
    #[error("{}: damaged: {reason}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        reason: String,
    },
    /// Another process has it open, for longer than we wait.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// The disk, or what this process may write, is full.
    #[error("{}: no space left; nothing of this step is written", .0.display())]
    NoSpace(PathBuf),
    /// The system refused for another reason.
    #[error("{}: {cause}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The archive holds nothing that answers the request.
    #[error("{0}")]
    NotKept(String),
    /// The state service gave no usable answer for too long.
    #[error("state service: {0}")]
    StateService(String),
}

/// The system's error numbers for a full disk, a file over its limit and a spent quota.
const NO_SPACE: [i32; 3] = [28, 27, 122];

impl ArchiveError {
    /// An input or output error of a file.
    pub fn io(path: &Path, cause: io::Error) -> Self {
        let path = path.to_path_buf();
        match cause.raw_os_error() {
            Some(number) if NO_SPACE.contains(&number) => ArchiveError::NoSpace(path),
            _ => ArchiveError::Io { path, cause },
        }
    }

    /// Something in the file that can't be so.
    pub fn damaged(path: &Path, reason: impl Into<String>) -> Self {
        ArchiveError::Damaged {
            path: path.to_path_buf(),
            reason: reason.into(),
        }
    }

    /// An error of the embedded store.
    pub(crate) fn store(path: &Path, error: impl Into<redb::Error>) -> Self {
        match error.into() {
            redb::Error::Io(cause) => ArchiveError::io(path, cause),
            redb::Error::DatabaseAlreadyOpen => ArchiveError::InUse(path.to_path_buf()),
            other => ArchiveError::damaged(path, other.to_string()),
        }
    }
}
