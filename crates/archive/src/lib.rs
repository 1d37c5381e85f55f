//! An archive of the state service's records on an operator's disk.
//!
//! The archive holds *snapshots* (all records at one revision) and every later change that the
//! state service's watch reports. A sequence of changes without a gap is a *segment*. Where
//! continuity was lost, the next segment records the cause and the extent of the gap.
//!
//! - [`recorder`] selects the next request and turns responses into actions on the archive. The
//!   module does no I/O.
//! - [`database`] stores segments, snapshots and changes in one file, one transaction at a time.
//! - [`session`] runs a recorder with an archive and a blocking client.
//! - [`mod@reconstruct`], [`mod@verify`], [`retention`] and [`mod@export`] operate on the stored
//!   data.
//!
//! See docs/recovery.md. The file and the JSON documents call a snapshot "image".

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
