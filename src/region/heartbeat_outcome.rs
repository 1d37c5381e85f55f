//! How the owner of a region answers a heartbeat.

use crate::worker_protocol::Command;

/// How a heartbeat is answered.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Status 200 with these commands.
    Accepted(Vec<Command>),
    /// Late or repeated: it changes nothing and gets no 200.
    Stale,
    /// The machine has seen a higher fencing token than ours.
    Superseded,
    /// No machine of this region.
    UnknownMachine,
}
