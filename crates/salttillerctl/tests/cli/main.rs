//! `salttillerctl` as a process, against stand-ins on loopback.

// Set-up of tests outside of test functions, which clippy.toml does not cover.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

mod archive_documents;
mod archive_failures;
mod archive_recording;
mod common;
mod deployment;
mod recover;
