//! Tests of the event loop on the loopback interface.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::*;
use salttiller_records::units::SECOND;

/// Maximum number of connections of clients in these tests.
const MAX_SERVED: usize = 4;

fn reactor() -> (Reactor, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = Limits {
        max_served_connections: MAX_SERVED,
        max_peer_backlog_bytes: 1 << 16,
    };
    let reactor = Reactor::new(any, any, &[], &[], limits).unwrap();
    let http_addr = reactor.http_listener.local_addr().unwrap();
    (reactor, http_addr)
}

/// Responds to all requests with an empty 200 during 20 waits of up to 5 ms each.
fn serve(reactor: &mut Reactor) {
    for _ in 0..20 {
        let until = reactor.monotonic_now() + SECOND / 200;
        for event in reactor.wait(until).unwrap() {
            if let NetEvent::Request(id, _) = event {
                reactor.respond(id, Response::new(200, Vec::new()));
            }
        }
    }
}

fn send_request(stream: &mut TcpStream) {
    let request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(request).unwrap();
}

fn read_response(stream: &mut TcpStream) -> String {
    stream.set_nonblocking(true).unwrap();
    let mut buffer = [0; 512];
    let count = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Connects four times as many clients as the connection limit. Guards against clients that are
/// never served because other clients keep idle connections open: the reactor closes idle
/// connections for new ones and, near the limit, announces `Connection: close` in its responses.
#[test]
fn more_clients_than_connections_are_served_in_turn() {
    let (mut reactor, http_addr) = reactor();
    let mut clients = Vec::new();
    for n in 0..4 * MAX_SERVED {
        let mut client = TcpStream::connect(http_addr).unwrap();
        serve(&mut reactor);
        send_request(&mut client);
        serve(&mut reactor);
        let text = read_response(&mut client);
        assert!(text.starts_with("HTTP/1.1 200"), "client {n}: {text:?}");
        let closes = text.contains("Connection: close");
        assert_eq!(closes, n + 1 >= MAX_SERVED, "client {n}: {text:?}");
        assert!(reactor.served_connections <= MAX_SERVED, "client {n}");
        clients.push(client);
    }
    // New connections replace idle ones, but not one whose request is being handled.
    let mut idle: Vec<TcpStream> = (0..MAX_SERVED)
        .map(|_| TcpStream::connect(http_addr).unwrap())
        .collect();
    serve(&mut reactor);
    send_request(&mut idle[0]);
    let until = reactor.monotonic_now() + SECOND / 20;
    let events = reactor.wait(until).unwrap();
    let Some(NetEvent::Request(id, _)) = events.into_iter().next() else {
        panic!("expected a request");
    };
    let new_clients: Vec<TcpStream> = (0..2 * MAX_SERVED)
        .map(|_| TcpStream::connect(http_addr).unwrap())
        .collect();
    serve(&mut reactor);
    reactor.respond(id, Response::new(200, Vec::new()));
    serve(&mut reactor);
    assert!(read_response(&mut idle[0]).starts_with("HTTP/1.1 200"));
    drop(new_clients);
}

/// Returns a reactor with these destinations and peers, and the addresses of its listeners for
/// HTTP and for peers.
fn reactor_with(
    destinations: &[(SocketAddr, usize)],
    peers: &[SocketAddr],
) -> (Reactor, SocketAddr, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = Limits {
        max_served_connections: MAX_SERVED,
        max_peer_backlog_bytes: 1 << 16,
    };
    let reactor = Reactor::new(any, any, destinations, peers, limits).unwrap();
    let http_addr = reactor.http_listener.local_addr().unwrap();
    let peer_addr = reactor.peer_listener.local_addr().unwrap();
    (reactor, http_addr, peer_addr)
}

/// Waits for the next event. Panics if there is none for 5 s, or more than one at once.
fn next_event(reactor: &mut Reactor) -> NetEvent {
    for _ in 0..500 {
        let until = reactor.monotonic_now() + SECOND / 100;
        let mut events = reactor.wait(until).unwrap();
        assert!(events.len() <= 1, "expected one event, got {events:?}");
        if let Some(event) = events.pop() {
            return event;
        }
    }
    panic!("expected an event within 5 s");
}

/// Waits for the next event, which must be the result of `call`.
fn call_result(reactor: &mut Reactor, call: CallId) -> Result<Response, CallError> {
    match next_event(reactor) {
        NetEvent::Response(id, result) if id == call => result,
        other => panic!("expected the result of call {call}, got {other:?}"),
    }
}

fn get_call(destination: usize, target: &str, timeout: Micros) -> Call {
    Call {
        destination,
        method: "GET",
        target: target.into(),
        body: Vec::new(),
        timeout,
    }
}

/// Runs the reactor for 50 ms, in which it must report no event.
fn run_without_events(reactor: &mut Reactor) {
    let until = reactor.monotonic_now() + SECOND / 20;
    while reactor.monotonic_now() < until {
        let events = reactor.wait(until).unwrap();
        assert!(events.is_empty(), "expected no event, got {events:?}");
    }
}

/// Reads a request and returns its first line.
fn read_request_line(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut buffer = [0; 512];
    let count = stream.read(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    text.lines().next().unwrap_or("").to_owned()
}

/// Calls to a destination wait for its connection, which is reused for the next call, and every
/// call ends with one result. Guards against lost or duplicate results when a response closes the
/// connection, the destination disconnects or refuses, the timeout passes, or the queue is full.
#[test]
fn calls_share_connections_and_have_one_result() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_addr = closed.local_addr().unwrap();
    drop(closed);
    let destinations = [(server.local_addr().unwrap(), 1), (closed_addr, 1)];
    let (mut reactor, ..) = reactor_with(&destinations, &[]);
    reactor.monotonic_now();
    let first = reactor.call(get_call(0, "/first", 5 * SECOND));
    let second = reactor.call(get_call(0, "/second", 5 * SECOND));
    let third = reactor.call(get_call(0, "/third", SECOND / 2));
    run_without_events(&mut reactor);
    let (mut stream, _) = server.accept().unwrap();
    assert_eq!(read_request_line(&mut stream), "GET /first HTTP/1.1");
    let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    stream.write_all(ok).unwrap();
    let result = call_result(&mut reactor, first);
    assert_eq!(result, Ok(Response::new(200, b"hi".to_vec())));
    // The second call uses the same connection; the third call times out while it waits for
    // that connection.
    assert_eq!(read_request_line(&mut stream), "GET /second HTTP/1.1");
    assert_eq!(call_result(&mut reactor, third), Err(CallError::NotSent));
    let close = b"HTTP/1.1 204 No\r\nConnection: close\r\n\r\n";
    stream.write_all(close).unwrap();
    assert_eq!(call_result(&mut reactor, second).map(|r| r.status), Ok(204));
    let fourth = reactor.call(get_call(0, "/fourth", 5 * SECOND));
    run_without_events(&mut reactor);
    let (mut stream, _) = server.accept().unwrap();
    assert_eq!(read_request_line(&mut stream), "GET /fourth HTTP/1.1");
    drop(stream);
    assert_eq!(
        call_result(&mut reactor, fourth),
        Err(CallError::NoResponse)
    );
    let unreachable = reactor.call(get_call(1, "/", 5 * SECOND));
    let result = call_result(&mut reactor, unreachable);
    assert_eq!(result, Err(CallError::NotSent));
    // The first of these calls is sent and 256 are queued; the others are refused.
    let calls: Vec<CallId> = (0..300)
        .map(|_| reactor.call(get_call(0, "/many", 60 * SECOND)))
        .collect();
    let (mut stream, _) = server.accept().unwrap();
    let refused = (0..).zip(&calls).filter(|(n, _)| *n >= 257);
    let until = reactor.monotonic_now();
    let events = reactor.wait(until).unwrap();
    assert_eq!(events.len(), refused.clone().count());
    for (event, (_, call)) in events.into_iter().zip(refused) {
        let NetEvent::Response(id, Err(CallError::NotSent)) = event else {
            panic!("expected a call that was not sent, got {event:?}");
        };
        assert_eq!(id, *call);
    }
    run_without_events(&mut reactor);
    assert_eq!(read_request_line(&mut stream), "GET /many HTTP/1.1");
}

/// Frames arrive at a peer completely and in order, also if they are received in several parts,
/// and can be replied to. Guards against a peer that announces an oversized frame, which would
/// make the input buffer grow: its connection is closed.
#[test]
fn frames_arrive_and_are_replied_to() {
    let (mut receiver, _, peer_addr) = reactor_with(&[], &[]);
    let (mut sender, ..) = reactor_with(&[], &[peer_addr]);
    sender.monotonic_now();
    sender.send(0, b"one");
    sender.send(0, b"");
    run_without_events(&mut sender);
    sender.send(0, b"two");
    let mut received = Vec::new();
    while received.len() < 3 {
        let until = receiver.monotonic_now() + SECOND;
        for event in receiver.wait(until).unwrap() {
            let NetEvent::Frame(_, payload) = event else {
                panic!("expected a frame, got {event:?}");
            };
            received.push(payload);
        }
    }
    assert_eq!(received, [&b"one"[..], b"", b"two"]);
    let mut stream = TcpStream::connect(peer_addr).unwrap();
    stream.write_all(b"\x03\0\0\0as").unwrap();
    run_without_events(&mut receiver);
    stream.write_all(b"k").unwrap();
    let NetEvent::Frame(id, payload) = next_event(&mut receiver) else {
        panic!("expected a frame");
    };
    assert_eq!(payload, b"ask");
    receiver.reply(id, b"told");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    let mut reply = [0; 8];
    stream.read_exact(&mut reply).unwrap();
    assert_eq!(&reply, b"\x04\0\0\0told");
    stream.write_all(&(2u32 << 20).to_le_bytes()).unwrap();
    run_without_events(&mut receiver);
    assert_eq!(
        stream.read(&mut reply).unwrap(),
        0,
        "expected the connection to be closed"
    );
    receiver.reply(id, b"too late");
}

/// A malformed request is refused, only the first of several pipelined requests is served, and
/// the connection is closed in both cases. Guards against input that is mistaken for the start of
/// another request.
#[test]
fn malformed_and_pipelined_requests_end_their_connection() {
    let (mut reactor, http_addr, _) = reactor_with(&[], &[]);
    let mut malformed = TcpStream::connect(http_addr).unwrap();
    malformed
        .write_all(b"GET nowhere HTTP/1.1\r\n\r\n")
        .unwrap();
    run_without_events(&mut reactor);
    let mut pipelined = TcpStream::connect(http_addr).unwrap();
    send_request(&mut pipelined);
    send_request(&mut pipelined);
    let NetEvent::Request(id, request) = next_event(&mut reactor) else {
        panic!("expected a request");
    };
    assert_eq!((&*request.method, &*request.path), ("GET", "/ready"));
    reactor.respond(id, Response::new(200, b"yes".to_vec()));
    run_without_events(&mut reactor);
    for (mut stream, start, end) in [
        (malformed, "HTTP/1.1 400 ", "\r\n\r\n"),
        (pipelined, "HTTP/1.1 200 ", "\r\n\r\nyes"),
    ] {
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).unwrap();
        let mut text = String::new();
        // The kernel may reset a connection with unread bytes after the response.
        let _ = stream.read_to_string(&mut text);
        assert!(text.starts_with(start) && text.ends_with(end), "{text:?}");
        assert!(text.contains("Connection: close"), "{text:?}");
    }
    assert_eq!(reactor.served_connections, 0);
}
