//! The event loop: sockets in, events out. The only place that reads the steady clock or
//! touches a socket.
//!
//! Everything is bounded: connections, queues, buffers; every call and every half-sent request
//! has a deadline. The parts and what each owns:
//! - `socket`: opening sockets and watching them.
//! - `buffer`, `connection`: a socket with its buffers and what it is used for.
//! - `connection_table`: all connections and their deadlines.
//! - `lifecycle`: accepting and closing connections, and what follows from it.
//! - `io`: reading and writing what is ready.
//! - `server`: requests of users and workers, and their responses.
//! - `calls`: calls to the state store and the cloud.
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

/// The poller's key of the listener for users and workers.
const HTTP_KEY: usize = 0;
/// The poller's key of the listener for other controllers.
const PEER_KEY: usize = 1;
/// The poller's key of the first slot of the connection table.
const FIRST_CONNECTION_KEY: usize = 2;

/// The event loop's state.
pub struct Reactor {
    poller: Poller,
    events: Events,
    /// What the steady clock counts from.
    epoch: Instant,
    /// The steady clock as it was last read.
    now: Micros,
    http_listener: TcpListener,
    peer_listener: TcpListener,
    connections: ConnectionTable,
    /// Connections of users and workers that are open.
    served: usize,
    limits: Limits,
    destinations: Destinations,
    peers: Vec<Peer>,
    next_call: CallId,
    /// Events that are not handed out yet.
    pending_events: VecDeque<NetEvent>,
}

impl Reactor {
    /// Opens the listeners. `destinations` are outside services with the most connections to
    /// hold to each; `peers` are the other controllers.
    ///
    /// # Errors
    /// The system refuses a poller or a listener.
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
        socket::watch(&poller, &http_listener, HTTP_KEY, false)?;
        socket::watch(&poller, &peer_listener, PEER_KEY, false)?;
        Ok(Reactor {
            poller,
            events: Events::new(),
            epoch: Instant::now(),
            now: 0,
            http_listener,
            peer_listener,
            connections: ConnectionTable::default(),
            served: 0,
            limits,
            destinations: Destinations::new(destinations),
            peers: peers.iter().copied().map(Peer::new).collect(),
            next_call: 1,
            pending_events: VecDeque::new(),
        })
    }

    /// Waits for the network until `until` at the latest and returns what happened.
    ///
    /// # Errors
    /// The system refuses to wait.
    pub fn wait(&mut self, until: Micros) -> std::io::Result<Vec<NetEvent>> {
        let now = self.clock();
        let until = self.wakeup(now, until);
        let timeout = Duration::from_micros(until.saturating_sub(now));
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        match self.poller.wait(&mut events, Some(timeout)) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        self.clock();
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
        self.expire();
        Ok(self.pending_events.drain(..).collect())
    }

    /// When to wake up: at once if events are pending, else at the first deadline.
    fn wakeup(&self, now: Micros, until: Micros) -> Micros {
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
    fn clock(&mut self) -> Micros {
        // 64 bits of microseconds last for half a million years.
        self.now = self.epoch.elapsed().as_micros() as Micros + 1;
        self.now
    }

    fn wall(&self) -> Micros {
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
