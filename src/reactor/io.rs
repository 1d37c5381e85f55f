//! Reads and writes connections that are ready, and dispatches their input by role.

use polling::{Event, PollMode};

use super::connection::{ReadOutcome, Role};
use super::{peers, Reactor, FIRST_CONNECTION_KEY};

impl Reactor {
    /// Handles a readiness event of the poller: reads and writes the connection.
    pub(super) fn on_ready(&mut self, slot: usize, readable: bool, writable: bool) {
        let Some(connection) = self.connections.get(slot) else {
            return;
        };
        if connection.connecting && (writable || readable) && !self.on_connected(slot) {
            return;
        }
        if writable && !self.flush(slot) {
            return;
        }
        if readable {
            self.read(slot);
        }
    }

    /// Handles the end of connecting. If it failed, closes the connection and returns false.
    fn on_connected(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        if !matches!(connection.stream.take_error(), Ok(None)) {
            self.close(slot);
            return false;
        }
        connection.connecting = false;
        if let Role::OutboundPeer { .. } = connection.role {
            let deadline = self.now + peers::SILENCE_TIMEOUT;
            self.connections.set_deadline(slot, deadline);
        }
        true
    }

    /// Writes the buffered output. Returns false if the connection no longer exists.
    pub(super) fn flush(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        if connection.connecting {
            return true;
        }
        if !connection.write() {
            self.close(slot);
            return false;
        }
        if connection.output.unwritten().is_empty() {
            connection.output.clear();
            if let Role::Closing = connection.role {
                self.close(slot);
                return false;
            }
        }
        self.update_writable_interest(slot)
    }

    /// Makes the poller report when a connection is writable exactly if it has buffered output.
    /// Returns false if the connection no longer exists.
    fn update_writable_interest(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        let wanted = !connection.output.is_empty();
        if wanted == connection.writable_interest {
            return true;
        }
        connection.writable_interest = wanted;
        let interest = Event::new(slot + FIRST_CONNECTION_KEY, true, wanted);
        let changed = self
            .poller
            .modify_with_mode(&connection.stream, interest, PollMode::Level);
        if changed.is_err() {
            self.close(slot);
        }
        changed.is_ok()
    }

    fn read(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        match connection.read() {
            ReadOutcome::Open => self.process_input(slot),
            ReadOutcome::EndOfStream => {
                self.process_input(slot);
                // Responses that arrived before the end of the stream have been processed. A
                // peer that closes its sending half expects no more output.
                self.close(slot);
            }
            ReadOutcome::Broken => self.close(slot),
        }
    }

    /// Processes the complete messages in the bytes that were read.
    pub(super) fn process_input(&mut self, slot: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else {
                return;
            };
            match connection.role {
                Role::AwaitingRequest => return self.process_request(slot),
                Role::AwaitingResponse { ref mut close } => {
                    // Pipelined requests are not supported; the connection is closed after the
                    // response.
                    if !connection.input.is_empty() {
                        *close = true;
                        connection.input.clear();
                    }
                    return;
                }
                Role::Closing | Role::OutboundPeer { .. } => return connection.input.clear(),
                Role::InboundPeer => {
                    if !self.process_frame(slot) {
                        return;
                    }
                }
                Role::Idle { .. } => {
                    // No call is in flight, so any input violates the protocol.
                    if !connection.input.is_empty() {
                        self.close(slot);
                    }
                    return;
                }
                Role::Calling {
                    destination, id, ..
                } => return self.process_response(slot, destination, id),
            }
        }
    }
}
