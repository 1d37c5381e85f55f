//! What the polling loop offers, and what it tells: the interface that tests replace.

use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::Micros;

/// Names a connection for as long as it lives; a later one in the same slot has
/// another generation, so an answer can't reach a stranger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u32,
}

/// Names an outgoing call.
pub type CallId = u64;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Never left this process: surely not executed.
    #[error("not sent")]
    NotSent,
    /// Sent in part or whole: may have been executed, or may be later.
    #[error("no answer")]
    NoAnswer,
    /// Answered with more than is read at once: surely executed, if it was a read.
    #[error("answer too large")]
    TooLarge,
}

/// What the network did.
#[derive(Debug)]
pub enum NetEvent {
    /// A request on the users' and workers' side.
    Request(ConnectionId, Request),
    /// The end of a call.
    Response(CallId, Result<Response, CallError>),
    /// A frame from another controller.
    Frame(ConnectionId, Vec<u8>),
}

/// One outgoing call.
#[derive(Debug)]
pub struct Call {
    /// Which destination, as given to [`Reactor::new`](super::Reactor::new).
    pub destination: usize,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, encoded.
    pub body: Vec<u8>,
    /// How long it may take in all.
    pub timeout: Micros,
}

/// What a controller needs of the world: the reactor, or a stand-in in tests.
pub trait Net {
    /// Reads the steady clock.
    fn clock(&mut self) -> Micros;
    /// Reads the time of day.
    fn wall(&self) -> Micros;
    /// Answers a request. A connection that has gone is no error.
    fn respond(&mut self, id: ConnectionId, r: Response);
    /// Starts a call; its end comes as [`NetEvent::Response`], always.
    fn call(&mut self, call: Call) -> CallId;
    /// Sends a frame to another controller, if there is a way just now. Frames
    /// are state, not orders that must arrive: a lost one is made good by the next.
    fn send(&mut self, peer: usize, payload: &[u8]);
    /// Answers a frame on the connection on which it came.
    fn reply(&mut self, id: ConnectionId, payload: &[u8]);
    /// Gives up every idle connection to a destination: after a cut they would
    /// only hang.
    fn close_idle_connections(&mut self, dest: usize);
}

/// Limits that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections of users and workers at once.
    pub max_served_connections: usize,
    /// Bytes waiting for one peer before its connection is given up.
    pub max_peer_backlog_bytes: usize,
}
