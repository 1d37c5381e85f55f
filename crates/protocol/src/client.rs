//! A blocking HTTP client for operators' tools: one request at a time on one connection, each
//! with a deadline of its own. The controller doesn't use it: its calls go through its event
//! loop.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::http::{parse_response_within, write_request, HttpError, Response};

/// The largest response that a tool reads. The response to a watch has no limit of its own; the
/// state service keeps 10,000 changes of a few KiB.
pub const MAX_TOOL_RESPONSE: usize = 64 * 1024 * 1024;

const READ_CHUNK: usize = 256 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call has no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection.
    #[error("{address}: can't connect: {cause}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the system.
        cause: std::io::Error,
    },
    /// The connection broke.
    #[error("{address}: connection lost: {cause}")]
    Connection {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the system.
        cause: std::io::Error,
    },
    /// No complete response within the deadline.
    #[error("{address}: no answer in time")]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The response is not HTTP as it is read here.
    #[error("{address}: {cause}")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// What is wrong with it.
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
    /// A client that connects when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        Client {
            address,
            stream: None,
        }
    }

    /// Sends a request and waits for its complete response, `timeout` at most.
    ///
    /// # Errors
    /// No connection, no response in time, or a malformed one.
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
            .map_err(|cause| self.lost(cause))?;
        let response = self.read_response(&mut stream, deadline)?;
        // A connection on which something went wrong is dropped with its late response.
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
        stream.set_nodelay(true).map_err(|cause| self.lost(cause))?;
        Ok(stream)
    }

    fn set_timeouts(&self, stream: &TcpStream, deadline: Instant) -> Result<(), ClientError> {
        let timeout = Some(remaining(deadline));
        stream
            .set_read_timeout(timeout)
            .and_then(|()| stream.set_write_timeout(timeout))
            .map_err(|cause| self.lost(cause))
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
                Ok(0) => return Err(self.lost(ErrorKind::UnexpectedEof.into())),
                Ok(count) => received.extend_from_slice(chunk.get(..count).unwrap_or_default()),
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Err(self.lost(cause)),
            }
        }
    }

    /// The error for a connection that broke.
    fn lost(&self, cause: std::io::Error) -> ClientError {
        let address = self.address;
        match cause.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => ClientError::Timeout { address },
            _ => ClientError::Connection { address, cause },
        }
    }
}

/// Time left until a deadline; never zero, which the system takes for no limit.
fn remaining(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1))
}
