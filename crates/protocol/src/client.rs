//! A blocking HTTP client for operators' tools. It sends one request at a time on one connection,
//! and each request has its own deadline. The controller does not use this client, because its
//! calls go through its event loop.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::http::{parse_response_within, write_request, HttpError, Response};

/// Maximum size of a response body that a tool reads, in bytes. The protocol does not limit the
/// response to a watch, which may contain all changes that the state service retains: 10,000
/// changes of a few KiB each.
pub const MAX_TOOL_RESPONSE: usize = 64 * 1024 * 1024;

/// Maximum number of bytes per read from the connection.
const READ_CHUNK: usize = 256 * 1024;
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Error of a call that returned no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be established.
    #[error("{address}: can't connect: {cause}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The connection failed or was closed during the call.
    #[error("{address}: connection lost: {cause}")]
    Connection {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The response was not complete before the deadline.
    #[error("{address}: request timed out")]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The response is not valid HTTP, or uses a feature that this parser does not support.
    #[error("{address}: {cause}")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the parser.
        cause: HttpError,
    },
}

/// A client of one server.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    /// Returns a client that connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Client {
            address,
            stream: None,
        }
    }

    /// Sends a request and waits up to `timeout` for its complete response.
    ///
    /// # Errors
    /// Returns an error if the connection fails, if the response is not complete in time, or if it
    /// is malformed.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect(deadline)?,
        };
        let mut request = Vec::new();
        write_request(
            &mut request,
            method,
            &self.address.to_string(),
            target,
            body,
        );
        self.set_timeouts(&stream, deadline)?;
        stream
            .write_all(&request)
            .map_err(|cause| self.connection_error(cause))?;
        let response = self.read_response(&mut stream, deadline)?;
        // After an error the connection is dropped, so that a late response can't be taken for the
        // response to the next request.
        if !response.close {
            self.stream = Some(stream);
        }
        Ok(response)
    }

    fn connect(&self, deadline: Instant) -> Result<TcpStream, ClientError> {
        let timeout = remaining(deadline).min(CONNECT_TIMEOUT);
        let stream = TcpStream::connect_timeout(&self.address, timeout).map_err(|cause| {
            ClientError::Connect {
                address: self.address,
                cause,
            }
        })?;
        stream
            .set_nodelay(true)
            .map_err(|cause| self.connection_error(cause))?;
        Ok(stream)
    }

    fn set_timeouts(&self, stream: &TcpStream, deadline: Instant) -> Result<(), ClientError> {
        let timeout = Some(remaining(deadline));
        stream
            .set_read_timeout(timeout)
            .and_then(|()| stream.set_write_timeout(timeout))
            .map_err(|cause| self.connection_error(cause))
    }

    fn read_response(
        &self,
        stream: &mut TcpStream,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        let mut received = Vec::new();
        let mut chunk = vec![0; READ_CHUNK];
        loop {
            let parsed = parse_response_within(&received, MAX_TOOL_RESPONSE).map_err(|cause| {
                ClientError::Malformed {
                    address: self.address,
                    cause,
                }
            })?;
            if let Some((response, _)) = parsed {
                return Ok(response);
            }
            if Instant::now() >= deadline {
                return Err(ClientError::Timeout {
                    address: self.address,
                });
            }
            self.set_timeouts(stream, deadline)?;
            match stream.read(&mut chunk) {
                Ok(0) => return Err(self.connection_error(ErrorKind::UnexpectedEof.into())),
                Ok(count) => received.extend_from_slice(chunk.get(..count).unwrap_or_default()),
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Err(self.connection_error(cause)),
            }
        }
    }

    /// Returns the error for a failed operation on the connection.
    fn connection_error(&self, cause: std::io::Error) -> ClientError {
        let address = self.address;
        match cause.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => ClientError::Timeout { address },
            _ => ClientError::Connection { address, cause },
        }
    }
}

/// Returns the time until a deadline, at least 1 ms: the operating system takes a timeout of zero
/// for no limit.
fn remaining(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1))
}
