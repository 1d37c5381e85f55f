//! A small HTTP server: a thread for each connection, one request at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use salttiller_protocol::http::{parse_request, write_response, Request, Response};

/// What a server does with a request; `None` closes the connection without an answer.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request; may take its time.
    fn answer(&self, request: &Request) -> Option<Response>;
}

/// A server that runs until it is dropped.
pub struct Server {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Serves on a free port of the loopback address.
    pub fn start(handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = stopped.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if flag.load(Ordering::Relaxed) {
                    return;
                }
                let handler = handler.clone();
                let flag = flag.clone();
                thread::spawn(move || serve(stream, &*handler, &flag));
            }
        });
        Ok(Server { address, stopped })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the listener so that it sees the flag.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(mut stream: TcpStream, handler: &dyn Handler, stopped: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    let mut chunk = [0; 16 * 1024];
    while !stopped.load(Ordering::Relaxed) {
        match parse_request(&received) {
            Ok(Some((request, used))) => {
                received.drain(..used);
                let Some(response) = handler.answer(&request) else {
                    return;
                };
                let mut out = Vec::new();
                write_response(&mut out, &response);
                if stream.write_all(&out).is_err() {
                    return;
                }
            }
            Ok(None) => match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(n) => received.extend_from_slice(&chunk[..n]),
            },
            Err(_) => return,
        }
    }
}
