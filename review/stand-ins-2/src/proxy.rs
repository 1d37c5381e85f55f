//! A TCP proxy on loopback that can be cut. While it holds, it stays silent: bytes are held back in
//! both directions and new connections get nothing. While it refuses, its connections are closed
//! and new ones are closed at once.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What a proxy does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Open = 0,
    Held = 1,
    Refused = 2,
}

pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
}

/// Longest time until a connection notices that it is refused.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

impl Proxy {
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let link = Arc::new(AtomicU8::new(Link::Open as u8));
        let shared = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = shared.clone();
                std::thread::spawn(move || forward(stream, target, &link));
            }
        });
        Ok(Proxy { address, link })
    }

    pub fn set(&self, link: Link) {
        self.link.store(link as u8, Ordering::SeqCst);
    }
}

/// Waits while the link is held. Returns whether it is open then.
fn is_open(link: &AtomicU8) -> bool {
    loop {
        let now = link.load(Ordering::SeqCst);
        if now != Link::Held as u8 {
            return now == Link::Open as u8;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn forward(client: TcpStream, target: SocketAddr, link: &Arc<AtomicU8>) {
    if !is_open(link) {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    }
    let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let other = link.clone();
    std::thread::spawn(move || copy(server_2, client_2, &other));
    copy(client, server, link);
}

fn copy(mut from: TcpStream, mut to: TcpStream, link: &AtomicU8) {
    let mut chunk = [0; 16 * 1024];
    while is_open(link) {
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        if !is_open(link) || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}
