//! What the event loop offers and the events that it hands out: the interface that the
//! simulation implements in its place.

use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::Micros;

/// Identifies a connection for as long as it lives: a later one in the same slot has another
/// generation, so a response can't reach another client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u32,
}

/// Identifies an outgoing call.
pub type CallId = u64;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// It never left this process: surely not executed.
    #[error("not sent")]
    NotSent,
    /// Sent in part or whole: it may have been executed, or may be later.
    #[error("no answer")]
    NoAnswer,
    /// The response is larger than is read at once: surely executed, if it was a read.
    #[error("answer too large")]
    TooLarge,
}

/// What happened on the network.
#[derive(Debug)]
pub enum NetEvent {
    /// A request of a user or worker.
    Request(ConnectionId, Request),
    /// The result of a call.
    Response(CallId, Result<Response, CallError>),
    /// A frame from another controller.
    Frame(ConnectionId, Vec<u8>),
}

/// One outgoing call.
#[derive(Debug)]
pub struct Call {
    /// Index of the destination, as given to [`Reactor::new`](super::Reactor::new).
    pub destination: usize,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, encoded.
    pub body: Vec<u8>,
    /// How long it may take, waiting for a connection included.
    pub timeout: Micros,
}

/// What a controller needs of clocks and network: the reactor, or the simulation.
pub trait Net {
    /// Reads the steady clock.
    fn clock(&mut self) -> Micros;
    /// Reads the time of day.
    fn wall(&self) -> Micros;
    /// Responds to a request. A connection that has gone is no error.
    fn respond(&mut self, id: ConnectionId, response: Response);
    /// Starts a call; its result always comes, as [`NetEvent::Response`].
    fn call(&mut self, call: Call) -> CallId;
    /// Sends a frame to another controller, if it can be reached just now. Frames carry state,
    /// not orders that must arrive: a lost one is made good by the next.
    fn send(&mut self, peer: usize, payload: &[u8]);
    /// Replies to a frame on the connection on which it came.
    fn reply(&mut self, id: ConnectionId, payload: &[u8]);
    /// Closes every idle connection to a destination: after a network partition they would
    /// only hang.
    fn close_idle_connections(&mut self, dest: usize);
}

/// Limits that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Open connections of users and workers.
    pub max_served_connections: usize,
    /// Bytes that may wait to be written to a peer before its connection is closed.
    pub max_peer_backlog_bytes: usize,
}
