//! A connection: its socket, its buffers, and what it is used for.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use super::buffer::WriteBuffer;
use super::net::CallId;
use salttiller_records::units::Micros;

const READ_CHUNK: usize = 16 * 1024;
/// Reads at a time, so that one connection can't starve the rest. The poller reports by
/// level: what is left is read next time.
const MAX_READS: usize = 16;

/// What a connection is used for.
pub(super) enum Role {
    /// Accepted from a user or worker: waits for (the rest of) a request.
    AwaitingRequest,
    /// Accepted from a user or worker: its request is with the controller. `close`: the
    /// connection is closed after the response.
    AwaitingResponse { close: bool },
    /// Accepted from a user or worker: the last response is being written.
    Closing,
    /// Accepted from another controller.
    PeerIn,
    /// Opened to another controller.
    PeerOut { peer: usize },
    /// Opened to a destination, carrying a call. `sent`: some of it may have arrived.
    Calling {
        destination: usize,
        id: CallId,
        sent: bool,
    },
    /// Opened to a destination, free for the next call.
    Idle { destination: usize },
}

/// How reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// There is no more for now, or enough for one time.
    Open,
    /// The other side has closed its sending side.
    EndOfStream,
    /// The connection is broken.
    Broken,
}

/// A connection.
pub(super) struct Connection {
    pub(super) generation: u32,
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Bytes that were read and are not processed.
    pub(super) input: Vec<u8>,
    pub(super) output: WriteBuffer,
    /// Whether it is still being made.
    pub(super) connecting: bool,
    /// Whether the poller reports when it is writable.
    pub(super) watches_writable: bool,
    /// When it is closed, whatever it is used for.
    pub(super) deadline: Micros,
}

impl Connection {
    /// Reads what is there, within bounds.
    pub(super) fn read(&mut self) -> ReadOutcome {
        let mut chunk = [0u8; READ_CHUNK];
        for _ in 0..MAX_READS {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadOutcome::EndOfStream,
                Ok(count) => {
                    self.input
                        .extend_from_slice(chunk.get(..count).unwrap_or_default());
                    if count < chunk.len() {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Broken,
            }
        }
        ReadOutcome::Open
    }

    /// Writes as much as the socket takes; false if the connection is broken.
    #[must_use]
    pub(super) fn write(&mut self) -> bool {
        while !self.output.unwritten().is_empty() {
            match self.stream.write(self.output.unwritten()) {
                Ok(0) => return false,
                Ok(count) => {
                    self.output.advance(count);
                    if let Role::Calling { sent, .. } = &mut self.role {
                        *sent = true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}
