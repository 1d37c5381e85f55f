//! Storage of the archive in a file of an embedded key-value store.
//!
//! The file is opened for each transaction, so that other commands can read the archive while
//! a recorder is running. If a process is killed, the file holds the state after the last
//! committed transaction.

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

/// An archive file of one deployment.
#[derive(Debug)]
pub struct Archive {
    path: PathBuf,
    deployment: String,
    /// The open file, while the archive is kept open; see [`Archive::keep_open`].
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
    /// Returns an error if the file can't be created, or an error of [`Archive::open`].
    pub fn open_or_create(path: &Path, deployment: &str) -> Result<Self, ArchiveError> {
        if !path.exists() {
            file::create(path, deployment)?;
        }
        Archive::open(path, Some(deployment))
    }

    /// Opens an archive. If `deployment` is given, the archive must belong to that deployment.
    ///
    /// # Errors
    /// Returns an error if the file is missing, is not an archive, has a later format, belongs to
    /// another deployment, is damaged or is in use.
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

    /// Keeps the file open between transactions, which saves some milliseconds for each
    /// transaction. No other process can read the file while it is kept open.
    ///
    /// # Errors
    /// Returns an error if the file can't be opened.
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

    /// Returns the path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the name of the deployment whose records the archive holds.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Applies actions of the recorder in one transaction: all or none. `wall_clock` is the
    /// arrival time of the response that led to the actions.
    ///
    /// # Errors
    /// Returns an error if the actions contradict the archive, or if it can't be written.
    pub fn apply(&self, actions: &[Action], wall_clock: Micros) -> Result<(), ArchiveError> {
        self.write(|transaction| {
            actions
                .iter()
                .try_for_each(|action| transaction.apply(action, wall_clock))
        })
    }

    /// Deletes an incomplete snapshot, which a recorder leaves behind when it is killed.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read or written.
    pub fn delete_incomplete_snapshot(&self) -> Result<(), ArchiveError> {
        self.write(|transaction| transaction.delete_incomplete_snapshot())
    }

    /// Runs `change` in a transaction and commits the transaction unless `change` fails.
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
    /// Returns an error if the file can't be opened, or the error of `read`.
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

    /// Verifies the page checksums of the embedded store.
    ///
    /// # Errors
    /// Returns [`ArchiveError::Damaged`] if a checksum does not match, or another error if the file
    /// can't be read.
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
