//! An archive of the state service's records on an operator's disk.
//!
//! The archive holds *snapshots* (all records at one revision) and every change after them, as
//! the state service's watch shows it. A run of changes without a gap is a *segment*; where
//! continuity was lost, the next segment says why and what is missing in between.
//!
//! - [`recorder`] decides what to ask next and what an answer means; it does no I/O.
//! - [`database`] stores segments, snapshots and changes in one file, a transaction at a time.
//! - [`session`] joins the two with a blocking client.
//! - [`mod@reconstruct`], [`mod@verify`], [`retention`] and [`mod@export`] work on what is
//!   stored.
//!
//! See docs/recovery.md. In the file and in JSON documents a snapshot is called "image".

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod database;
mod digest;
pub mod documents;
mod encoding;
pub mod error;
pub mod export;
mod fault_injection;
pub mod model;
pub mod reconstruct;
pub mod recorder;
pub mod retention;
pub mod session;
mod store_panic;
pub mod verify;

pub use database::Archive;
pub use error::ArchiveError;
