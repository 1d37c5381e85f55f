//! Client of the cloud provider's API: reads machine types and the inventory, rents and releases
//! machines, and backs off from offers without capacity.
//!
//! The leader and the regions queue requests at [`CloudClient`]. The controller sends the calls
//! that the client returns, passes the responses back to the client, and passes the resulting
//! [`CloudEvent`]s to the leader and the regions. This module reads no clock and opens no
//! sockets.

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
pub use inventory::{Inventory, ListedMachine};
pub use offer::{offers, Offer};
pub use request::{CloudCall, PendingRental};

#[cfg(test)]
mod tests;
