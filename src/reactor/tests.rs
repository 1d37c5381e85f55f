//! Tests of the event loop, on loopback.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::*;
use salttiller_records::units::SECOND;

const SERVED: usize = 4;

fn reactor() -> (Reactor, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = Limits {
        max_served_connections: SERVED,
        max_peer_backlog_bytes: 1 << 16,
    };
    let reactor = Reactor::new(any, any, &[], &[], limits).unwrap();
    let front = reactor.http_listener.local_addr().unwrap();
    (reactor, front)
}

/// Serves what comes for a moment with an empty 200.
fn serve(reactor: &mut Reactor) {
    for _ in 0..20 {
        let until = reactor.clock() + SECOND / 200;
        for event in reactor.wait(until).unwrap() {
            if let NetEvent::Request(conn, _) = event {
                reactor.respond(conn, Response::new(200, Vec::new()));
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

/// Four times as many clients as connections: each is answered in turn, idle connections
/// give way, and answers tell their clients to close.
#[test]
fn more_clients_than_connections_are_served_in_turn() {
    let (mut reactor, front) = reactor();
    let mut clients = Vec::new();
    for n in 0..4 * SERVED {
        let mut client = TcpStream::connect(front).unwrap();
        serve(&mut reactor);
        send_request(&mut client);
        serve(&mut reactor);
        let text = read_response(&mut client);
        assert!(text.starts_with("HTTP/1.1 200"), "client {n}: {text:?}");
        let full = text.contains("Connection: close");
        assert_eq!(full, n + 1 >= SERVED, "client {n}: {text:?}");
        assert!(reactor.served <= SERVED, "client {n}");
        clients.push(client);
    }
    // Those that only hold a connection open give way; one that is being answered doesn't.
    let mut idle: Vec<TcpStream> = (0..SERVED)
        .map(|_| TcpStream::connect(front).unwrap())
        .collect();
    serve(&mut reactor);
    send_request(&mut idle[0]);
    let until = reactor.clock() + SECOND / 20;
    let events = reactor.wait(until).unwrap();
    let Some(NetEvent::Request(conn, _)) = events.into_iter().next() else {
        panic!("no request");
    };
    let more: Vec<TcpStream> = (0..2 * SERVED)
        .map(|_| TcpStream::connect(front).unwrap())
        .collect();
    serve(&mut reactor);
    reactor.respond(conn, Response::new(200, Vec::new()));
    serve(&mut reactor);
    assert!(read_response(&mut idle[0]).starts_with("HTTP/1.1 200"));
    drop(more);
}

/// A reactor with these destinations and peers, and the addresses of its listeners.
fn reactor_to(
    destinations: &[(SocketAddr, usize)],
    peers: &[SocketAddr],
) -> (Reactor, SocketAddr, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = Limits {
        max_served_connections: SERVED,
        max_peer_backlog_bytes: 1 << 16,
    };
    let reactor = Reactor::new(any, any, destinations, peers, limits).unwrap();
    let http_addr = reactor.http_listener.local_addr().unwrap();
    let peer_addr = reactor.peer_listener.local_addr().unwrap();
    (reactor, http_addr, peer_addr)
}

/// Waits for the next event; fails if none comes in a while.
fn next_event(reactor: &mut Reactor) -> NetEvent {
    for _ in 0..500 {
        let until = reactor.clock() + SECOND / 100;
        let mut events = reactor.wait(until).unwrap();
        assert!(events.len() <= 1, "{events:?}");
        if let Some(event) = events.pop() {
            return event;
        }
    }
    panic!("no event");
}

fn result_of(reactor: &mut Reactor, call: CallId) -> Result<Response, CallError> {
    match next_event(reactor) {
        NetEvent::Response(id, result) if id == call => result,
        other => panic!("not the result of {call}: {other:?}"),
    }
}

fn call_to(destination: usize, target: &str, timeout: Micros) -> Call {
    Call {
        destination,
        method: "GET",
        target: target.into(),
        body: Vec::new(),
        timeout,
    }
}

/// Lets the reactor work for a moment in which nothing is to happen.
fn idle(reactor: &mut Reactor) {
    let until = reactor.clock() + SECOND / 20;
    while reactor.clock() < until {
        let events = reactor.wait(until).unwrap();
        assert!(events.is_empty(), "{events:?}");
    }
}

/// Reads a request's first line.
fn request_line(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut buffer = [0; 512];
    let count = stream.read(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    text.lines().next().unwrap_or("").to_owned()
}

/// Calls wait for a connection, which is kept for the next call, and each has one result.
#[test]
fn calls_share_connections_and_have_one_result() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_addr = closed.local_addr().unwrap();
    drop(closed);
    let destinations = [(server.local_addr().unwrap(), 1), (closed_addr, 1)];
    let (mut reactor, ..) = reactor_to(&destinations, &[]);
    reactor.clock();
    let first = reactor.call(call_to(0, "/first", 5 * SECOND));
    let second = reactor.call(call_to(0, "/second", 5 * SECOND));
    let third = reactor.call(call_to(0, "/third", SECOND / 2));
    idle(&mut reactor);
    let (mut stream, _) = server.accept().unwrap();
    assert_eq!(request_line(&mut stream), "GET /first HTTP/1.1");
    let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    stream.write_all(ok).unwrap();
    let result = result_of(&mut reactor, first);
    assert_eq!(result, Ok(Response::new(200, b"hi".to_vec())));
    // The second goes out on the same connection; the third waits for it in vain.
    assert_eq!(request_line(&mut stream), "GET /second HTTP/1.1");
    assert_eq!(result_of(&mut reactor, third), Err(CallError::NotSent));
    let close = b"HTTP/1.1 204 No\r\nConnection: close\r\n\r\n";
    stream.write_all(close).unwrap();
    assert_eq!(result_of(&mut reactor, second).map(|r| r.status), Ok(204));
    let fourth = reactor.call(call_to(0, "/fourth", 5 * SECOND));
    idle(&mut reactor);
    let (mut stream, _) = server.accept().unwrap();
    assert_eq!(request_line(&mut stream), "GET /fourth HTTP/1.1");
    drop(stream);
    assert_eq!(result_of(&mut reactor, fourth), Err(CallError::NoAnswer));
    let unreachable = reactor.call(call_to(1, "/", 5 * SECOND));
    let result = result_of(&mut reactor, unreachable);
    assert_eq!(result, Err(CallError::NotSent));
    // A queue that is full refuses, and an idle connection is closed when asked.
    let timeouts: Vec<CallId> = (0..300)
        .map(|_| reactor.call(call_to(0, "/many", 60 * SECOND)))
        .collect();
    let (mut stream, _) = server.accept().unwrap();
    let refused = (0..).zip(&timeouts).filter(|(n, _)| *n >= 257);
    let until = reactor.clock();
    let events = reactor.wait(until).unwrap();
    assert_eq!(events.len(), refused.clone().count());
    for (event, (_, call)) in events.into_iter().zip(refused) {
        let NetEvent::Response(id, Err(CallError::NotSent)) = event else {
            panic!("{event:?}");
        };
        assert_eq!(id, *call);
    }
    idle(&mut reactor);
    assert_eq!(request_line(&mut stream), "GET /many HTTP/1.1");
}

/// Frames arrive whole and in order at a peer and may be replied to; too long ones close
/// their connection.
#[test]
fn frames_arrive_and_are_replied_to() {
    let (mut receiver, _, peer_addr) = reactor_to(&[], &[]);
    let (mut sender, ..) = reactor_to(&[], &[peer_addr]);
    sender.clock();
    sender.send(0, b"one");
    sender.send(0, b"");
    idle(&mut sender);
    sender.send(0, b"two");
    let mut received = Vec::new();
    while received.len() < 3 {
        let until = receiver.clock() + SECOND;
        for event in receiver.wait(until).unwrap() {
            let NetEvent::Frame(_, payload) = event else {
                panic!("{event:?}");
            };
            received.push(payload);
        }
    }
    assert_eq!(received, [&b"one"[..], b"", b"two"]);
    let mut stream = TcpStream::connect(peer_addr).unwrap();
    stream.write_all(b"\x03\0\0\0as").unwrap();
    idle(&mut receiver);
    stream.write_all(b"k").unwrap();
    let NetEvent::Frame(id, payload) = next_event(&mut receiver) else {
        panic!("no frame");
    };
    assert_eq!(payload, b"ask");
    receiver.reply(id, b"told");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    let mut reply = [0; 8];
    stream.read_exact(&mut reply).unwrap();
    assert_eq!(&reply, b"\x04\0\0\0told");
    stream.write_all(&(2u32 << 20).to_le_bytes()).unwrap();
    idle(&mut receiver);
    assert_eq!(stream.read(&mut reply).unwrap(), 0, "closed");
    receiver.reply(id, b"too late");
}

/// A malformed request is refused, and of pipelined requests the first is served; both end
/// their connection.
#[test]
fn malformed_and_pipelined_requests_end_their_connection() {
    let (mut reactor, http_addr, _) = reactor_to(&[], &[]);
    let mut malformed = TcpStream::connect(http_addr).unwrap();
    malformed
        .write_all(b"GET nowhere HTTP/1.1\r\n\r\n")
        .unwrap();
    idle(&mut reactor);
    let mut pipelined = TcpStream::connect(http_addr).unwrap();
    send_request(&mut pipelined);
    send_request(&mut pipelined);
    let NetEvent::Request(id, request) = next_event(&mut reactor) else {
        panic!("no request");
    };
    assert_eq!((&*request.method, &*request.path), ("GET", "/ready"));
    reactor.respond(id, Response::new(200, b"yes".to_vec()));
    idle(&mut reactor);
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
    assert_eq!(reactor.served, 0);
}
