//! Requests of users and workers, and their responses.

use super::connection::Role;
use super::net::{ConnectionId, NetEvent};
use super::Reactor;
use salttiller_protocol::http::{self, HttpError, Request, Response};
use salttiller_records::units::{Micros, SECOND};

/// A request must arrive whole within this time of its first byte.
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
/// How long a request may take to be answered before its connection is closed.
const RESPONSE_TIMEOUT: Micros = 30 * SECOND;
/// Idle connections are closed after this time.
pub(super) const IDLE_TIMEOUT: Micros = 90 * SECOND;
/// How long the refusal of a malformed request may take to be written.
const REFUSAL_TIMEOUT: Micros = SECOND;
/// An input buffer that has grown beyond this ...
const MAX_KEPT_INPUT: usize = 32 * 1024;
/// ... shrinks to this.
const SHRUNK_INPUT: usize = 4096;

impl Reactor {
    /// Takes a request once it is complete.
    pub(super) fn take_request(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if connection.input.is_empty() {
            return;
        }
        match http::parse_request(&connection.input) {
            Ok(None) => {
                // The deadline counts from the first byte, so a slow sender can't stretch
                // it byte by byte.
                let deadline = self.now + REQUEST_TIMEOUT;
                if connection.deadline > deadline {
                    self.connections.set_deadline(slot, deadline);
                }
            }
            Ok(Some((request, length))) => self.on_request(slot, request, length),
            Err(error) => self.refuse_request(slot, error),
        }
    }

    /// Hands a request of so many bytes to the controller.
    fn on_request(&mut self, slot: usize, request: Request, length: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        connection.input.drain(..length);
        if connection.input.capacity() > MAX_KEPT_INPUT {
            connection.input.shrink_to(SHRUNK_INPUT);
        }
        // Pipelined requests are not served.
        let close = request.close || !connection.input.is_empty();
        connection.role = Role::AwaitingResponse { close };
        let id = ConnectionId {
            slot,
            generation: connection.generation,
        };
        let deadline = self.now + RESPONSE_TIMEOUT;
        self.connections.set_deadline(slot, deadline);
        self.emit(NetEvent::Request(id, request));
    }

    /// Answers a malformed request, and closes its connection.
    fn refuse_request(&mut self, slot: usize, error: HttpError) {
        log::debug!("request rejected: {error}");
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let mut response = Response::new(error.status(), Vec::new());
        response.close = true;
        connection.role = Role::Closing;
        http::write_response(connection.output.sink(), &response);
        let deadline = self.now + REFUSAL_TIMEOUT;
        self.connections.set_deadline(slot, deadline);
        self.flush(slot);
    }

    /// Answers a request, unless its connection has gone.
    pub(super) fn send_response(&mut self, id: ConnectionId, mut response: Response) {
        let crowded = self.is_crowded();
        let Some(connection) = self.connections.by_id(id) else {
            return;
        };
        let Role::AwaitingResponse { close } = connection.role else {
            return;
        };
        response.close |= close || crowded;
        http::write_response(connection.output.sink(), &response);
        connection.role = if response.close {
            Role::Closing
        } else {
            Role::AwaitingRequest
        };
        let deadline = self.now + IDLE_TIMEOUT;
        self.connections.set_deadline(id.slot, deadline);
        if self.flush(id.slot) {
            self.process_input(id.slot);
        }
    }
}
