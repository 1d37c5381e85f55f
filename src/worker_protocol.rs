//! Protocol between workers and the controller that owns their region.
//!
//! Workers send heartbeats, which the controller parses with [`parse_heartbeat`]. The responses
//! carry commands to the worker ([`encode_commands`]) or a redirect to the owner of its region
//! ([`encode_redirect`]). [`HeartbeatId`] orders the heartbeats of a machine: a heartbeat that is
//! not later than the last one is stale or repeated and has no effect.
//!
//! The module consists of pure functions and data; it uses neither clocks nor sockets.

mod commands;
mod heartbeat;
mod wire;

pub use commands::{encode_commands, encode_redirect, Command, CommandKind, MAX_COMMANDS};
pub use heartbeat::{
    parse_heartbeat, ExitReason, Heartbeat, HeartbeatError, HeartbeatId, ReportedState,
    ReportedTask,
};

#[cfg(test)]
mod tests;
