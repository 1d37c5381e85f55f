//! The protocol between workers and the owner of their region.
//!
//! Workers send heartbeats, which the controller parses with [`parse_heartbeat`]. Commands
//! are carried by the answers, which it makes with [`encode_commands`] and
//! [`encode_redirect`]. Heartbeats of one machine are ordered by [`HeartbeatId`]: only a later
//! one counts, a late or repeated one changes nothing.
//!
//! Pure functions and data; nothing here reads a clock or touches a socket.

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
