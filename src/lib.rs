//! salttiller: a cluster scheduler in two levels. A leader binds jobs to regions
//! of machines; the owner of a region places the tasks on its machines. See
//! docs/design.md.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod fault_injection;
pub mod fleet;
pub mod intake;
pub mod leader;
pub mod mesh;
pub mod node;
pub mod quota;
pub mod reactor;
pub mod region;
pub mod registry;
pub mod settings;
pub mod status;
pub mod workers;

#[cfg(test)]
mod fixtures;
#[cfg(test)]
mod sim;
