//! HTTP/1.1 with one request at a time on a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            retry_after: None,
            body,
        }
    }
}

/// Answers requests; `None` closes the connection without a response.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|w| w == b"\r\n\r\n")
}

/// A message: its start line, its body, the value of Retry-After and whether it closes.
struct Message {
    start: String,
    body: Vec<u8>,
    retry_after: Option<u64>,
    close: bool,
}

fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<Message> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = find_end(buffer) {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut length = 0;
            let mut retry_after = None;
            let mut close = false;
            for line in head.split("\r\n").skip(1) {
                let (name, value) = line.split_once(':')?;
                let value = value.trim();
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.parse().ok()?,
                    "retry-after" => retry_after = value.parse().ok(),
                    "connection" => close = value.eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                let start = head.split("\r\n").next()?.to_owned();
                return Some(Message {
                    start,
                    body,
                    retry_after,
                    close,
                });
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend(&chunk[..count]),
        }
    }
}

/// Serves requests on a free port of the loopback address until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = Vec::new();
    loop {
        let message = read_message(&mut stream, &mut buffer, None)?;
        let mut words = message.start.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            body: message.body,
        };
        let response = handler(&request)?;
        let mut bytes = format!(
            "HTTP/1.1 {} x\r\nContent-Length: {}\r\n",
            response.status,
            response.body.len()
        );
        if let Some(seconds) = response.retry_after {
            bytes.push_str(&format!("Retry-After: {seconds}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend(&response.body);
        stream.write_all(&bytes).ok()?;
    }
}

/// A client that keeps its connection open.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Sends a request and returns the response, or `None` if none arrives in time.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let until = Instant::now() + timeout;
        if self.connection.as_ref().is_none_or(|(a, _)| *a != addr) {
            let connect_timeout = timeout.min(Duration::from_millis(500));
            let stream = TcpStream::connect_timeout(&addr, connect_timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            self.connection = Some((addr, stream));
        }
        let (_, stream) = self.connection.as_mut()?;
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        let result = stream
            .write_all(&bytes)
            .ok()
            .and_then(|()| read_message(stream, &mut Vec::new(), Some(until)));
        let Some(message) = result else {
            self.close();
            return None;
        };
        if message.close {
            self.close();
        }
        let status = message.start.split(' ').nth(1)?.parse().ok()?;
        Some(Response {
            status,
            retry_after: message.retry_after,
            body: message.body,
        })
    }
}
