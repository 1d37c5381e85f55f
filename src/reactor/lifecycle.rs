//! Accepts and closes connections, and reports the calls that end with a connection.

use std::io::ErrorKind;
use std::net::TcpStream;

use super::connection::Role;
use super::net::{CallError, NetEvent};
use super::{peers, server, Reactor};
use salttiller_records::units::Micros;

/// Maximum number of connections that are accepted per readiness event, so that a flood of new
/// connections can't starve the others.
const MAX_ACCEPTS: usize = 32;
/// Maximum number of connections that are checked to find an idle one.
const MAX_IDLE_CANDIDATES: usize = 64;
/// Fraction of the maximum number of served connections above which each connection is closed
/// after its response: 7 of 8, as numerator and denominator.
const NEAR_LIMIT_FRACTION: (usize, usize) = (7, 8);

/// Listener that accepts a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listener {
    /// The listener for users and workers.
    Http,
    /// The listener for other controllers and operators' tools.
    Peer,
}

impl Reactor {
    /// Accepts the connections that are pending at a listener.
    pub(super) fn accept(&mut self, listener: Listener) {
        for _ in 0..MAX_ACCEPTS {
            let accepted = match listener {
                Listener::Http => self.http_listener.accept(),
                Listener::Peer => self.peer_listener.accept(),
            };
            match accepted {
                Ok((stream, _)) => self.on_accepted(listener, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("accepting a connection failed: {error}");
                    return;
                }
            }
        }
    }

    fn on_accepted(&mut self, listener: Listener, stream: TcpStream) {
        let is_http = listener == Listener::Http;
        let full = self.served_connections >= self.limits.max_served_connections;
        if is_http && full && !self.close_idle_served_connection() {
            log::debug!(
                "new connection closed, connection limit reached: \
                 {} connections of users and workers are open",
                self.served_connections
            );
            return;
        }
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        // A failure only increases latency.
        let _ = stream.set_nodelay(true);
        let (role, timeout) = match listener {
            Listener::Http => (Role::AwaitingRequest, server::IDLE_TIMEOUT),
            Listener::Peer => (Role::InboundPeer, peers::SILENCE_TIMEOUT),
        };
        let inserted = self.insert(stream, role, false, self.now + timeout);
        if is_http && inserted.is_some() {
            self.served_connections += 1;
        }
    }

    /// Closes the connection of a user or worker that has been idle the longest, to make room
    /// for another one. Returns false if none of the checked connections is idle.
    ///
    /// Guards against workers whose heartbeats never arrive while there are more workers than
    /// available connections.
    fn close_idle_served_connection(&mut self) -> bool {
        // Idle connections have the same timeout, so their deadlines are in the order of last
        // use. The iterator also contains connections in other roles.
        let idle = self
            .connections
            .by_deadline()
            .take(MAX_IDLE_CANDIDATES)
            .find(|(_, connection)| {
                matches!(connection.role, Role::AwaitingRequest) && connection.input.is_empty()
            });
        let Some((slot, _)) = idle else {
            return false;
        };
        self.close(slot);
        true
    }

    /// Whether so many connections are open that each one is closed after its response.
    pub(super) fn is_near_connection_limit(&self) -> bool {
        let (numerator, denominator) = NEAR_LIMIT_FRACTION;
        self.served_connections * denominator > self.limits.max_served_connections * numerator
    }

    /// Adds a connection to the table and returns its slot.
    pub(super) fn insert(
        &mut self,
        stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: Micros,
    ) -> Option<usize> {
        self.connections
            .insert(&self.poller, stream, role, connecting, deadline)
    }

    /// Closes a connection. If a call was in progress on it, reports the call's error.
    pub(super) fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.remove(&self.poller, slot) else {
            return;
        };
        match connection.role {
            Role::AwaitingRequest | Role::AwaitingResponse { .. } | Role::Closing => {
                self.served_connections -= 1;
            }
            Role::InboundPeer => {}
            Role::OutboundPeer { peer } => self.on_peer_closed(peer),
            Role::Calling {
                destination,
                id,
                sent,
            } => {
                self.destinations.on_closed(destination, slot);
                let error = if sent {
                    CallError::NoResponse
                } else {
                    CallError::NotSent
                };
                self.emit(NetEvent::Response(id, Err(error)));
            }
            Role::Idle { destination } => self.destinations.on_closed(destination, slot),
        }
    }

    /// Closes the connections and ends the queued calls whose deadlines have passed.
    pub(super) fn expire_deadlines(&mut self) {
        while let Some(slot) = self.connections.pop_expired(self.now) {
            self.close(slot);
        }
        while let Some(id) = self.destinations.pop_expired(self.now) {
            self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
        }
    }

    /// Queues an event for [`Reactor::wait`].
    pub(super) fn emit(&mut self, event: NetEvent) {
        self.pending_events.push_back(event);
    }
}
