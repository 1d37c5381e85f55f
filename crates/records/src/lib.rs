//! The data that salttiller stores in the state service: keys and records, the spec of a job, and
//! the units of times and amounts. The controller and all tools depend on this package, which does
//! no I/O.
//!
//! The stored forms of keys and records are published, because controllers of different versions
//! read and write the same store concurrently.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod amount;
pub mod bitmap;
pub mod history;
pub mod key;
pub mod model;
pub mod record;
pub mod resources;
pub mod units;

pub use amount::QuotaAmount;
pub use key::{Key, PREFIX};
pub use resources::Resources;

#[cfg(test)]
mod tests;
