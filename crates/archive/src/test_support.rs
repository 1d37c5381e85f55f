//! What tests share.

use std::path::{Path, PathBuf};

/// Path of an archive in the temporary folder. The file is removed when the test ends.
pub(crate) struct TempArchive(PathBuf);

impl TempArchive {
    /// A path for `name`, which must be unique among tests, without a file.
    pub(crate) fn new(name: &str) -> Self {
        let file = format!("salttiller-{}-{name}.archive", std::process::id());
        let path = std::env::temp_dir().join(file);
        let _ = std::fs::remove_file(&path);
        TempArchive(path)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempArchive {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
