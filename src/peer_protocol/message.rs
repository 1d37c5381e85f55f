//! The messages themselves. Bytes on the wire follow from the order and the types of variants
//! and fields: a new variant goes to the end, and only to peers that understand it.

#![allow(missing_docs)] // rkyv's derives make items that can't carry any

use rkyv::{Archive, Deserialize, Serialize};

use super::region_report::{ProvisioningHealth, RegionReport};
use super::status::Status;

/// A message between controllers.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Message {
    /// State of the sender and of the regions that it owns.
    ControllerState {
        /// Name of the sender.
        from: String,
        /// Incarnation of its process.
        incarnation: u64,
        /// Whether its reads of the state store are recent.
        reads_recent: bool,
        /// Regions it owns.
        regions: Vec<RegionReport>,
    },
    /// The leader has an owner rebind pending tasks of a job to another region.
    RebindTasks {
        /// Job.
        job: String,
        /// Region that hands them over.
        from: String,
        /// Region that takes them.
        to: String,
        /// How many tasks at most.
        count: u32,
    },
    /// The leader has an owner cordon machines of a pool that are not needed.
    CordonMachines {
        /// Region.
        region: String,
        /// Machine type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Spot or on-demand.
        spot: bool,
        /// How many at most; the owner picks those that hold the fewest tasks.
        count: u32,
    },
    /// The leader has a region start its part of a multi-region gang: all parts have their
    /// capacity reserved.
    StartGang {
        /// Job.
        job: String,
        /// Attempt.
        attempt: u64,
        /// Region that starts its part.
        region: String,
    },
    /// Asks for the status page.
    StatusRequest,
    /// The status page.
    StatusResponse(Status),
    /// Jobs whose cancellation the sender has committed. A hint: an owner that the state store
    /// refuses need not run them on until it reads of it.
    JobsCancelled {
        /// Jobs.
        jobs: Vec<String>,
    },
    /// Tells an owner that machines of its region turn to the sender, since they don't reach
    /// it. Sent only to peers that understand it, see [`UNDERSTANDS_EXTENSIONS`].
    OwnerUnreachable {
        /// Region.
        region: String,
        /// The owner's fencing token, as the sender knows it.
        token: u64,
        /// Machines that did so lately.
        machines: u32,
    },
    /// Tells the leader how provisioning goes in a region. Sent only to peers that understand
    /// it, see [`UNDERSTANDS_EXTENSIONS`].
    ProvisioningHealth {
        /// Region.
        region: String,
        /// The pools of which machines are overdue.
        pools: Vec<ProvisioningHealth>,
    },
}

/// Bit that is set in the incarnation of a [`Message::ControllerState`] by controllers that
/// understand [`Message::OwnerUnreachable`] and [`Message::ProvisioningHealth`]. Incarnations
/// are below 2^53, and earlier versions don't look at that of this message.
pub const UNDERSTANDS_EXTENSIONS: u64 = 1 << 62;
