//! The polling loop: sockets in, events out. The only place that reads the
//! steady clock or touches a socket.
//!
//! Everything is bounded: connections, queues, buffers; every call and every
//! half-sent request has a deadline.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

use crate::http::{self, Request, Response};
use crate::units::{Micros, SECOND};

/// Names a connection for as long as it lives; a later one in the same slot has
/// another generation, so an answer can't reach a stranger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId {
    pub(crate) slot: usize,
    pub(crate) generation: u32,
}

/// Names an outgoing call.
pub type CallId = u64;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Never left this process: surely not executed.
    #[error("not sent")]
    NotSent,
    /// Sent in part or whole: may have been executed, or may be later.
    #[error("no answer")]
    NoAnswer,
    /// Answered with more than is read at once: surely executed, if it was a read.
    #[error("answer too large")]
    TooLarge,
}

/// What the network did.
#[derive(Debug)]
pub enum NetEvent {
    /// A request on the users' and workers' side.
    Request(ConnId, Request),
    /// The end of a call.
    Response(CallId, Result<Response, CallError>),
    /// A frame from another controller.
    Frame(ConnId, Vec<u8>),
}

/// One outgoing call.
#[derive(Debug)]
pub struct Call {
    /// Which destination, as given to [`Reactor::new`].
    pub dest: usize,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, encoded.
    pub body: Vec<u8>,
    /// How long it may take in all.
    pub timeout: Micros,
}

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

/// What a controller needs of the world: the reactor, or a stand-in in tests.
pub trait Net {
    /// Reads the steady clock.
    fn clock(&mut self) -> Micros;
    /// Reads the time of day.
    fn wall(&self) -> Micros;
    /// Answers a request. A connection that has gone is no error.
    fn respond(&mut self, id: ConnId, r: Response);
    /// Starts a call; its end comes as [`NetEvent::Response`], always.
    fn call(&mut self, call: Call) -> CallId;
    /// Sends a frame to another controller, if there is a way just now. Frames
    /// are state, not orders that must arrive: a lost one is made good by the next.
    fn send(&mut self, peer: usize, payload: &[u8]);
    /// Answers a frame on the connection on which it came.
    fn reply(&mut self, id: ConnId, payload: &[u8]);
    /// Gives up every idle connection to a destination: after a cut they would
    /// only hang.
    fn reset_dest(&mut self, dest: usize);
}

/// Limits that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections of users and workers at once.
    pub served: usize,
    /// Bytes waiting for one peer before its connection is given up.
    pub backlog: usize,
}

