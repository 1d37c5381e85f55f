//! What salttiller keeps in the state service, below the daemon and every tool: keys, records,
//! the model of a job, and the units that all of them count in.
//!
//! The forms of keys and records are published: other versions of the daemon read and write
//! the same store side by side.

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
