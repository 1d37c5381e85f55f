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

fn ask(stream: &mut TcpStream) {
    let request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(request).unwrap();
}

fn answer(stream: &mut TcpStream) -> String {
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
        ask(&mut client);
        serve(&mut reactor);
        let text = answer(&mut client);
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
    ask(&mut idle[0]);
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
    assert!(answer(&mut idle[0]).starts_with("HTTP/1.1 200"));
    drop(more);
}
