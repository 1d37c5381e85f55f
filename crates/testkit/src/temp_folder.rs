//! Folders for the files of a test.

use std::fs::{create_dir_all, remove_dir_all};
use std::io;
use std::path::{Path, PathBuf};

/// A folder in the system's temporary one, removed with its files when the test ends.
#[derive(Debug)]
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates an empty folder. `name` must be unique among the tests of a process.
    ///
    /// # Errors
    /// The folder can't be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let folder = format!("salttiller-test-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        // One that an earlier process with the same number left behind.
        let _ = remove_dir_all(&path);
        create_dir_all(&path)?;
        Ok(TempFolder(path))
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Path of a file in the folder, which need not exist.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file; returns its path.
    ///
    /// # Errors
    /// The file can't be written.
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
