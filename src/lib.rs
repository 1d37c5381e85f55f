//! A hierarchical cluster scheduler with two levels. The leader binds jobs to regions of machines,
//! and the owner of a region places the tasks on the machines of its region. See docs/design.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod alerts;
pub mod cloud;
pub mod controller;
mod fault_injection;
pub mod leader;
pub mod peer_protocol;
pub mod quota;
pub mod reactor;
pub mod region;
pub mod settings;
pub mod slo;
pub mod state_store;
pub mod status;
pub mod worker_protocol;

#[cfg(test)]
mod fixtures;
#[cfg(test)]
mod simulation;
