//! Keeps a damaged file from ending the process. The embedded store checks most of what it
//! reads, but asserts some of it; such an assertion says that the file is damaged.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::path::Path;
use std::sync::Once;

use crate::error::ArchiveError;

// Assertions can be caught only where they unwind.
#[cfg(panic = "abort")]
compile_error!("the archive is built with `--profile tools`, where a panic unwinds");

thread_local! {
    static CONTAINED: Cell<bool> = const { Cell::new(false) };
}

static HOOK: Once = Once::new();

/// Calls `work`; should it panic, the file counts as damaged and nothing is printed.
pub fn contained<T>(
    path: &Path,
    work: impl FnOnce() -> Result<T, ArchiveError>,
) -> Result<T, ArchiveError> {
    HOOK.call_once(|| {
        let usual = take_hook();
        set_hook(Box::new(move |info| {
            if !CONTAINED.get() {
                usual(info);
            }
        }));
    });
    let outer = CONTAINED.replace(true);
    let result = catch_unwind(AssertUnwindSafe(work));
    CONTAINED.set(outer);
    result.unwrap_or_else(|_| {
        let reason = "the embedded store finds it inconsistent";
        Err(ArchiveError::damaged(path, reason))
    })
}
