//! What commands print and write.

use std::io::Write;
use std::path::{Path, PathBuf};

use crate::exit::Failure;

/// Writes a file whole or not at all.
pub fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".new-{}", std::process::id()));
    let new = PathBuf::from(name);
    let written = std::fs::File::create(&new).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    let renamed = written.and_then(|()| std::fs::rename(&new, path));
    if renamed.is_err() {
        let _ = std::fs::remove_file(&new);
    }
    renamed
}

/// Prints a document as JSON.
pub fn print_json<T: serde::Serialize>(document: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(document).unwrap_or_default();
    let out = std::io::stdout();
    writeln!(out.lock(), "{text}").map_err(|cause| Failure::Output {
        file: "standard output".to_owned(),
        cause,
    })
}
