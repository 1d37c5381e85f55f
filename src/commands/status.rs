//! Asks a running controller for its status page and prints it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use salttiller::peer_protocol::{self, Message, Status};
use salttiller::status;
use thiserror::Error;

use super::{CommandError, OBJECTIVE_BREACHED};

/// Bound on connecting, and on each read and write.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Why a controller's status page could not be had.
#[derive(Debug, Error)]
pub(crate) enum StatusError {
    /// The connection failed or timed out.
    #[error("{addr}: {source}")]
    Connection {
        /// Address that was asked.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// What answered is not a controller of a version that is understood.
    #[error("{addr}: not a controller's answer")]
    NotAController {
        /// Address that was asked.
        addr: SocketAddr,
    },
}

/// Prints the status page; the exit code tells whether an objective is breached.
pub(crate) fn run(addr: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let page = fetch(addr)?;
    if json {
        println!("{}", serde_json::to_string(&page).unwrap_or_default());
    } else {
        print!("{}", status::render_text(&page));
    }
    let breached = page.objectives.iter().any(|objective| objective.breached);
    Ok(if breached {
        ExitCode::from(OBJECTIVE_BREACHED)
    } else {
        ExitCode::SUCCESS
    })
}

fn fetch(addr: SocketAddr) -> Result<Status, StatusError> {
    let answer = exchange(addr).map_err(|source| StatusError::Connection { addr, source })?;
    match answer.as_deref().and_then(peer_protocol::decode) {
        Some(Message::StatusResponse(page)) => Ok(page),
        _ => Err(StatusError::NotAController { addr }),
    }
}

/// One question and one answer, each after its length; `None` if the answer is too long to be
/// a status page.
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
    if length > MAX_ANSWER {
        return Ok(None);
    }
    let mut answer = vec![0u8; length];
    stream.read_exact(&mut answer)?;
    Ok(Some(answer))
}
