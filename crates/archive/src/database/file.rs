//! Creates, identifies and opens the archive's file.

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

/// File format that this version writes, and the highest format that it reads.
pub const FORMAT: u64 = 1;

/// Metadata key of the file's format.
pub(super) const FORMAT_KEY: &str = "format";
/// Metadata key of the deployment's name.
const DEPLOYMENT_KEY: &str = "deployment";

/// Time after which opening fails if another process keeps the file open. A recorder opens the
/// file only for the duration of a transaction.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two attempts to open the file.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the embedded store's page cache in bytes. The store's default is one gigabyte.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes at the start of every file of the embedded store.
const STORE_MAGIC: &[u8] = b"redb";

/// Contents of the metadata table.
#[derive(Debug)]
pub(super) struct Metadata {
    /// Format of the file.
    pub(super) format: u64,
    /// Name of the deployment.
    pub(super) deployment: String,
}

/// Creates the file atomically: no partial file remains at `path` if the process is killed.
pub(super) fn create(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let mut temporary_name = path.as_os_str().to_owned();
    temporary_name.push(format!(".new-{}", std::process::id()));
    let temporary = PathBuf::from(temporary_name);
    // Unlike a rename, a hard link does not replace a file that another process has created in
    // the meantime.
    let created = initialize(&temporary, deployment).and_then(|()| {
        std::fs::hard_link(&temporary, path).map_err(|cause| ArchiveError::io(path, cause))
    });
    // The error is ignored: a temporary file that remains takes space but is never opened.
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
    // Opening the transaction creates the tables.
    ArchiveTransaction::open(path, &transaction)?;
    transaction.commit().in_file(path)
}

/// Checks that the file exists and starts like a file of the embedded store, without opening
/// the store.
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
        [] => Err(not_an_archive(path, ForeignFile::Empty)),
        STORE_MAGIC => Ok(()),
        _ => Err(not_an_archive(path, ForeignFile::OtherKind)),
    }
}

/// Opens the embedded store. While another process has the file open, the call waits for up to
/// `OPEN_TIMEOUT`.
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
            return Err(not_an_archive(path, ForeignFile::OtherProgram))
        }
        result => result.in_file(path)?,
    };
    let entry = table.get(key).in_file(path)?;
    let entry = entry.ok_or_else(|| not_an_archive(path, ForeignFile::MissingMetadata(key)))?;
    decode(path, EntryName::Metadata(key), entry.value())
}

fn not_an_archive(path: &Path, cause: ForeignFile) -> ArchiveError {
    ArchiveError::NotAnArchive {
        path: path.to_path_buf(),
        cause,
    }
}
