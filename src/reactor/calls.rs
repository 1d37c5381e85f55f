//! Calls to outside services: queued by destination, on a bounded number of connections that
//! are kept for the next call.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use super::connection::Role;
use super::net::{Call, CallError, CallId, NetEvent};
use super::{socket, Reactor};
use salttiller_protocol::http::{self, HttpError, Response};
use salttiller_records::units::{Micros, SECOND};

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Micros = 30 * SECOND;
/// Most calls that wait for a connection to a destination.
const MAX_QUEUED: usize = 256;
/// Bytes of a request besides its body, about.
const REQUEST_HEAD_BYTES: usize = 256;

/// A call that waits for a connection.
#[derive(Debug)]
struct PendingCall {
    id: CallId,
    call: Call,
    deadline: Micros,
}

/// An outside service.
struct Destination {
    addr: SocketAddr,
    /// Its address as the requests' `Host`.
    host: String,
    /// Slots of connections that are free for the next call.
    idle: Vec<usize>,
    /// Connections that are open, idle ones among them.
    open: usize,
    max_open: usize,
    queue: VecDeque<PendingCall>,
}

impl Destination {
    /// Whether a call could be made now: on an idle connection or a new one.
    fn has_capacity(&self) -> bool {
        !self.idle.is_empty() || self.open < self.max_open
    }
}

/// The deadline of a call that waits for a connection; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallDeadline {
    at: Micros,
    destination: usize,
    id: CallId,
}

/// All destinations, by the index that calls name.
///
/// Invariant: `deadlines` holds the deadline of each queued call and no other.
pub(super) struct Destinations {
    destinations: Vec<Destination>,
    deadlines: BTreeSet<CallDeadline>,
}

impl Destinations {
    /// Destinations by address, with the most connections to hold to each.
    pub(super) fn new(destinations: &[(SocketAddr, usize)]) -> Self {
        Destinations {
            destinations: destinations
                .iter()
                .map(|(addr, max_open)| Destination {
                    addr: *addr,
                    host: addr.to_string(),
                    idle: Vec::new(),
                    open: 0,
                    max_open: *max_open,
                    queue: VecDeque::new(),
                })
                .collect(),
            deadlines: BTreeSet::new(),
        }
    }

    /// The first deadline of a queued call.
    pub(super) fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Queues a call; false if the queue is full, or there is no such destination.
    fn push(&mut self, pending: PendingCall) -> bool {
        let destination = pending.call.destination;
        let Some(known) = self.destinations.get_mut(destination) else {
            return false;
        };
        if known.queue.len() >= MAX_QUEUED {
            return false;
        }
        self.deadlines.insert(CallDeadline {
            at: pending.deadline,
            destination,
            id: pending.id,
        });
        known.queue.push_back(pending);
        true
    }

    /// The next call of a destination that could be made now.
    fn pop_ready(&mut self, destination: usize) -> Option<PendingCall> {
        let known = self.destinations.get_mut(destination)?;
        if !known.has_capacity() {
            return None;
        }
        let pending = known.queue.pop_front()?;
        self.deadlines.remove(&CallDeadline {
            at: pending.deadline,
            destination,
            id: pending.id,
        });
        Some(pending)
    }

    /// Drops a queued call whose deadline has come.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<CallId> {
        let first = *self.deadlines.first().filter(|first| first.at <= now)?;
        self.deadlines.remove(&first);
        if let Some(destination) = self.destinations.get_mut(first.destination) {
            destination.queue.retain(|pending| pending.id != first.id);
        }
        Some(first.id)
    }

    /// Takes all idle connections of a destination.
    pub(super) fn take_idle(&mut self, destination: usize) -> Vec<usize> {
        self.destinations
            .get_mut(destination)
            .map(|known| std::mem::take(&mut known.idle))
            .unwrap_or_default()
    }

    /// Takes note that a connection to a destination was closed.
    pub(super) fn on_closed(&mut self, destination: usize, slot: usize) {
        if let Some(known) = self.destinations.get_mut(destination) {
            known.open -= 1;
            known.idle.retain(|idle| *idle != slot);
        }
    }
}

