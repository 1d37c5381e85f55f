//! The cloud provider's interface: machine types and offers, renting and releasing machines,
//! the inventory, and backoff for offers without capacity.
//!
//! The controller sends the calls that [`CloudClient`] makes and hands it the responses; the
//! leader requests and evaluates. Nothing here reads a clock or touches a socket.

mod capacity_backoff;
mod client;
mod inventory;
mod offer;
mod pacing;
mod queue;
mod request;
mod wire;

pub use capacity_backoff::CapacityBackoff;
pub use client::{CloudClient, CloudError, CloudEvent};
pub use inventory::ListedMachine;
pub use offer::{offers, Offer};
pub use request::{CloudCall, PendingRental};

#[cfg(test)]
mod tests;
