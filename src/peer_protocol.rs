//! What controllers tell each other.
//!
//! Nothing here carries authority: all of it may be lost, late or repeated, and is checked
//! against the records before it is acted on. The controller sends and takes these messages;
//! nothing here touches a socket.

mod codec;
mod message;
mod region_report;
mod status;

pub use codec::{decode, encode};
pub use message::{Message, UNDERSTANDS_EXTENSIONS};
pub use region_report::{
    FreeResources, PendingJob, PoolCapacity, ProvisioningHealth, RegionReport, RunningTasks,
};
pub use status::{ObjectiveStatus, RegionStatus, Status};

#[cfg(test)]
mod tests;
