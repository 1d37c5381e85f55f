//! The command `archive export`.

use std::io;
use std::path::Path;

use salttiller_archive::export::export;
use salttiller_archive::reconstruct::PointInTime;
use salttiller_archive::{Archive, ArchiveError};

use crate::failure::Failure;
use crate::output::{print_json, write_atomically};

/// Prints the records at a point in time.
pub(super) fn print_export(path: &Path, point: PointInTime) -> Result<(), Failure> {
    let archive = Archive::open(path, None)?;
    print_json(&export(&archive, point)?)
}

/// Writes the records at a point in time to a file.
pub(super) fn export_to_file(
    path: &Path,
    point: PointInTime,
    output: &Path,
    overwrite: bool,
) -> Result<(), Failure> {
    let archive = Archive::open(path, None)?;
    if output.exists() && !overwrite {
        return Err(Failure::WouldOverwrite(output.to_path_buf()));
    }
    let document = export(&archive, point)?;
    serde_json::to_vec(&document)
        .map_err(io::Error::from)
        .and_then(|bytes| write_atomically(output, &bytes))
        .map_err(|cause| ArchiveError::io(output, cause).into())
}
