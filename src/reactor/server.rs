//! Requests of users and workers, and their responses.

use super::connection::Role;
use super::net::{ConnectionId, NetEvent};
use super::Reactor;
use salttiller_protocol::http::{self, HttpError, Request, Response};
use salttiller_records::units::{Micros, SECOND};

/// Time from the first byte of a request within which the complete request must arrive.
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
/// Time after which the connection of a request without a response is closed.
const RESPONSE_TIMEOUT: Micros = 30 * SECOND;
/// Time after which an idle connection is closed.
pub(super) const IDLE_TIMEOUT: Micros = 90 * SECOND;
/// Timeout of writing the response to a malformed request.
const REFUSAL_TIMEOUT: Micros = SECOND;
/// Maximum capacity of an input buffer; after a request, a larger buffer is shrunk to
/// [`SHRUNK_INPUT_BYTES`].
const MAX_KEPT_INPUT_BYTES: usize = 32 * 1024;
/// Capacity to which an input buffer is shrunk.
const SHRUNK_INPUT_BYTES: usize = 4096;

impl Reactor {
    /// Processes a request if it is complete.
    pub(super) fn process_request(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if connection.input.is_empty() {
            return;
        }
        match http::parse_request(&connection.input) {
            Ok(None) => {
                // The deadline counts from the first byte, so that a slow sender can't extend it
                // with each byte.
                let deadline = self.now + REQUEST_TIMEOUT;
                if connection.deadline > deadline {
                    self.connections.set_deadline(slot, deadline);
                }
            }
            Ok(Some((request, length))) => self.on_request(slot, request, length),
            Err(error) => self.refuse_request(slot, error),
        }
    }

    /// Reports a request, which occupies `length` bytes of the input.
    fn on_request(&mut self, slot: usize, request: Request, length: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        connection.input.drain(..length);
        if connection.input.capacity() > MAX_KEPT_INPUT_BYTES {
            connection.input.shrink_to(SHRUNK_INPUT_BYTES);
        }
        // Pipelined requests are not supported; the connection is closed after the response.
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

    /// Responds to a malformed request with an error, and closes the connection.
    fn refuse_request(&mut self, slot: usize, error: HttpError) {
        log::debug!("request rejected: {error}");
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let mut response = Response::new(error.status(), Vec::new());
        response.close = true;
        connection.role = Role::Closing;
        http::write_response(connection.output.append_target(), &response);
        let deadline = self.now + REFUSAL_TIMEOUT;
        self.connections.set_deadline(slot, deadline);
        self.flush(slot);
    }

    /// Responds to a request. Does nothing if the connection has been closed.
    pub(super) fn send_response(&mut self, id: ConnectionId, mut response: Response) {
        let near_limit = self.is_near_connection_limit();
        let Some(connection) = self.connections.by_id(id) else {
            return;
        };
        let Role::AwaitingResponse { close } = connection.role else {
            return;
        };
        response.close |= close || near_limit;
        http::write_response(connection.output.append_target(), &response);
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
