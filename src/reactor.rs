//! The polling loop: sockets in, events out. The only place that reads the
//! steady clock or touches a socket.
//!
//! Everything is bounded: connections, queues, buffers; every call and every
//! half-sent request has a deadline.

mod connections;
mod io;
mod net;

pub use net::{Call, CallError, CallId, ConnectionId, Limits, Net, NetEvent};

use std::collections::{BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

use salttiller_protocol::http::{self, Response};
use salttiller_records::units::{Micros, SECOND};

#[derive(Debug)]
struct Pending {
    id: CallId,
    call: Call,
    deadline: Micros,
}

/// Where a connection stands.
enum Role {
    /// Accepted on the front: waiting for (more of) a request.
    Reading,
    /// Accepted on the front: a request is with the service.
    Answering { close: bool },
    /// Accepted on the front: the last answer is being written.
    Closing,
    /// Accepted on the mesh.
    MeshIn,
    /// Dialled to another controller.
    MeshOut { peer: usize },
    /// Dialled to a destination, carrying a call.
    Calling { dest: usize, id: CallId, sent: bool },
    /// Dialled to a destination, free for the next call.
    Idle { dest: usize },
}

struct Conn {
    generation: u32,
    stream: TcpStream,
    role: Role,
    rbuf: Vec<u8>,
    wbuf: Vec<u8>,
    wpos: usize,
    connecting: bool,
    want_write: bool,
    deadline: Micros,
}

#[derive(Default)]
struct Dest {
    addr: Option<SocketAddr>,
    host: String,
    idle: Vec<usize>,
    open: usize,
    max_open: usize,
    queue: VecDeque<Pending>,
}

struct Peer {
    addr: SocketAddr,
    conn: Option<usize>,
    retry_at: Micros,
}

const FRONT_KEY: usize = 0;
const MESH_KEY: usize = 1;
const FIRST_KEY: usize = 2;
/// A request must arrive whole within this time of its first byte.
const SLOW_SENDER: Micros = 10 * SECOND;
/// Idle connections of users and workers are closed after this time.
const IDLE_SERVED: Micros = 90 * SECOND;
/// How long a request may take to be answered before its connection is closed.
const ANSWER_WITHIN: Micros = 30 * SECOND;
const IDLE_CALL: Micros = 30 * SECOND;
const MESH_SILENCE: Micros = 15 * SECOND;
/// Most connections that are looked at for an idle one.
const LOOK_FOR_IDLE: usize = 64;
const DIAL: Micros = 2 * SECOND;
const MAX_FRAME: usize = 1024 * 1024;
const QUEUE_PER_DEST: usize = 256;

/// The polling loop's state.
pub struct Reactor {
    poller: Poller,
    events: Events,
    epoch: Instant,
    front: TcpListener,
    mesh: TcpListener,
    conns: Vec<Option<Conn>>,
    free: Vec<usize>,
    generation: u32,
    deadlines: BTreeSet<(Micros, usize, u32)>,
    queued: BTreeSet<(Micros, usize, CallId)>,
    dests: Vec<Dest>,
    peers: Vec<Peer>,
    served: usize,
    limits: Limits,
    next_call: CallId,
    out: VecDeque<NetEvent>,
    now: Micros,
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(256)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn dial(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
        Err(e) if e.raw_os_error() == Some(115) => {} // EINPROGRESS
        Err(e) => return Err(e),
    }
    let _ = socket.set_tcp_nodelay(true);
    Ok(socket.into())
}

impl Reactor {
    /// Opens the listeners. `dests` are outside services with the most
    /// connections to hold to each; `peers` are the other controllers.
    pub fn new(
        front: SocketAddr,
        mesh: SocketAddr,
        dests: &[(SocketAddr, usize)],
        peers: &[SocketAddr],
        limits: Limits,
    ) -> std::io::Result<Self> {
        let poller = Poller::new()?;
        let front = listen(front)?;
        let mesh = listen(mesh)?;
        register(&poller, &front, FRONT_KEY, false)?;
        register(&poller, &mesh, MESH_KEY, false)?;
        Ok(Reactor {
            poller,
            events: Events::new(),
            epoch: Instant::now(),
            front,
            mesh,
            conns: Vec::new(),
            free: Vec::new(),
            generation: 0,
            deadlines: BTreeSet::new(),
            queued: BTreeSet::new(),
            dests: dests
                .iter()
                .map(|(a, n)| Dest {
                    addr: Some(*a),
                    host: a.to_string(),
                    max_open: *n,
                    ..Default::default()
                })
                .collect(),
            peers: peers
                .iter()
                .map(|a| Peer {
                    addr: *a,
                    conn: None,
                    retry_at: 0,
                })
                .collect(),
            served: 0,
            limits,
            next_call: 1,
            out: VecDeque::new(),
            now: 0,
        })
    }

    /// Waits for the network until `until` at the latest and returns what came.
    pub fn wait(&mut self, until: Micros) -> std::io::Result<Vec<NetEvent>> {
        let now = self.clock();
        let mut until = until;
        for first in [
            self.deadlines.first().map(|d| d.0),
            self.queued.first().map(|d| d.0),
        ]
        .into_iter()
        .flatten()
        {
            until = until.min(first);
        }
        if !self.out.is_empty() {
            until = now;
        }
        let timeout = Duration::from_micros(until.saturating_sub(now));
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        match self.poller.wait(&mut events, Some(timeout)) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        self.clock();
        for ev in events.iter() {
            match ev.key {
                FRONT_KEY => self.accept(true),
                MESH_KEY => self.accept(false),
                key => self.ready(key - FIRST_KEY, ev.readable, ev.writable),
            }
        }
        self.events = events;
        self.expire();
        Ok(self.out.drain(..).collect())
    }

    fn pump(&mut self, dest: usize) {
        loop {
            let d = &mut self.dests[dest];
            if d.queue.is_empty() || (d.idle.is_empty() && d.open >= d.max_open) {
                return;
            }
            let Some(p) = d.queue.pop_front() else { return };
            self.queued.remove(&(p.deadline, dest, p.id));
            let mut bytes = Vec::with_capacity(256 + p.call.body.len());
            http::write_request(
                &mut bytes,
                p.call.method,
                &d.host,
                &p.call.target,
                &p.call.body,
            );
            let role = Role::Calling {
                dest,
                id: p.id,
                sent: false,
            };
            if let Some(slot) = d.idle.pop() {
                if let Some(c) = self.conns[slot].as_mut() {
                    c.role = role;
                    c.wbuf = bytes;
                    c.wpos = 0;
                    self.set_deadline(slot, p.deadline);
                    self.flush(slot);
                    continue;
                }
            }
            let addr = self.dests[dest].addr.map(dial);
            let slot = match addr {
                Some(Ok(stream)) => self.insert(stream, role, true, p.deadline),
                _ => None,
            };
            match slot {
                Some(slot) => {
                    self.dests[dest].open += 1;
                    if let Some(c) = self.conns[slot].as_mut() {
                        c.wbuf = bytes;
                    }
                }
                None => {
                    self.out
                        .push_back(NetEvent::Response(p.id, Err(CallError::NotSent)));
                }
            }
        }
    }
}

impl Net for Reactor {
    fn clock(&mut self) -> Micros {
        self.now = self.epoch.elapsed().as_micros() as Micros + 1;
        self.now
    }

    fn respond(&mut self, id: ConnectionId, mut r: Response) {
        let now = self.now;
        let crowded = self.is_crowded();
        let Some(c) = self
            .conns
            .get_mut(id.slot)
            .and_then(Option::as_mut)
            .filter(|c| c.generation == id.generation)
        else {
            return;
        };
        let Role::Answering { close } = c.role else {
            return;
        };
        r.close |= close || crowded;
        http::write_response(&mut c.wbuf, &r);
        c.role = if r.close {
            Role::Closing
        } else {
            Role::Reading
        };
        self.set_deadline(id.slot, now + IDLE_SERVED);
        if self.flush(id.slot) {
            self.digest(id.slot);
        }
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        let deadline = self.now + call.timeout;
        let dest = call.destination;
        if self.dests[dest].queue.len() >= QUEUE_PER_DEST {
            self.out
                .push_back(NetEvent::Response(id, Err(CallError::NotSent)));
            return id;
        }
        self.queued.insert((deadline, dest, id));
        self.dests[dest]
            .queue
            .push_back(Pending { id, call, deadline });
        self.pump(dest);
        id
    }

    fn send(&mut self, peer: usize, payload: &[u8]) {
        if self.peers[peer].conn.is_none() {
            if self.now < self.peers[peer].retry_at {
                return;
            }
            self.peers[peer].retry_at = self.now + SECOND;
            let Ok(stream) = dial(self.peers[peer].addr) else {
                return;
            };
            let at = self.now + DIAL;
            self.peers[peer].conn = self.insert(stream, Role::MeshOut { peer }, true, at);
        }
        let Some(slot) = self.peers[peer].conn else {
            return;
        };
        let backlog = self.limits.max_peer_backlog_bytes;
        if let Some(c) = self.conns[slot].as_mut() {
            if c.wbuf.len() - c.wpos + payload.len() > backlog {
                // Nothing has gone out for long: the way is dead.
                return self.drop_conn(slot);
            }
            c.wbuf
                .extend_from_slice(&(payload.len() as u32).to_le_bytes());
            c.wbuf.extend_from_slice(payload);
            let empty = !c.connecting;
            if empty {
                let at = self.now + MESH_SILENCE;
                if self.flush(slot) && self.conns[slot].as_ref().is_some_and(|c| c.wbuf.is_empty())
                {
                    self.set_deadline(slot, at);
                }
            }
        }
    }

    fn close_idle_connections(&mut self, dest: usize) {
        for slot in std::mem::take(&mut self.dests[dest].idle) {
            self.drop_conn(slot);
        }
    }

    fn reply(&mut self, id: ConnectionId, payload: &[u8]) {
        if let Some(c) = self
            .conns
            .get_mut(id.slot)
            .and_then(Option::as_mut)
            .filter(|c| c.generation == id.generation && matches!(c.role, Role::MeshIn))
        {
            c.wbuf
                .extend_from_slice(&(payload.len() as u32).to_le_bytes());
            c.wbuf.extend_from_slice(payload);
            self.flush(id.slot);
        }
    }

    fn wall(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros)
    }
}

/// Adds a source to the poller.
///
/// `unsafe` because polling asks that a source be deleted before it is dropped:
/// connections are deleted in `drop_conn`, the only place that drops one, and
/// the listeners live as long as the poller does.
#[allow(unsafe_code)]
fn register(
    poller: &Poller,
    source: &impl std::os::fd::AsRawFd,
    key: usize,
    write: bool,
) -> std::io::Result<()> {
    let ev = Event::new(key, true, write);
    unsafe { poller.add_with_mode(source, ev, PollMode::Level) }
}

#[cfg(test)]
mod tests;
