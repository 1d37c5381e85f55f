//! The archive's file.
//!
//! The embedded store is opened for each transaction, so that other commands may read while
//! one records. Whenever a process is killed, the file holds the last whole transaction.

mod file;
mod tables;
mod transaction;
mod view;

use std::cell::{RefCell, RefMut};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};

use redb::Database;

use salttiller_records::units::Micros;

use crate::error::{ArchiveError, Damage, StoreResult};
use crate::recorder::Action;
use crate::store_panic::catch_store_panic;
pub use file::FORMAT;
pub(crate) use transaction::ArchiveTransaction;
pub use view::ArchiveView;

/// An archive.
#[derive(Debug)]
pub struct Archive {
    path: PathBuf,
    deployment: String,
    /// Set while the file is kept open, see [`Archive::keep_open`].
    kept_open: Option<RefCell<Database>>,
}

/// The embedded store, open for one transaction or for as long as the archive is kept open.
enum OpenDatabase<'a> {
    ForTransaction(Box<Database>),
    Kept(RefMut<'a, Database>),
}

impl Deref for OpenDatabase<'_> {
    type Target = Database;

    fn deref(&self) -> &Database {
        match self {
            OpenDatabase::ForTransaction(database) => database,
            OpenDatabase::Kept(database) => database,
        }
    }
}

impl DerefMut for OpenDatabase<'_> {
    fn deref_mut(&mut self) -> &mut Database {
        match self {
            OpenDatabase::ForTransaction(database) => database,
            OpenDatabase::Kept(database) => database,
        }
    }
}

impl Archive {
    /// Opens a deployment's archive, or creates it if there is no such file.
    ///
    /// # Errors
    /// Those of [`Archive::open`], and of creating a file.
    pub fn open_or_create(path: &Path, deployment: &str) -> Result<Self, ArchiveError> {
        if !path.exists() {
            file::create(path, deployment)?;
        }
        Archive::open(path, Some(deployment))
    }

    /// Opens an archive; with `deployment` only if it belongs to that one.
    ///
    /// # Errors
    /// The file is missing, not an archive, of a later format, of another deployment, damaged
    /// or in use.
    pub fn open(path: &Path, deployment: Option<&str>) -> Result<Self, ArchiveError> {
        file::check_magic(path)?;
        let found = catch_store_panic(path, || {
            let database = file::open_database(path)?;
            let transaction = database.begin_read().in_file(path)?;
            file::read_metadata(path, &transaction)
        })?;
        if found.format > FORMAT {
            return Err(ArchiveError::UnsupportedFormat {
                path: path.to_path_buf(),
                found: found.format,
                supported: FORMAT,
            });
        }
        match deployment {
            Some(expected) if expected != found.deployment => Err(ArchiveError::OtherDeployment {
                path: path.to_path_buf(),
                found: found.deployment,
                expected: expected.to_owned(),
            }),
            _ => Ok(Archive {
                path: path.to_path_buf(),
                deployment: found.deployment,
                kept_open: None,
            }),
        }
    }

    /// Keeps the file open, so that no other process can read it meanwhile. Opening it takes
    /// some milliseconds, which matters for many transactions in a row.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn keep_open(mut self) -> Result<Self, ArchiveError> {
        self.kept_open = Some(RefCell::new(file::open_database(&self.path)?));
        Ok(self)
    }

    fn database(&self) -> Result<OpenDatabase<'_>, ArchiveError> {
        match &self.kept_open {
            Some(database) => Ok(OpenDatabase::Kept(database.borrow_mut())),
            None => file::open_database(&self.path)
                .map(|database| OpenDatabase::ForTransaction(Box::new(database))),
        }
    }

    /// Path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Name of the deployment whose records it holds.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Carries out actions of the recorder in one transaction: all or none. `wall_clock` is
    /// the time at which the answer arrived that they follow from.
    ///
    /// # Errors
    /// The actions contradict the archive, or it can't be written.
    pub fn apply(&self, actions: &[Action], wall_clock: Micros) -> Result<(), ArchiveError> {
        self.write(|transaction| {
            actions
                .iter()
                .try_for_each(|action| transaction.apply(action, wall_clock))
        })
    }

    /// Deletes a snapshot that a killed process left incomplete.
    ///
    /// # Errors
    /// Those of reading and writing.
    pub fn delete_incomplete_snapshot(&self) -> Result<(), ArchiveError> {
        self.write(|transaction| transaction.delete_incomplete_snapshot())
    }

    /// Runs `change` in a transaction, which is committed unless it fails.
    pub(crate) fn write<T>(
        &self,
        change: impl FnOnce(&mut ArchiveTransaction<'_>) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        catch_store_panic(&self.path, || {
            let database = self.database()?;
            let transaction = database.begin_write().in_file(&self.path)?;
            let result = change(&mut ArchiveTransaction::open(&self.path, &transaction)?)?;
            transaction.commit().in_file(&self.path)?;
            Ok(result)
        })
    }

    /// Runs `read` on a consistent view of the archive.
    ///
    /// # Errors
    /// Those of `read`, and of opening the file.
    pub fn read<T>(
        &self,
        read: impl FnOnce(&ArchiveView) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        catch_store_panic(&self.path, || {
            let database = self.database()?;
            let transaction = database.begin_read().in_file(&self.path)?;
            read(&ArchiveView::open(&self.path, &transaction)?)
        })
    }

    /// Checks all checksums that the embedded store keeps of its own pages.
    ///
    /// # Errors
    /// [`ArchiveError::Damaged`] if they don't agree, and those of reading.
    pub fn check_integrity(&self) -> Result<(), ArchiveError> {
        catch_store_panic(&self.path, || {
            if self.database()?.check_integrity().in_file(&self.path)? {
                Ok(())
            } else {
                Err(Damage::PageChecksums.in_file(&self.path))
            }
        })
    }
}

#[cfg(test)]
mod tests;
