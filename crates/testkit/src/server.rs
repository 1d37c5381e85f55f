//! A small HTTP server. Each connection has its own thread, which handles one request at a time.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use salttiller_protocol::http::{parse_request, write_response, Request, Response};

/// Maximum number of bytes per read from a connection.
const READ_BYTES: usize = 16 * 1024;

/// Handler of a server's requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request, or `None` to close the connection without a response. The
    /// call may block.
    fn handle(&self, request: &Request) -> Option<Response>;
}

/// A server that runs until it is dropped.
pub struct Server {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server on a free port of the loopback address.
    ///
    /// # Errors
    /// Returns an error if the server can't listen on a port.
    pub fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        thread::spawn(move || accept_connections(&listener, &handler, &stop_flag));
        Ok(Server { address, stopped })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Unblocks the listener, so that it checks the flag.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept_connections(
    listener: &TcpListener,
    handler: &Arc<dyn Handler>,
    stopped: &Arc<AtomicBool>,
) {
    for stream in listener.incoming().flatten() {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let handler = handler.clone();
        let stopped = stopped.clone();
        // Errors of a connection are ignored, because the peer detects them as well.
        thread::spawn(move || serve(stream, &*handler, &stopped));
    }
}

/// Handles the requests of a connection until either side closes it.
fn serve(mut stream: TcpStream, handler: &dyn Handler, stopped: &AtomicBool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let Some(request) = read_request(&mut stream, &mut received)? else {
            return Ok(());
        };
        let Some(response) = handler.handle(&request) else {
            return Ok(());
        };
        let mut bytes = Vec::new();
        write_response(&mut bytes, &response);
        stream.write_all(&bytes)?;
    }
    Ok(())
}

/// Reads one request. Returns `None` at the end of the connection. `received` contains the bytes
/// that were read after the end of the previous request.
fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let mut chunk = [0; READ_BYTES];
    loop {
        let parsed = parse_request(received).map_err(io::Error::other)?;
        if let Some((request, length)) = parsed {
            received.drain(..length);
            return Ok(Some(request));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            length => received.extend(chunk.iter().take(length)),
        }
    }
}
