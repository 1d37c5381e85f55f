//! Opens non-blocking sockets and registers them with the poller.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 256;
/// Linux error code of a non-blocking connect in progress, for which `ErrorKind` has no stable
/// variant.
const EINPROGRESS: i32 = 115;

/// Opens a non-blocking listener.
pub(super) fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts to connect. The result is known when the socket becomes ready.
pub(super) fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    // A failure only increases latency.
    let _ = socket.set_tcp_nodelay(true);
    Ok(socket.into())
}

/// Registers a socket with the poller, level-triggered. The poller reports when the socket is
/// readable and, if `writable` is set, when it is writable.
#[allow(unsafe_code)]
pub(super) fn register(
    poller: &Poller,
    socket: &impl AsRawFd,
    key: usize,
    writable: bool,
) -> std::io::Result<()> {
    let interest = Event::new(key, true, writable);
    // SAFETY: a socket must be deleted from the poller before it is dropped. Registered
    // connections are dropped only through `ConnectionTable::remove`, which deletes them first.
    // The listeners live as long as the poller.
    unsafe { poller.add_with_mode(socket, interest, PollMode::Level) }
}
