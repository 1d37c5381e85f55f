//! Interface of the network layer: the [`Net`] trait and the events that the network layer
//! reports. The event loop and the simulation implement the trait.

use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::Micros;

/// Identifies an accepted connection until it is closed. A later connection in the same slot has
/// another generation, so that a response can't reach the wrong client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u32,
}

/// Identifies an outgoing call.
pub type CallId = u64;

/// Error of a call without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No part of the request was sent, so the call was not executed.
    #[error("request not sent")]
    NotSent,
    /// The request was sent in part or completely, but no response arrived. The call may have
    /// been executed, or may still be executed later.
    #[error("no response")]
    NoResponse,
    /// The response exceeds the size limit. If the call was a read, it was executed.
    #[error("response too large")]
    TooLarge,
}

/// An event of the network.
#[derive(Debug)]
pub enum NetEvent {
    /// A request of a user or worker.
    Request(ConnectionId, Request),
    /// The result of a call.
    Response(CallId, Result<Response, CallError>),
    /// A frame from another controller or an operator's tool.
    Frame(ConnectionId, Vec<u8>),
}

/// An outgoing call.
#[derive(Debug)]
pub struct Call {
    /// Index of the destination, as given to [`Reactor::new`](super::Reactor::new).
    pub destination: usize,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Timeout of the call, including the wait for a connection.
    pub timeout: Micros,
}

/// Clocks and network of a controller, implemented by the reactor and by the simulation.
pub trait Net {
    /// Reads the monotonic clock.
    fn monotonic_now(&mut self) -> Micros;
    /// Reads the wall clock.
    fn wall_clock_now(&self) -> Micros;
    /// Responds to a request. Does nothing if the connection has been closed.
    fn respond(&mut self, id: ConnectionId, response: Response);
    /// Starts a call. Every call ends with a [`NetEvent::Response`].
    fn call(&mut self, call: Call) -> CallId;
    /// Sends a frame to another controller, or drops the frame if that controller can't be
    /// reached now. Frames carry state rather than commands, so the next frame makes up for a
    /// lost one.
    fn send(&mut self, peer: usize, payload: &[u8]);
    /// Replies to a frame on the connection on which the frame arrived.
    fn reply(&mut self, id: ConnectionId, payload: &[u8]);
    /// Closes all idle connections to a destination. After a network partition, calls on them
    /// would time out.
    fn close_idle_connections(&mut self, destination: usize);
}

/// Limits that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections of users and workers.
    pub max_served_connections: usize,
    /// Maximum number of unwritten bytes to a peer; beyond it, the connection is closed.
    pub max_peer_backlog_bytes: usize,
}
