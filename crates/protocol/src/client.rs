//! A blocking HTTP client for operators' tools: one request at a time on one connection, each
//! with a deadline of its own.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::http::{parse_response_within, write_request, HttpError, Response};

/// The largest answer that a tool takes. A watch's answer has no limit of its own; the
/// state service keeps 10,000 changes of a few KiB.
pub const MAX_TOOL_RESPONSE: usize = 64 * 1024 * 1024;

const READ_CHUNK: usize = 256 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection.
    #[error("{address}: can't connect: {cause}")]
    Connect {
        /// Whom we called.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The connection broke.
    #[error("{address}: connection lost: {cause}")]
    Connection {
        /// Whom we called.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// No whole answer within the deadline.
    #[error("{address}: no answer in time")]
    Timeout {
        /// Whom we called.
        address: SocketAddr,
    },
    /// The answer is not HTTP as we read it.
    #[error("{address}: {cause}")]
    Malformed {
        /// Whom we called.
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

    /// Sends a request and waits for its whole answer, `time` at most.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        time: Duration,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + time;
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
        // A connection on which something went wrong is dropped with its late answer.
        if !response.close {
            self.stream = Some(stream);
        }
        Ok(response)
    }

    fn connect(&self, deadline: Instant) -> Result<TcpStream, ClientError> {
        let time = remaining(deadline).min(CONNECT_TIMEOUT);
        let stream = TcpStream::connect_timeout(&self.address, time).map_err(|cause| {
            ClientError::Connect {
                address: self.address,
                cause,
            }
        })?;
        stream.set_nodelay(true).map_err(|cause| self.lost(cause))?;
        Ok(stream)
    }

    fn set_timeouts(&self, stream: &TcpStream, deadline: Instant) -> Result<(), ClientError> {
        let time = Some(remaining(deadline));
        stream
            .set_read_timeout(time)
            .and_then(|()| stream.set_write_timeout(time))
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
                Ok(n) => received.extend_from_slice(&chunk[..n]),
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Err(self.lost(cause)),
            }
        }
    }

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
