//! Opening sockets without blocking, and watching them.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 256;
/// The system's code for a connection that is being made; `ErrorKind` has no stable name for
/// it.
const EINPROGRESS: i32 = 115;

/// Opens a listener.
pub(super) fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Begins to connect. Whether it succeeds shows once the socket is ready.
pub(super) fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    // It only costs latency if this fails.
    let _ = socket.set_tcp_nodelay(true);
    Ok(socket.into())
}

/// Adds a socket to the poller, which reports by level when it is readable and, if `write`,
/// writable.
#[allow(unsafe_code)]
pub(super) fn watch(
    poller: &Poller,
    socket: &impl AsRawFd,
    key: usize,
    write: bool,
) -> std::io::Result<()> {
    let interest = Event::new(key, true, write);
    // SAFETY: a socket must be deleted from the poller before it is dropped. Connections are
    // deleted in `ConnectionTable::remove`, the only place from which one is dropped once it
    // is watched, and the listeners live as long as the poller does.
    unsafe { poller.add_with_mode(socket, interest, PollMode::Level) }
}
