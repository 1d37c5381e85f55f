//! Frames to and from the other controllers: a length in four bytes, little-endian, and the
//! payload. Frames to a peer go out on a connection that this controller opens; frames that
//! come in on an accepted one may be replied to on it.

use std::net::SocketAddr;

use super::connection::Role;
use super::net::{ConnectionId, NetEvent};
use super::{socket, Reactor};
use salttiller_records::units::{Micros, SECOND};

/// A connection on which nothing moves for this time is closed.
pub(super) const SILENCE_TIMEOUT: Micros = 15 * SECOND;
/// How long connecting may take.
const CONNECT_TIMEOUT: Micros = 2 * SECOND;
/// The shortest time between attempts to connect.
const CONNECT_INTERVAL: Micros = SECOND;
/// How long after a connection was closed another is opened.
const RECONNECT_DELAY: Micros = SECOND / 2;
/// The largest payload that is accepted.
const MAX_FRAME: usize = 1024 * 1024;
/// Bytes of the length before the payload.
const LENGTH_BYTES: usize = 4;

/// Another controller.
pub(super) struct Peer {
    addr: SocketAddr,
    /// Slot of the connection to it.
    slot: Option<usize>,
    /// The earliest time of the next attempt to connect.
    retry_at: Micros,
}

impl Peer {
    /// A peer that isn't connected yet.
    pub(super) fn new(addr: SocketAddr) -> Self {
        Peer {
            addr,
            slot: None,
            retry_at: 0,
        }
    }
}

impl Reactor {
    /// Sends a frame to a peer, unless there is no connection and none can be opened yet.
    pub(super) fn send_frame(&mut self, peer: usize, payload: &[u8]) {
        let Some(slot) = self.peer_connection(peer) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let backlog = connection.output.unwritten().len() + payload.len();
        if backlog > self.limits.max_peer_backlog_bytes {
            // Nothing has gone out for long: the connection is dead.
            return self.close(slot);
        }
        write_frame(connection.output.sink(), payload);
        if connection.connecting {
            return;
        }
        let deadline = self.now + SILENCE_TIMEOUT;
        if self.flush(slot) && self.is_output_empty(slot) {
            self.connections.set_deadline(slot, deadline);
        }
    }

    /// The connection to a peer; it is opened if that is due.
    fn peer_connection(&mut self, peer: usize) -> Option<usize> {
        let known = self.peers.get_mut(peer)?;
        if known.slot.is_some() {
            return known.slot;
        }
        if self.now < known.retry_at {
            return None;
        }
        known.retry_at = self.now + CONNECT_INTERVAL;
        let stream = socket::connect(known.addr).ok()?;
        let deadline = self.now + CONNECT_TIMEOUT;
        let slot = self.insert(stream, Role::PeerOut { peer }, true, deadline);
        self.peers.get_mut(peer)?.slot = slot;
        slot
    }

    fn is_output_empty(&self, slot: usize) -> bool {
        self.connections
            .get(slot)
            .is_some_and(|connection| connection.output.is_empty())
    }

    /// Takes note that the connection to a peer was closed.
    pub(super) fn on_peer_closed(&mut self, peer: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.slot = None;
            peer.retry_at = self.now + RECONNECT_DELAY;
        }
    }

    /// Replies to a frame on the connection on which it came, unless that has gone.
    pub(super) fn reply_frame(&mut self, id: ConnectionId, payload: &[u8]) {
        let connection = self.connections.by_id(id);
        if let Some(connection) = connection.filter(|c| matches!(c.role, Role::PeerIn)) {
            write_frame(connection.output.sink(), payload);
            self.flush(id.slot);
        }
    }

    /// Takes a frame, if it is complete. Whether there may be more.
    pub(super) fn take_frame(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        let Some((head, rest)) = connection.input.split_first_chunk::<LENGTH_BYTES>() else {
            return false;
        };
        // Lossless: this runs on 64 bits.
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME {
            log::info!("frame of {length} bytes rejected, connection closed");
            self.close(slot);
            return false;
        }
        let Some(payload) = rest.get(..length) else {
            return false;
        };
        let payload = payload.to_vec();
        connection.input.drain(..LENGTH_BYTES + length);
        let id = ConnectionId {
            slot,
            generation: connection.generation,
        };
        let deadline = self.now + SILENCE_TIMEOUT;
        self.connections.set_deadline(slot, deadline);
        self.emit(NetEvent::Frame(id, payload));
        true
    }
}

fn write_frame(output: &mut Vec<u8>, payload: &[u8]) {
    // Payloads are far shorter than 4 GiB: receivers accept MAX_FRAME.
    output.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    output.extend_from_slice(payload);
}
