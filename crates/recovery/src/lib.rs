//! Detection of lost records of the state service. Nothing here does I/O: what a controller
//! sees goes in, findings come out.
//!
//! - [`Detection`] judges workers' reports against the records.
//! - [`RecentChanges`] tells one history of the state service from another.
//! - [`Finding`] is evidence that records are lost.
//!
//! See docs/recovery.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod detection;
mod finding;
mod recent_changes;

pub use detection::{Detection, ReportEvidence};
pub use finding::Finding;
pub use recent_changes::RecentChanges;
