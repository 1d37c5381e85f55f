//! Output of commands: atomically written files, and JSON on standard output.

use std::fs::{remove_file, rename, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::failure::Failure;

/// Writes a file atomically: a reader sees either the previous or the complete new content.
///
/// # Errors
/// Returns an error if the file, or the temporary file next to it, can't be written.
pub(crate) fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary_name = path.as_os_str().to_owned();
    temporary_name.push(format!(".new-{}", std::process::id()));
    let temporary = PathBuf::from(temporary_name);
    let result = write_synced(&temporary, bytes).and_then(|()| rename(&temporary, path));
    if result.is_err() {
        // The first error is returned. A remaining temporary file is harmless.
        let _ = remove_file(&temporary);
    }
    result
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// Prints a document as JSON.
///
/// # Errors
/// Returns an error if standard output can't be written.
pub(crate) fn print_json<T: Serialize>(document: &T) -> Result<(), Failure> {
    serde_json::to_string_pretty(document)
        .map_err(io::Error::from)
        .and_then(|text| writeln!(io::stdout().lock(), "{text}"))
        .map_err(Failure::StandardOutput)
}
