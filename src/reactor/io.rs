//! Reading and writing what is ready, and handing what was read to whom it concerns.

use polling::{Event, PollMode};

use super::connection::{ReadOutcome, Role};
use super::{peers, Reactor, FIRST_CONNECTION_KEY};

impl Reactor {
    /// Reads and writes a connection that the poller reports.
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

    /// Takes the end of connecting; false if it failed, and the connection is closed.
    fn on_connected(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        if !matches!(connection.stream.take_error(), Ok(None)) {
            self.close(slot);
            return false;
        }
        connection.connecting = false;
        if let Role::PeerOut { .. } = connection.role {
            let deadline = self.now + peers::SILENCE_TIMEOUT;
            self.connections.set_deadline(slot, deadline);
        }
        true
    }

    /// Writes what waits to be written; false if the connection is gone.
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
        self.watch_writable(slot)
    }

    /// Has the poller report when a connection is writable if something waits to be written;
    /// false if the connection is gone.
    fn watch_writable(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        let wanted = !connection.output.is_empty();
        if wanted == connection.watches_writable {
            return true;
        }
        connection.watches_writable = wanted;
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
                // Responses that were on their way are processed; whoever closes its sending
                // side needs no more of us.
                self.close(slot);
            }
            ReadOutcome::Broken => self.close(slot),
        }
    }

    /// Processes the bytes that were read, as far as they are complete messages.
    pub(super) fn process_input(&mut self, slot: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else {
                return;
            };
            match connection.role {
                Role::AwaitingRequest => return self.take_request(slot),
                Role::AwaitingResponse { ref mut close } => {
                    // Pipelined requests are not served.
                    if !connection.input.is_empty() {
                        *close = true;
                        connection.input.clear();
                    }
                    return;
                }
                Role::Closing | Role::PeerOut { .. } => return connection.input.clear(),
                Role::PeerIn => {
                    if !self.take_frame(slot) {
                        return;
                    }
                }
                Role::Idle { .. } => {
                    // Nothing was asked for.
                    if !connection.input.is_empty() {
                        self.close(slot);
                    }
                    return;
                }
                Role::Calling {
                    destination, id, ..
                } => return self.take_response(slot, destination, id),
            }
        }
    }
}
