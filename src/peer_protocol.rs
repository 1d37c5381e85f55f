//! Protocol between controllers.
//!
//! Messages carry no authority. A message may be lost, delayed or duplicated, and its receiver
//! checks it against the records before acting on it. The controller sends and receives the
//! messages; this module uses no sockets.

mod codec;
mod message;
mod region_report;
mod status;

pub use codec::{decode, encode};
pub use message::{Message, SUPPORTS_EXTENSIONS};
pub use region_report::{
    FreeResources, PendingJob, PoolCapacity, ProvisioningHealth, RegionReport, RunningTasks,
};
pub use status::{ObjectiveStatus, RegionStatus, Status};

#[cfg(test)]
mod tests;
