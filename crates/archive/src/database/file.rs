//! The file as a whole: creating it, telling it from other files, opening the embedded store.

use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use redb::{Database, DatabaseError, ReadTransaction, TableError};
use serde::de::DeserializeOwned;

use super::tables::{decode, METADATA};
use super::transaction::ArchiveTransaction;
use crate::encoding::encode_entry;
use crate::error::{ArchiveError, EntryName, ForeignFile, StoreResult};

/// Format of the file that this version writes, and the highest that it reads.
pub const FORMAT: u64 = 1;

/// Key of the file's format in the metadata.
pub(super) const FORMAT_KEY: &str = "format";
/// Key of the deployment's name in the metadata.
const DEPLOYMENT_KEY: &str = "deployment";

/// How long to wait while another process has the file open, which a recorder has only for the
/// time of a transaction.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two attempts to open the file.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Memory for pages of the embedded store, in bytes; its default is a gigabyte.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// The first bytes of a file of the embedded store.
const STORE_MAGIC: &[u8] = b"redb";

/// What the file says of itself.
#[derive(Debug)]
pub(super) struct Metadata {
    /// Format of the file.
    pub(super) format: u64,
    /// Name of the deployment.
    pub(super) deployment: String,
}

/// Creates the file whole or not at all: a process killed midway leaves no half of one.
pub(super) fn create(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let mut temporary_name = path.as_os_str().to_owned();
    temporary_name.push(format!(".new-{}", std::process::id()));
    let temporary = PathBuf::from(temporary_name);
    // A link, unlike a renaming, does not replace a file that another process made meanwhile.
    let created = initialize(&temporary, deployment).and_then(|()| {
        std::fs::hard_link(&temporary, path).map_err(|cause| ArchiveError::io(path, cause))
    });
    // A file that stays behind takes space but is never opened.
    let _ = std::fs::remove_file(&temporary);
    created
}

fn initialize(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let database = Database::create(path).in_file(path)?;
    let transaction = database.begin_write().in_file(path)?;
    {
        let mut metadata = transaction.open_table(METADATA).in_file(path)?;
        for (key, entry) in [
            (FORMAT_KEY, encode_entry(&FORMAT)),
            (DEPLOYMENT_KEY, encode_entry(&deployment)),
        ] {
            metadata.insert(key, entry.as_slice()).in_file(path)?;
        }
    }
    // Creates the tables.
    ArchiveTransaction::open(path, &transaction)?;
    transaction.commit().in_file(path)
}

/// Tells what can be told of a file without opening it as a store.
pub(super) fn check_magic(path: &Path) -> Result<(), ArchiveError> {
    let file = File::open(path).map_err(|cause| match cause.kind() {
        ErrorKind::NotFound => ArchiveError::NotFound(path.to_path_buf()),
        _ => ArchiveError::io(path, cause),
    })?;
    let mut head = Vec::with_capacity(STORE_MAGIC.len());
    file.take(STORE_MAGIC.len() as u64)
        .read_to_end(&mut head)
        .map_err(|cause| ArchiveError::io(path, cause))?;
    match head.as_slice() {
        [] => Err(foreign(path, ForeignFile::Empty)),
        STORE_MAGIC => Ok(()),
        _ => Err(foreign(path, ForeignFile::OtherKind)),
    }
}

/// Opens the embedded store, waiting for another process that has it open.
pub(super) fn open_database(path: &Path) -> Result<Database, ArchiveError> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    loop {
        match Database::builder().set_cache_size(CACHE_BYTES).open(path) {
            Err(DatabaseError::DatabaseAlreadyOpen) if Instant::now() < deadline => {
                thread::sleep(OPEN_RETRY_INTERVAL);
            }
            result => return result.in_file(path),
        }
    }
}

pub(super) fn read_metadata(
    path: &Path,
    transaction: &ReadTransaction,
) -> Result<Metadata, ArchiveError> {
    Ok(Metadata {
        format: read_metadata_entry(path, transaction, FORMAT_KEY)?,
        deployment: read_metadata_entry(path, transaction, DEPLOYMENT_KEY)?,
    })
}

fn read_metadata_entry<T: DeserializeOwned>(
    path: &Path,
    transaction: &ReadTransaction,
    key: &'static str,
) -> Result<T, ArchiveError> {
    let table = match transaction.open_table(METADATA) {
        Err(TableError::TableDoesNotExist(_)) => {
            return Err(foreign(path, ForeignFile::OtherProgram))
        }
        result => result.in_file(path)?,
    };
    let entry = table.get(key).in_file(path)?;
    let entry = entry.ok_or_else(|| foreign(path, ForeignFile::MissingMetadata(key)))?;
    decode(path, EntryName::Metadata(key), entry.value())
}

fn foreign(path: &Path, cause: ForeignFile) -> ArchiveError {
    ArchiveError::NotAnArchive {
        path: path.to_path_buf(),
        cause,
    }
}
