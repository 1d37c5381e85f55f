//! The event loop: reads and writes the sockets and turns their input into [`NetEvent`]s. Within a
//! running controller, only this module reads the clocks and accesses sockets.
//!
//! The number of connections and the sizes of queues and buffers are limited. Every call and
//! every partially received request has a deadline. The submodules are:
//!
//! - `socket`: opens sockets and registers them with the poller.
//! - `buffer`, `connection`: a socket with its buffers and its role.
//! - `connection_table`: all connections and their deadlines.
//! - `lifecycle`: accepts and closes connections.
//! - `io`: reads and writes connections that are ready.
//! - `server`: requests of users and workers, and their responses.
//! - `calls`: calls to the state service and the cloud.
//! - `peers`: frames to and from the other controllers.

mod buffer;
mod calls;
mod connection;
mod connection_table;
mod io;
mod lifecycle;
mod net;
mod peers;
mod server;
mod socket;

pub use net::{Call, CallError, CallId, ConnectionId, Limits, Net, NetEvent};

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Events, Poller};

use calls::Destinations;
use connection_table::ConnectionTable;
use lifecycle::Listener;
use peers::Peer;
use salttiller_protocol::http::Response;
use salttiller_records::units::Micros;

/// Poller key of the listener for users and workers.
const HTTP_KEY: usize = 0;
/// Poller key of the listener for other controllers and operators' tools.
const PEER_KEY: usize = 1;
/// Poller key of the first slot of the connection table.
const FIRST_CONNECTION_KEY: usize = 2;

/// Event loop of a controller, with its listeners, connections and calls.
pub struct Reactor {
    poller: Poller,
    events: Events,
    /// Start of the monotonic clock.
    epoch: Instant,
    /// Last reading of the monotonic clock.
    now: Micros,
    http_listener: TcpListener,
    peer_listener: TcpListener,
    connections: ConnectionTable,
    /// Number of open connections of users and workers.
    served_connections: usize,
    limits: Limits,
    destinations: Destinations,
    peers: Vec<Peer>,
    next_call: CallId,
    /// Events that [`Reactor::wait`] has not returned yet.
    pending_events: VecDeque<NetEvent>,
}

impl Reactor {
    /// Opens the listeners. `destinations` are the external services, each with its maximum
    /// number of connections; `peers` are the other controllers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't create the poller or open a listener.
    pub fn new(
        http_addr: SocketAddr,
        peer_addr: SocketAddr,
        destinations: &[(SocketAddr, usize)],
        peers: &[SocketAddr],
        limits: Limits,
    ) -> std::io::Result<Self> {
        let poller = Poller::new()?;
        let http_listener = socket::listen(http_addr)?;
        let peer_listener = socket::listen(peer_addr)?;
        socket::register(&poller, &http_listener, HTTP_KEY, false)?;
        socket::register(&poller, &peer_listener, PEER_KEY, false)?;
        Ok(Reactor {
            poller,
            events: Events::new(),
            epoch: Instant::now(),
            now: 0,
            http_listener,
            peer_listener,
            connections: ConnectionTable::default(),
            served_connections: 0,
            limits,
            destinations: Destinations::new(destinations),
            peers: peers.iter().copied().map(Peer::new).collect(),
            next_call: 1,
            pending_events: VecDeque::new(),
        })
    }

    /// Waits for network events until `until` at the latest, and returns them.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller fails.
    pub fn wait(&mut self, until: Micros) -> std::io::Result<Vec<NetEvent>> {
        let now = self.monotonic_now();
        let until = self.wake_time(now, until);
        let timeout = Duration::from_micros(until.saturating_sub(now));
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        match self.poller.wait(&mut events, Some(timeout)) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        self.monotonic_now();
        for event in events.iter() {
            match event.key {
                HTTP_KEY => self.accept(Listener::Http),
                PEER_KEY => self.accept(Listener::Peer),
                key => {
                    let slot = key - FIRST_CONNECTION_KEY;
                    self.on_ready(slot, event.readable, event.writable);
                }
            }
        }
        self.events = events;
        self.expire_deadlines();
        Ok(self.pending_events.drain(..).collect())
    }

    /// Returns the time to wake up: `now` if events are pending, otherwise the first deadline
    /// or `until`, whichever is earlier.
    fn wake_time(&self, now: Micros, until: Micros) -> Micros {
        if !self.pending_events.is_empty() {
            return now;
        }
        [
            self.connections.first_deadline(),
            self.destinations.first_deadline(),
        ]
        .into_iter()
        .flatten()
        .fold(until, Micros::min)
    }
}

impl Net for Reactor {
    fn monotonic_now(&mut self) -> Micros {
        // The cast can't overflow: 64 bits of microseconds last for half a million years.
        self.now = self.epoch.elapsed().as_micros() as Micros + 1;
        self.now
    }

    fn wall_clock_now(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_micros() as Micros)
    }

    fn respond(&mut self, id: ConnectionId, response: Response) {
        self.send_response(id, response);
    }

    fn call(&mut self, call: Call) -> CallId {
        self.queue_call(call)
    }

    fn send(&mut self, peer: usize, payload: &[u8]) {
        self.send_frame(peer, payload);
    }

    fn reply(&mut self, id: ConnectionId, payload: &[u8]) {
        self.reply_frame(id, payload);
    }

    fn close_idle_connections(&mut self, destination: usize) {
        for slot in self.destinations.take_idle(destination) {
            self.close(slot);
        }
    }
}

#[cfg(test)]
mod tests;