const FRONT_KEY: usize = 0;
const MESH_KEY: usize = 1;
const FIRST_KEY: usize = 2;
/// A request must arrive whole within this time of its first byte.
const SLOW_SENDER: Micros = 10 * SECOND;
/// Idle connections of users and workers are closed after this time.
const IDLE_SERVED: Micros = 90 * SECOND;
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

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(256)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
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
    ) -> io::Result<Self> {
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
    pub fn wait(&mut self, until: Micros) -> io::Result<Vec<NetEvent>> {
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

    fn accept(&mut self, front: bool) {
        // A bounded number at a time, so that a flood can't starve the rest.
        for _ in 0..32 {
            let listener = if front { &self.front } else { &self.mesh };
            match listener.accept() {
                Ok((stream, _)) => {
                    if front && self.served >= self.limits.served && !self.close_idle_served() {
                        log::debug!("reactor: front: connection refused, {} open", self.served);
                        continue;
                    }
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    let (role, idle) = if front {
                        (Role::Reading, IDLE_SERVED)
                    } else {
                        (Role::MeshIn, MESH_SILENCE)
                    };
                    let at = self.now + idle;
                    if self.insert(stream, role, false, at).is_some() && front {
                        self.served += 1;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    log::debug!("reactor: accept: {e}");
                    return;
                }
            }
        }
    }

    /// Closes the connection of a user or worker that has been idle the longest, to make
    /// room for another. Guards against workers that are never heard, for as long as there
    /// are more of them than connections. Whether there was one.
    fn close_idle_served(&mut self) -> bool {
        // The order of deadlines is that of the last use; others stand between.
        let idle = self.deadlines.iter().take(LOOK_FOR_IDLE).find(|d| {
            let conn = self.conns[d.1].as_ref();
            conn.is_some_and(|c| matches!(c.role, Role::Reading) && c.rbuf.is_empty())
        });
        let Some(&(_, slot, _)) = idle else {
            return false;
        };
        self.drop_conn(slot);
        true
    }

    /// Whether connections are so scarce that each is to carry one request only.
    fn is_crowded(&self) -> bool {
        self.served * 8 > self.limits.served * 7
    }

    fn insert(
        &mut self,
        stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: Micros,
    ) -> Option<usize> {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.conns.push(None);
            self.conns.len() - 1
        });
        self.generation = self.generation.wrapping_add(1);
        if let Err(e) = register(&self.poller, &stream, slot + FIRST_KEY, connecting) {
            log::error!("reactor: connection: can't be watched: {e}");
            self.free.push(slot);
            return None;
        }
        self.conns[slot] = Some(Conn {
            generation: self.generation,
            stream,
            role,
            rbuf: Vec::new(),
            wbuf: Vec::new(),
            wpos: 0,
            connecting,
            want_write: connecting,
            deadline,
        });
        self.deadlines.insert((deadline, slot, self.generation));
        Some(slot)
    }

    fn set_deadline(&mut self, slot: usize, at: Micros) {
        if let Some(c) = self.conns[slot].as_mut() {
            self.deadlines.remove(&(c.deadline, slot, c.generation));
            c.deadline = at;
            self.deadlines.insert((at, slot, c.generation));
        }
    }

    /// Closes a connection and reports what was under way on it.
    fn drop_conn(&mut self, slot: usize) {
        let Some(c) = self.conns[slot].take() else {
            return;
        };
        self.deadlines.remove(&(c.deadline, slot, c.generation));
        let _ = self.poller.delete(&c.stream);
        self.free.push(slot);
        match c.role {
            Role::Reading | Role::Answering { .. } | Role::Closing => self.served -= 1,
            Role::MeshIn => {}
            Role::MeshOut { peer } => {
                self.peers[peer].conn = None;
                self.peers[peer].retry_at = self.now + SECOND / 2;
            }
            Role::Calling { dest, id, sent } => {
                self.dests[dest].open -= 1;
                let why = if sent {
                    CallError::NoAnswer
                } else {
                    CallError::NotSent
                };
                self.out.push_back(NetEvent::Response(id, Err(why)));
                self.pump(dest);
            }
            Role::Idle { dest } => {
                self.dests[dest].open -= 1;
                self.dests[dest].idle.retain(|s| *s != slot);
            }
        }
    }

    fn expire(&mut self) {
        while let Some(&(at, slot, generation)) = self.deadlines.first() {
            if at > self.now {
                break;
            }
            self.deadlines.pop_first();
            if self.conns[slot]
                .as_ref()
                .is_some_and(|c| c.generation == generation)
            {
                self.drop_conn(slot);
            }
        }
        while let Some(&(at, dest, id)) = self.queued.first() {
            if at > self.now {
                break;
            }
            self.queued.pop_first();
            self.dests[dest].queue.retain(|p| p.id != id);
            self.out
                .push_back(NetEvent::Response(id, Err(CallError::NotSent)));
        }
    }

    fn ready(&mut self, slot: usize, readable: bool, writable: bool) {
        let Some(c) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        if c.connecting && (writable || readable) {
            if let Ok(Some(_)) | Err(_) = c.stream.take_error() {
                return self.drop_conn(slot);
            }
            c.connecting = false;
            if let Role::MeshOut { .. } = c.role {
                let at = self.now + MESH_SILENCE;
                self.set_deadline(slot, at);
            }
        }
        if writable && !self.flush(slot) {
            return;
        }
        if readable {
            self.read(slot);
        }
    }

    /// Writes what is waiting; false if the connection is gone.
    fn flush(&mut self, slot: usize) -> bool {
        let Some(c) = self.conns[slot].as_mut() else {
            return false;
        };
        if c.connecting {
            return true;
        }
        while c.wpos < c.wbuf.len() {
            match c.stream.write(&c.wbuf[c.wpos..]) {
                Ok(0) => {
                    self.drop_conn(slot);
                    return false;
                }
                Ok(n) => {
                    c.wpos += n;
                    if let Role::Calling { sent, .. } = &mut c.role {
                        *sent = true;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.drop_conn(slot);
                    return false;
                }
            }
        }
        if c.wpos == c.wbuf.len() {
            c.wbuf.clear();
            c.wpos = 0;
            if c.wbuf.capacity() > 64 * 1024 {
                c.wbuf = Vec::new();
            }
            if let Role::Closing = c.role {
                self.drop_conn(slot);
                return false;
            }
        }
        let want = !c.wbuf.is_empty();
        if want != c.want_write {
            c.want_write = want;
            let ev = Event::new(slot + FIRST_KEY, true, want);
            if self
                .poller
                .modify_with_mode(&c.stream, ev, PollMode::Level)
                .is_err()
            {
                self.drop_conn(slot);
                return false;
            }
        }
        true
    }

    fn read(&mut self, slot: usize) {
        let mut chunk = [0u8; 16 * 1024];
        let mut eof = false;
        // A bounded number of reads; the poll is by level, so the rest comes next.
        for _ in 0..16 {
            let Some(c) = self.conns[slot].as_mut() else {
                return;
            };
            match c.stream.read(&mut chunk) {
                Ok(0) => {
                    eof = true;
                    break;
                }
                Ok(n) => {
                    c.rbuf.extend_from_slice(&chunk[..n]);
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.drop_conn(slot),
            }
        }
        self.digest(slot);
        if eof {
            // Answers that were on their way in are already taken; whoever
            // closes its sending side is done with us.
            self.drop_conn(slot);
        }
    }

    fn digest(&mut self, slot: usize) {
        loop {
            let now = self.now;
            let Some(c) = self.conns[slot].as_mut() else {
                return;
            };
            match c.role {
                Role::Reading => {
                    if c.rbuf.is_empty() {
                        return;
                    }
                    match http::parse_request(&c.rbuf) {
                        Ok(None) => {
                            // The deadline counts from the first byte, so a
                            // slow sender can't stretch it byte by byte.
                            let at = now + SLOW_SENDER;
                            if c.deadline > at {
                                self.set_deadline(slot, at);
                            }
                            return;
                        }
                        Ok(Some((req, used))) => {
                            c.rbuf.drain(..used);
                            if c.rbuf.capacity() > 32 * 1024 {
                                c.rbuf.shrink_to(4096);
                            }
                            // Requests sent ahead of an answer are not served.
                            let close = req.close || !c.rbuf.is_empty();
                            c.role = Role::Answering { close };
                            let id = ConnId {
                                slot,
                                generation: c.generation,
                            };
                            self.set_deadline(slot, now + 30 * SECOND);
                            self.out.push_back(NetEvent::Request(id, req));
                            return;
                        }
                        Err(e) => {
                            log::debug!("reactor: request: {e}");
                            let mut r = Response::new(e.status(), Vec::new());
                            r.close = true;
                            c.role = Role::Closing;
                            http::write_response(&mut c.wbuf, &r);
                            self.set_deadline(slot, now + SECOND);
                            self.flush(slot);
                            return;
                        }
                    }
                }
                Role::Answering { ref mut close } => {
                    if !c.rbuf.is_empty() {
                        *close = true;
                        c.rbuf.clear();
                    }
                    return;
                }
                Role::Closing => {
                    c.rbuf.clear();
                    return;
                }
                Role::MeshIn => {
                    let Some(head) = c.rbuf.get(..4) else { return };
                    let n = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
                    if n > MAX_FRAME {
                        log::info!("reactor: mesh: frame of {n} bytes, connection closed");
                        return self.drop_conn(slot);
                    }
                    if c.rbuf.len() < 4 + n {
                        return;
                    }
                    let frame = c.rbuf[4..4 + n].to_vec();
                    c.rbuf.drain(..4 + n);
                    let generation = c.generation;
                    self.set_deadline(slot, now + MESH_SILENCE);
                    let id = ConnId { slot, generation };
                    self.out.push_back(NetEvent::Frame(id, frame));
                }
                Role::MeshOut { .. } => {
                    c.rbuf.clear();
                    return;
                }
                Role::Idle { .. } => {
                    if !c.rbuf.is_empty() {
                        self.drop_conn(slot); // nothing was asked
                    }
                    return;
                }
                Role::Calling { dest, id, .. } => match http::parse_response(&c.rbuf) {
                    Ok(None) => return,
                    Ok(Some((r, used))) => {
                        let reuse = !r.close && used == c.rbuf.len();
                        c.rbuf = Vec::new();
                        c.role = Role::Idle { dest };
                        self.out.push_back(NetEvent::Response(id, Ok(r)));
                        if reuse {
                            self.dests[dest].idle.push(slot);
                            self.set_deadline(slot, now + IDLE_CALL);
                        } else {
                            self.drop_conn(slot);
                        }
                        self.pump(dest);
                        return;
                    }
                    Err(e) => {
                        log::info!("reactor: answer from {}: {e}", self.dests[dest].host);
                        if e == http::HttpError::BodyTooLong {
                            let end = NetEvent::Response(id, Err(CallError::TooLarge));
                            self.out.push_back(end);
                            c.role = Role::Idle { dest };
                        }
                        return self.drop_conn(slot);
                    }
                },
            }
        }
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

    fn respond(&mut self, id: ConnId, mut r: Response) {
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
        let dest = call.dest;
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
        let backlog = self.limits.backlog;
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

    fn reset_dest(&mut self, dest: usize) {
        for slot in std::mem::take(&mut self.dests[dest].idle) {
            self.drop_conn(slot);
        }
    }

    fn reply(&mut self, id: ConnId, payload: &[u8]) {
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
) -> io::Result<()> {
    let ev = Event::new(key, true, write);
    unsafe { poller.add_with_mode(source, ev, PollMode::Level) }
}

#[cfg(test)]
mod tests;