impl Reactor {
    /// Queues a call and makes it if it can be made now.
    pub(super) fn queue_call(&mut self, call: Call) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        let destination = call.destination;
        let pending = PendingCall {
            id,
            deadline: self.now + call.timeout,
            call,
        };
        if self.destinations.push(pending) {
            self.make_calls(destination);
        } else {
            self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
        }
        id
    }

    /// Makes the queued calls of a destination, as far as connections allow.
    fn make_calls(&mut self, destination: usize) {
        while let Some(pending) = self.destinations.pop_ready(destination) {
            let id = pending.id;
            if !self.make_call(destination, &pending) {
                self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
            }
        }
    }

    /// Makes a call on an idle connection or a new one; false if neither can be had.
    fn make_call(&mut self, destination: usize, pending: &PendingCall) -> bool {
        let Some(known) = self.destinations.destinations.get_mut(destination) else {
            return false;
        };
        let request = encode_request(&known.host, &pending.call);
        let idle = known.idle.pop();
        let addr = known.addr;
        let role = Role::Calling {
            destination,
            id: pending.id,
            sent: false,
        };
        if let Some((slot, connection)) =
            idle.and_then(|slot| Some((slot, self.connections.get_mut(slot)?)))
        {
            connection.role = role;
            connection.output.replace(request);
            self.connections.set_deadline(slot, pending.deadline);
            self.flush(slot);
            return true;
        }
        let Ok(stream) = socket::connect(addr) else {
            return false;
        };
        let Some(slot) = self.insert(stream, role, true, pending.deadline) else {
            return false;
        };
        if let Some(known) = self.destinations.destinations.get_mut(destination) {
            known.open += 1;
        }
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.output.replace(request);
        }
        true
    }

    /// Takes the response to a call once it is complete.
    pub(super) fn take_response(&mut self, slot: usize, destination: usize, id: CallId) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        match http::parse_response(&connection.input) {
            Ok(None) => {}
            Ok(Some((response, length))) => {
                let reusable = !response.close && length == connection.input.len();
                connection.input = Vec::new();
                connection.role = Role::Idle { destination };
                self.on_call_answered(slot, destination, id, response, reusable);
            }
            Err(error) => self.on_malformed_response(slot, destination, id, error),
        }
    }

    /// Hands out a response and makes the connection, if it is reusable, free for the next
    /// call.
    fn on_call_answered(
        &mut self,
        slot: usize,
        destination: usize,
        id: CallId,
        response: Response,
        reusable: bool,
    ) {
        self.emit(NetEvent::Response(id, Ok(response)));
        if reusable {
            if let Some(known) = self.destinations.destinations.get_mut(destination) {
                known.idle.push(slot);
            }
            let deadline = self.now + IDLE_TIMEOUT;
            self.connections.set_deadline(slot, deadline);
        } else {
            self.close(slot);
        }
        self.make_calls(destination);
    }

    fn on_malformed_response(
        &mut self,
        slot: usize,
        destination: usize,
        id: CallId,
        error: HttpError,
    ) {
        if let Some(known) = self.destinations.destinations.get(destination) {
            log::info!("response from {} rejected: {error}", known.host);
        }
        if error == HttpError::BodyTooLong {
            self.emit(NetEvent::Response(id, Err(CallError::TooLarge)));
            // The call has its result: closing the connection gives it no other.
            if let Some(connection) = self.connections.get_mut(slot) {
                connection.role = Role::Idle { destination };
            }
        }
        self.close(slot);
    }
}

fn encode_request(host: &str, call: &Call) -> Vec<u8> {
    let mut request = Vec::with_capacity(REQUEST_HEAD_BYTES + call.body.len());
    http::write_request(&mut request, call.method, host, &call.target, &call.body);
    request
}
