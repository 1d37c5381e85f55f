//! The archive's file: an embedded store, opened for each step, so that other commands may
//! read while one records. A step is one transaction: whenever a process is killed, the file
//! holds the last whole step.

mod step;
mod view;

use std::cell::{RefCell, RefMut};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use redb::{Database, ReadTransaction, TableDefinition};
use serde::de::DeserializeOwned;

use salttiller_records::units::Micros;

use crate::contain::contained;
use crate::error::ArchiveError;
use crate::form::{decode_entry, encode_entry};
use crate::recorder::Action;
pub(crate) use step::Step;
pub use view::View;

/// The form of the file that this version writes, and the highest that it reads.
pub const FORMAT: u64 = 1;

/// How long a step waits for another process that has the file open.
const OPEN_WAIT: Duration = Duration::from_secs(10);
const OPEN_RETRY: Duration = Duration::from_millis(20);
/// Memory for pages of the embedded store.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// The first bytes of a file of the embedded store.
const MAGIC: &[u8] = b"redb";

type Entries = TableDefinition<'static, u64, &'static [u8]>;
type Batches = TableDefinition<'static, (u64, u64), &'static [u8]>;
type Records = TableDefinition<'static, (u64, &'static str), &'static [u8]>;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("salttiller-archive");
const SEGMENTS: Entries = TableDefinition::new("segments");
const IMAGES: Entries = TableDefinition::new("images");
const RECORDS: Records = TableDefinition::new("image-records");
const BATCHES: Batches = TableDefinition::new("change-batches");

const META_FORMAT: &str = "format";
const META_DEPLOYMENT: &str = "deployment";

/// An archive's file.
#[derive(Debug)]
pub struct Archive {
    path: PathBuf,
    deployment: String,
    held: Option<RefCell<Database>>,
}

/// The store, open for a step or for as long as the archive is held.
enum OpenDatabase<'a> {
    ForStep(Box<Database>),
    Held(RefMut<'a, Database>),
}

impl Deref for OpenDatabase<'_> {
    type Target = Database;
    fn deref(&self) -> &Database {
        match self {
            OpenDatabase::ForStep(db) => db,
            OpenDatabase::Held(db) => db,
        }
    }
}

impl DerefMut for OpenDatabase<'_> {
    fn deref_mut(&mut self) -> &mut Database {
        match self {
            OpenDatabase::ForStep(db) => db,
            OpenDatabase::Held(db) => db,
        }
    }
}

impl Archive {
    /// Opens an archive, or creates it if there is no such file.
    pub fn open_or_create(path: &Path, deployment: &str) -> Result<Self, ArchiveError> {
        if !path.exists() {
            create(path, deployment)?;
        }
        Archive::open(path, Some(deployment))
    }

    /// Opens an archive; with `deployment` only if it is of that one.
    pub fn open(path: &Path, deployment: Option<&str>) -> Result<Self, ArchiveError> {
        check_file(path)?;
        let (format, found): (u64, String) = contained(path, || {
            let db = open_database(path)?;
            let txn = begin_read(path, &db)?;
            Ok((
                meta(path, &txn, META_FORMAT)?,
                meta(path, &txn, META_DEPLOYMENT)?,
            ))
        })?;
        if format > FORMAT {
            return Err(ArchiveError::Newer {
                path: path.to_path_buf(),
                found: format,
                supported: FORMAT,
            });
        }
        if deployment.is_some_and(|expected| expected != found) {
            return Err(ArchiveError::OtherDeployment {
                path: path.to_path_buf(),
                found,
                expected: deployment.unwrap_or_default().to_owned(),
            });
        }
        Ok(Archive {
            path: path.to_path_buf(),
            deployment: found,
            held: None,
        })
    }

    /// Keeps the file open, so that no other process can read it meanwhile. Opening it takes
    /// some milliseconds, which matters for many steps in a row.
    pub fn hold(mut self) -> Result<Self, ArchiveError> {
        self.held = Some(RefCell::new(open_database(&self.path)?));
        Ok(self)
    }

    fn database(&self) -> Result<OpenDatabase<'_>, ArchiveError> {
        match &self.held {
            Some(held) => Ok(OpenDatabase::Held(held.borrow_mut())),
            None => open_database(&self.path).map(|db| OpenDatabase::ForStep(Box::new(db))),
        }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The deployment whose records it holds.
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Carries out a step: all actions or none.
    pub fn apply(&self, actions: &[Action], wall: Micros) -> Result<(), ArchiveError> {
        self.write(|step| {
            for action in actions {
                step.apply(action, wall)?;
            }
            Ok(())
        })
    }

    /// Drops an image that a killed process left incomplete.
    pub fn drop_incomplete_image(&self) -> Result<(), ArchiveError> {
        self.write(|step| step.drop_incomplete_image())
    }

