//! Detects that the state service lost records. This package does no I/O: the controller passes in
//! what it received and gets findings.
//!
//! - [`LossDetector`] compares workers' heartbeats with the records.
//! - [`RecentChanges`] distinguishes the known history of the state service from any other.
//! - [`Finding`] is evidence of lost records.
//!
//! See docs/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod detection;
mod finding;
mod recent_changes;

pub use detection::{HeartbeatEvidence, LossDetector};
pub use finding::Finding;
pub use recent_changes::RecentChanges;
