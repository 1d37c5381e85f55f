//! Converts panics of the embedded store into errors.
//!
//! The embedded store returns errors for most invalid data that it reads, but panics on some. Such
//! a panic means that the file is damaged; it must not end the process.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::path::Path;
use std::sync::Once;

use crate::error::{ArchiveError, Damage};

// A panic can be caught only if it unwinds.
#[cfg(panic = "abort")]
compile_error!("the archive is built with `--profile tools`, where a panic unwinds");

thread_local! {
    /// Whether this thread is within [`catch_store_panic`], where panics are not printed.
    static CATCHING: Cell<bool> = const { Cell::new(false) };
}

static HOOK: Once = Once::new();

/// Runs `access`, which uses the embedded store, and converts a panic into an error. The panic is
/// not printed.
///
/// # Errors
/// Returns the error of `access`, or [`Damage::StoreAssertion`] if `access` panics.
pub(crate) fn catch_store_panic<T>(
    path: &Path,
    access: impl FnOnce() -> Result<T, ArchiveError>,
) -> Result<T, ArchiveError> {
    HOOK.call_once(silence_caught_panics);
    let outer = CATCHING.replace(true);
    let result = catch_unwind(AssertUnwindSafe(access));
    CATCHING.set(outer);
    result.unwrap_or_else(|_| Err(Damage::StoreAssertion.in_file(path)))
}

/// Replaces the panic hook with one that does not print panics caught by [`catch_store_panic`].
fn silence_caught_panics() {
    let default_hook = take_hook();
    set_hook(Box::new(move |info| {
        if !CATCHING.get() {
            default_hook(info);
        }
    }));
}
