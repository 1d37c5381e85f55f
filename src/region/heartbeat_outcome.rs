//! Outcome of a heartbeat at the region's owner.

use crate::worker_protocol::Command;

/// Outcome of a heartbeat, which determines the HTTP answer.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is answered with status 200 and these commands.
    Accepted(Vec<Command>),
    /// The heartbeat is late or repeated. Such a heartbeat has no effect and is not answered with
    /// status 200.
    Stale,
    /// The machine has seen a higher fencing token than this owner's.
    Superseded,
    /// The machine does not belong to this region.
    UnknownMachine,
}
