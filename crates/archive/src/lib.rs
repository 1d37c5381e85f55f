//! An archive of the state service's records on an operator's disk.
//!
//! The archive holds *images* (all records at one revision) and, after them, every change as
//! the state service's watch shows it. A run of changes without a hole is a *segment*; where
//! continuity was lost, the next segment says why and what is missing in between.
//!
//! - [`recorder`] decides what to ask next and what an answer means; it does no I/O.
//! - [`database`] keeps segments, images and changes in one file, a transaction a step.
//! - [`session`] joins the two with a blocking client.
//! - [`reconstruct`], [`verify`], [`retention`] and [`export`] work on what is kept.
//!
//! See docs/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod contain;
pub mod database;
pub mod error;
pub mod export;
mod fault_injection;
pub mod form;
pub mod reconstruct;
pub mod recorder;
pub mod retention;
pub mod session;
pub mod verify;

pub use database::Archive;
pub use error::ArchiveError;
