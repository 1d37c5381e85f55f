//! Temporary directories for the files of a test.

use std::fs::{create_dir_all, remove_dir_all};
use std::io;
use std::path::{Path, PathBuf};

/// A directory in the system's temporary directory. The directory and its files are removed on
/// drop.
#[derive(Debug)]
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates an empty directory. `name` must be unique among the tests of a process.
    ///
    /// # Errors
    /// Returns an error if the directory can't be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let folder = format!("salttiller-test-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        // An earlier process with the same process id may have left the directory behind.
        let _ = remove_dir_all(&path);
        create_dir_all(&path)?;
        Ok(TempFolder(path))
    }

    /// Returns the path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Returns the path of a file in the directory. The file need not exist.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file in the directory and returns its path.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> io::Result<PathBuf> {
        let path = self.file(name);
        std::fs::write(&path, content)?;
        Ok(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = remove_dir_all(&self.0);
    }
}
