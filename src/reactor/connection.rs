//! A connection: its socket, its buffers and its role.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use super::buffer::WriteBuffer;
use super::net::CallId;
use salttiller_records::units::Micros;

/// Maximum number of bytes per read from a socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of reads per readiness event, so that one connection can't starve the others.
/// The poller is level-triggered, so it reports a connection with unread bytes again.
const MAX_READS: usize = 16;

/// Role of a connection.
pub(super) enum Role {
    /// Accepted from a user or worker. The connection waits for a complete request.
    AwaitingRequest,
    /// Accepted from a user or worker. The controller is handling a request; `close` is whether
    /// the connection is closed after the response.
    AwaitingResponse { close: bool },
    /// Accepted from a user or worker. The last response is being written.
    Closing,
    /// Accepted from another controller or an operator's tool.
    InboundPeer,
    /// Opened to another controller.
    OutboundPeer { peer: usize },
    /// Opened to a destination and used by a call. `sent` is whether any byte of the request
    /// was written, so that the destination may have received it.
    Calling {
        destination: usize,
        id: CallId,
        sent: bool,
    },
    /// Opened to a destination and free for the next call.
    Idle { destination: usize },
}

/// Outcome of reading from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// The connection is open. All available bytes were read, or the limit of reads was reached.
    Open,
    /// The other side has closed its sending half.
    EndOfStream,
    /// The connection has failed.
    Broken,
}

/// A connection.
pub(super) struct Connection {
    pub(super) generation: u32,
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Bytes that were read but not processed yet.
    pub(super) input: Vec<u8>,
    pub(super) output: WriteBuffer,
    /// Whether the connection is still being established.
    pub(super) connecting: bool,
    /// Whether the poller reports when the socket is writable.
    pub(super) writable_interest: bool,
    /// Time at which the connection is closed, in any role.
    pub(super) deadline: Micros,
}

impl Connection {
    /// Reads the available bytes, up to [`MAX_READS`] chunks.
    pub(super) fn read(&mut self) -> ReadOutcome {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
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

    /// Writes as many bytes as the socket accepts. Returns false if the connection has failed.
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
