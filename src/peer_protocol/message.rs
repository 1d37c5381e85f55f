//! Messages between controllers. The wire format depends on the order and the types of variants and
//! fields. A new variant must be added at the end, and must be sent only to peers that support it.

#![allow(missing_docs)] // rkyv's derives generate items without doc comments

use rkyv::{Archive, Deserialize, Serialize};

use super::region_report::{ProvisioningHealth, RegionReport};
use super::status::Status;

/// Message from one controller to another.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Message {
    /// State of the sender and of the regions it owns.
    ControllerState {
        /// Name of the sender.
        from: String,
        /// Incarnation of the sender's process, with the bit [`SUPPORTS_EXTENSIONS`].
        incarnation: u64,
        /// Whether the sender's replica was recently up to date with the state service.
        reads_recent: bool,
        /// Reports of the regions that the sender owns.
        regions: Vec<RegionReport>,
    },
    /// Request of the leader that an owner rebind pending tasks of a job to another region.
    RebindTasks {
        /// Job.
        job: String,
        /// Region that hands the tasks over.
        from: String,
        /// Region that takes the tasks over; empty if the tasks are to be unbound.
        to: String,
        /// Maximum number of tasks.
        count: u32,
    },
    /// Request of the leader that an owner cordon surplus machines of a pool.
    CordonMachines {
        /// Region.
        region: String,
        /// Machine type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Whether the pool consists of spot instances.
        spot: bool,
        /// Maximum number of machines. The owner selects those with the fewest tasks.
        count: u32,
    },
    /// Request of the leader that a region start its part of a multi-region gang, sent when the
    /// capacity of all parts is reserved.
    StartGang {
        /// Job.
        job: String,
        /// Attempt number of the gang.
        attempt: u64,
        /// Region of the part to start.
        region: String,
    },
    /// Request for the status page.
    StatusRequest,
    /// Response with the status page.
    StatusResponse(Status),
    /// Jobs whose cancellation the sender has committed. The message is a hint: an owner whose
    /// requests the state service refuses can stop the jobs before it reads their cancellation.
    JobsCancelled {
        /// Cancelled jobs.
        jobs: Vec<String>,
    },
    /// Notification to an owner that workers of its region contact the sender because they cannot
    /// reach the owner. Sent only to peers that support this message, see
    /// [`SUPPORTS_EXTENSIONS`].
    OwnerUnreachable {
        /// Region.
        region: String,
        /// The owner's fencing token in the sender's replica.
        token: u64,
        /// Number of machines whose workers contacted the sender recently.
        machines: u32,
    },
    /// Report to the leader about the provisioning of machines in a region. Sent only to peers
    /// that support this message, see [`SUPPORTS_EXTENSIONS`].
    ProvisioningHealth {
        /// Region.
        region: String,
        /// Pools with overdue machines.
        pools: Vec<ProvisioningHealth>,
    },
}

/// Bit that a controller sets in the incarnation of [`Message::ControllerState`] to announce
/// support for [`Message::OwnerUnreachable`] and [`Message::ProvisioningHealth`]. The bit is free
/// since incarnations are below 2^53, and earlier versions ignore the incarnation in this message.
pub const SUPPORTS_EXTENSIONS: u64 = 1 << 62;
