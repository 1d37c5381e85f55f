//! Calls to external services. Each destination has a queue of calls and a limited number of
//! connections, which are reused for later calls.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use super::connection::Role;
use super::net::{Call, CallError, CallId, NetEvent};
use super::{socket, Reactor};
use salttiller_protocol::http::{self, HttpError, Response};
use salttiller_records::units::{Micros, SECOND};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Micros = 30 * SECOND;
/// Maximum number of calls that wait for a connection to a destination.
const MAX_QUEUED_CALLS: usize = 256;
/// Approximate size of a request without its body, in bytes.
const REQUEST_HEAD_BYTES: usize = 256;

/// A call that waits for a connection.
#[derive(Debug)]
struct PendingCall {
    id: CallId,
    call: Call,
    deadline: Micros,
}

/// An external service.
struct Destination {
    addr: SocketAddr,
    /// Value of the `Host` header: the address as text.
    host: String,
    /// Slots of the connections that are free for the next call.
    idle: Vec<usize>,
    /// Number of open connections, including idle ones.
    open: usize,
    max_open: usize,
    queue: VecDeque<PendingCall>,
}

impl Destination {
    /// Whether a call can be sent now, on an idle connection or a new one.
    fn has_capacity(&self) -> bool {
        !self.idle.is_empty() || self.open < self.max_open
    }
}

/// Deadline of a call that waits for a connection; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallDeadline {
    at: Micros,
    destination: usize,
    id: CallId,
}

/// All destinations, by the index in [`Call::destination`].
///
/// Invariant: `deadlines` contains the deadlines of exactly the queued calls.
pub(super) struct Destinations {
    destinations: Vec<Destination>,
    deadlines: BTreeSet<CallDeadline>,
}

impl Destinations {
    /// Creates destinations from their addresses and maximum numbers of connections.
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

    /// Returns the earliest deadline of a queued call.
    pub(super) fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Queues a call. Returns false if the queue is full or the destination doesn't exist.
    fn push(&mut self, pending: PendingCall) -> bool {
        let destination = pending.call.destination;
        let Some(entry) = self.destinations.get_mut(destination) else {
            return false;
        };
        if entry.queue.len() >= MAX_QUEUED_CALLS {
            return false;
        }
        self.deadlines.insert(CallDeadline {
            at: pending.deadline,
            destination,
            id: pending.id,
        });
        entry.queue.push_back(pending);
        true
    }

    /// Removes and returns the next call of a destination if it can be sent now.
    fn pop_ready(&mut self, destination: usize) -> Option<PendingCall> {
        let entry = self.destinations.get_mut(destination)?;
        if !entry.has_capacity() {
            return None;
        }
        let pending = entry.queue.pop_front()?;
        self.deadlines.remove(&CallDeadline {
            at: pending.deadline,
            destination,
            id: pending.id,
        });
        Some(pending)
    }

    /// Removes a queued call whose deadline has passed, and returns its id.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<CallId> {
        let first = *self.deadlines.first().filter(|first| first.at <= now)?;
        self.deadlines.remove(&first);
        if let Some(destination) = self.destinations.get_mut(first.destination) {
            destination.queue.retain(|pending| pending.id != first.id);
        }
        Some(first.id)
    }

    /// Removes all idle connections of a destination from the list of idle ones, and returns
    /// their slots.
    pub(super) fn take_idle(&mut self, destination: usize) -> Vec<usize> {
        self.destinations
            .get_mut(destination)
            .map(|entry| std::mem::take(&mut entry.idle))
            .unwrap_or_default()
    }

    /// Records that a connection to a destination was closed.
    pub(super) fn on_closed(&mut self, destination: usize, slot: usize) {
        if let Some(entry) = self.destinations.get_mut(destination) {
            entry.open -= 1;
            entry.idle.retain(|idle| *idle != slot);
        }
    }
}

impl Reactor {
    /// Queues a call, and sends it if a connection is available.
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
            self.send_queued_calls(destination);
        } else {
            self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
        }
        id
    }

    /// Sends the queued calls of a destination for which connections are available.
    fn send_queued_calls(&mut self, destination: usize) {
        while let Some(pending) = self.destinations.pop_ready(destination) {
            let id = pending.id;
            if !self.send_call(destination, &pending) {
                self.emit(NetEvent::Response(id, Err(CallError::NotSent)));
            }
        }
    }

    /// Sends a call on an idle connection or a new one. Returns false if no connection is
    /// available.
    fn send_call(&mut self, destination: usize, pending: &PendingCall) -> bool {
        let Some(entry) = self.destinations.destinations.get_mut(destination) else {
            return false;
        };
        let request = encode_request(&entry.host, &pending.call);
        let idle = entry.idle.pop();
        let addr = entry.addr;
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
        if let Some(entry) = self.destinations.destinations.get_mut(destination) {
            entry.open += 1;
        }
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.output.replace(request);
        }
        true
    }

    /// Processes the response to a call if it is complete.
    pub(super) fn process_response(&mut self, slot: usize, destination: usize, id: CallId) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        match http::parse_response(&connection.input) {
            Ok(None) => {}
            Ok(Some((response, length))) => {
                let reusable = !response.close && length == connection.input.len();
                connection.input = Vec::new();
                connection.role = Role::Idle { destination };
                self.on_call_completed(slot, destination, id, response, reusable);
            }
            Err(error) => self.on_malformed_response(slot, destination, id, error),
        }
    }

    /// Reports a response, and frees the connection for the next call or closes it if it isn't
    /// reusable.
    fn on_call_completed(
        &mut self,
        slot: usize,
        destination: usize,
        id: CallId,
        response: Response,
        reusable: bool,
    ) {
        self.emit(NetEvent::Response(id, Ok(response)));
        if reusable {
            if let Some(entry) = self.destinations.destinations.get_mut(destination) {
                entry.idle.push(slot);
            }
            let deadline = self.now + IDLE_TIMEOUT;
            self.connections.set_deadline(slot, deadline);
        } else {
            self.close(slot);
        }
        self.send_queued_calls(destination);
    }

    fn on_malformed_response(
        &mut self,
        slot: usize,
        destination: usize,
        id: CallId,
        error: HttpError,
    ) {
        if let Some(entry) = self.destinations.destinations.get(destination) {
            log::info!("response from {} rejected: {error}", entry.host);
        }
        if error == HttpError::BodyTooLong {
            self.emit(NetEvent::Response(id, Err(CallError::TooLarge)));
            // Closing the connection must not report a second result of the call.
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
