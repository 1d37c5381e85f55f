//! The `status` command, which prints the status page of a running controller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use salttiller::peer_protocol::{self, Message, Status};
use salttiller::status;
use thiserror::Error;

use super::{CommandError, EXIT_OBJECTIVE_BREACHED};

/// Timeout of connecting, and of each read and write.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reason for which the status page of a controller could not be fetched.
#[derive(Debug, Error)]
pub(crate) enum StatusError {
    /// The connection failed or timed out.
    #[error("{addr}: {source}")]
    Connection {
        /// Address of the controller.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The response is not a status page of a known protocol version.
    #[error("{addr}: the response is not a controller's status page")]
    InvalidResponse {
        /// Address of the controller.
        addr: SocketAddr,
    },
}

/// Prints the status page. The exit code shows whether an objective is breached.
pub(crate) fn run(addr: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let page = fetch(addr)?;
    if json {
        println!("{}", serde_json::to_string(&page).unwrap_or_default());
    } else {
        print!("{}", status::render_text(&page));
    }
    let breached = page.objectives.iter().any(|objective| objective.breached);
    Ok(if breached {
        ExitCode::from(EXIT_OBJECTIVE_BREACHED)
    } else {
        ExitCode::SUCCESS
    })
}

fn fetch(addr: SocketAddr) -> Result<Status, StatusError> {
    let response = exchange(addr).map_err(|source| StatusError::Connection { addr, source })?;
    match response.as_deref().and_then(peer_protocol::decode) {
        Some(Message::StatusResponse(page)) => Ok(page),
        _ => Err(StatusError::InvalidResponse { addr }),
    }
}

/// Sends a status request and reads the response, each prefixed with its length. Returns `None`
/// if the response is too long to be a status page.
fn exchange(addr: SocketAddr) -> std::io::Result<Option<Vec<u8>>> {
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request = peer_protocol::encode(&Message::StatusRequest);
    stream.write_all(&(request.len() as u32).to_le_bytes())?;
    stream.write_all(&request)?;
    let mut length = [0u8; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_RESPONSE_BYTES {
        return Ok(None);
    }
    let mut response = vec![0u8; length];
    stream.read_exact(&mut response)?;
    Ok(Some(response))
}