    pub(crate) fn write<T>(
        &self,
        change: impl FnOnce(&mut Step<'_>) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        let fail = |e: redb::Error| ArchiveError::store(&self.path, e);
        contained(&self.path, || {
            let db = self.database()?;
            let txn = db.begin_write().map_err(|e| fail(e.into()))?;
            let result = Step::open(&self.path, &txn).and_then(|mut step| change(&mut step))?;
            txn.commit().map_err(|e| fail(e.into()))?;
            Ok(result)
        })
    }

    /// Reads a consistent view of the archive.
    pub fn read<T>(
        &self,
        look: impl FnOnce(&View) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        contained(&self.path, || {
            let db = self.database()?;
            let txn = begin_read(&self.path, &db)?;
            look(&View::open(&self.path, &txn)?)
        })
    }

    /// Checks the embedded store's own checksums, all of them.
    pub fn check_integrity(&self) -> Result<(), ArchiveError> {
        contained(&self.path, || match self.database()?.check_integrity() {
            Ok(true) => Ok(()),
            Ok(false) => Err(ArchiveError::damaged(
                &self.path,
                "checksums of the file's pages don't agree",
            )),
            Err(e) => Err(ArchiveError::store(&self.path, e)),
        })
    }
}

/// Creates the file whole or not at all: a process killed midway leaves no half of one.
fn create(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".new-{}", std::process::id()));
    let new = PathBuf::from(name);
    let made = initialise(&new, deployment).and_then(|()| {
        std::fs::hard_link(&new, path).map_err(|cause| ArchiveError::io(path, cause))
    });
    let _ = std::fs::remove_file(&new);
    made
}

fn initialise(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let fail = |e: redb::Error| ArchiveError::store(path, e);
    let db = Database::create(path).map_err(|e| fail(e.into()))?;
    let txn = db.begin_write().map_err(|e| fail(e.into()))?;
    {
        let mut table = txn.open_table(META).map_err(|e| fail(e.into()))?;
        for (key, value) in [
            (META_FORMAT, encode_entry(&FORMAT)),
            (META_DEPLOYMENT, encode_entry(&deployment)),
        ] {
            table
                .insert(key, value.as_slice())
                .map_err(|e| fail(e.into()))?;
        }
    }
    Step::open(path, &txn)?;
    txn.commit().map_err(|e| fail(e.into()))
}

/// What can be said of a file without opening it as a store.
fn check_file(path: &Path) -> Result<(), ArchiveError> {
    use std::io::Read;
    let foreign = |reason: &str| ArchiveError::Foreign {
        path: path.to_path_buf(),
        reason: reason.to_owned(),
    };
    let mut file = std::fs::File::open(path).map_err(|cause| match cause.kind() {
        std::io::ErrorKind::NotFound => ArchiveError::Missing(path.to_path_buf()),
        _ => ArchiveError::io(path, cause),
    })?;
    let mut head = [0; MAGIC.len()];
    let mut read = 0;
    while read < head.len() {
        match file.read(&mut head[read..]) {
            Ok(0) => break,
            Ok(n) => read += n,
            Err(cause) => return Err(ArchiveError::io(path, cause)),
        }
    }
    match &head[..read] {
        [] => Err(foreign("the file is empty")),
        head if head == MAGIC => Ok(()),
        _ => Err(foreign("another kind of file")),
    }
}

fn open_database(path: &Path) -> Result<Database, ArchiveError> {
    let deadline = Instant::now() + OPEN_WAIT;
    loop {
        match Database::builder().set_cache_size(CACHE_BYTES).open(path) {
            Ok(db) => return Ok(db),
            Err(redb::DatabaseError::DatabaseAlreadyOpen) if Instant::now() < deadline => {
                std::thread::sleep(OPEN_RETRY);
            }
            Err(e) => return Err(ArchiveError::store(path, e)),
        }
    }
}

fn begin_read(path: &Path, db: &Database) -> Result<ReadTransaction, ArchiveError> {
    db.begin_read().map_err(|e| ArchiveError::store(path, e))
}

fn meta<T: DeserializeOwned>(
    path: &Path,
    txn: &ReadTransaction,
    key: &str,
) -> Result<T, ArchiveError> {
    let foreign = |reason: &str| ArchiveError::Foreign {
        path: path.to_path_buf(),
        reason: reason.to_owned(),
    };
    let table = match txn.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => {
            return Err(foreign("a store of another program"))
        }
        Err(e) => return Err(ArchiveError::store(path, e)),
    };
    let value = table.get(key).map_err(|e| ArchiveError::store(path, e))?;
    let value = value.ok_or_else(|| foreign(&format!("no {key}")))?;
    decode_entry(value.value())
        .ok_or_else(|| ArchiveError::damaged(path, format!("{key} can't be read")))
}

/// Reads an entry or says which one is damaged.
fn entry<T: DeserializeOwned>(path: &Path, name: &str, bytes: &[u8]) -> Result<T, ArchiveError> {
    decode_entry(bytes)
        .ok_or_else(|| ArchiveError::damaged(path, format!("{name} fails its checksum")))
}

/// The first key of an image's records, and the first past them.
fn records_of(image: u64) -> std::ops::Range<(u64, &'static str)> {
    (image, "")..(image + 1, "")
}

#[cfg(test)]
mod tests;
