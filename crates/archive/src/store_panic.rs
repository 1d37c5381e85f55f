//! Converts panics of the embedded store into errors.
//!
//! The embedded store checks most of what it reads, but asserts some of it. Such an assertion
//! says that the file is damaged, and must not end the process.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::path::Path;
use std::sync::Once;

use crate::error::{ArchiveError, Damage};

// Assertions can be caught only where they unwind.
#[cfg(panic = "abort")]
compile_error!("the archive is built with `--profile tools`, where a panic unwinds");

thread_local! {
    /// Whether this thread is within [`catch_store_panic`], where a panic is not printed.
    static CATCHING: Cell<bool> = const { Cell::new(false) };
}

static HOOK: Once = Once::new();

/// Runs an access to the embedded store.
///
/// # Errors
/// Those of `access`, or [`Damage::StoreAssertion`] if it panics; nothing is printed then.
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

/// Replaces the panic hook by one that prints only panics that are not caught here.
fn silence_caught_panics() {
    let default_hook = take_hook();
    set_hook(Box::new(move |info| {
        if !CATCHING.get() {
            default_hook(info);
        }
    }));
}
