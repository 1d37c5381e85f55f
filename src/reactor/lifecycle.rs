//! Accepting and closing connections, and what follows when one is closed.

use std::io::ErrorKind;
use std::net::TcpStream;

use super::connection::Role;
use super::net::{CallError, NetEvent};
use super::{peers, server, Reactor};
use salttiller_records::units::Micros;

/// Connections that are accepted at a time, so that a flood can't starve the rest.
const MAX_ACCEPTS: usize = 32;
/// Most connections that are looked at for an idle one.
const MAX_IDLE_CANDIDATES: usize = 64;
/// Connections are scarce when more than this share is in use: 7 of 8.
const CROWDED: (usize, usize) = (7, 8);

/// Which listener a connection comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listener {
    /// That of users and workers.
    Http,
    /// That of other controllers.
    Peer,
}

impl Reactor {
    /// Accepts connections that wait at a listener.
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
                    log::debug!("connection can't be accepted: {error}");
                    return;
                }
            }
        }
    }

    fn on_accepted(&mut self, listener: Listener, stream: TcpStream) {
        let is_http = listener == Listener::Http;
        let full = self.served >= self.limits.max_served_connections;
        if is_http && full && !self.close_idle_served() {
            log::debug!("connection refused, {} are open", self.served);
            return;
        }
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        // It only costs latency if this fails.
        let _ = stream.set_nodelay(true);
        let (role, timeout) = match listener {
            Listener::Http => (Role::AwaitingRequest, server::IDLE_TIMEOUT),
            Listener::Peer => (Role::PeerIn, peers::SILENCE_TIMEOUT),
        };
        let inserted = self.insert(stream, role, false, self.now + timeout);
        if is_http && inserted.is_some() {
            self.served += 1;
        }
    }

    /// Closes the connection of a user or worker that has been idle the longest, to make room
    /// for another. Guards against workers whose heartbeats never arrive, for as long as there
    /// are more of them than connections. Whether there was one.
    fn close_idle_served(&mut self) -> bool {
        // The order of deadlines is that of the last use; connections of other roles are
        // among them.
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

    /// Whether connections are so scarce that each is to carry one request only.
    pub(super) fn is_crowded(&self) -> bool {
        let (share, of) = CROWDED;
        self.served * of > self.limits.max_served_connections * share
    }

    /// Adds a connection; returns its slot.
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

    /// Closes a connection and reports what was in progress on it.
    pub(super) fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.remove(&self.poller, slot) else {
            return;
        };
        match connection.role {
            Role::AwaitingRequest | Role::AwaitingResponse { .. } | Role::Closing => {
                self.served -= 1;
            }
            Role::PeerIn => {}
            Role::PeerOut { peer } => self.on_peer_closed(peer),
            Role::Calling {
                destination,
                id,
                sent,
            } => {
                self.destinations.on_closed(destination, slot);
                let error = if sent {
                    CallError::NoAnswer
                } else {
                    CallError::NotSent
                };
                self.emit(NetEvent::Response(id, Err(error)));
            }
            Role::Idle { destination } => self.destinations.on_closed(destination, slot),
        }
    }

    /// Closes connections and ends queued calls whose deadline has come.
    pub(super) fn expire(&mut self) {
        while let Some(slot) = self.connections.pop_expired(self.now) {
            self.close(slot);
        }
        while let Some(id) = self.destinations.pop_expired(self.now) {
            self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
        }
    }

    /// Adds an event to those that are handed out next.
    pub(super) fn emit(&mut self, event: NetEvent) {
        self.pending_events.push_back(event);
    }
}
