//! Tests that run `salttillerctl` as a process against a fake state service on the loopback
//! address.

// clippy.toml permits these lints in test functions only, not in their helpers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

mod archive_documents;
mod archive_failures;
mod archive_recording;
mod common;
mod deployment;
mod recover;
