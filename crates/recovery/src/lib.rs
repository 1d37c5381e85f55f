//! Noticing that the state service lost records. Nothing here does I/O: what a controller
//! sees goes in, findings come out.
//!
//! See docs/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod detection;
pub mod finding;
pub mod recent;

pub use detection::{Detection, Reported};
pub use finding::Finding;
pub use recent::RecentChanges;
