//! `salttillerctl` as a process, against stand-ins on loopback.

mod archive_documents;
mod archive_failures;
mod archive_recording;
mod common;
mod deployment;
mod recover;
