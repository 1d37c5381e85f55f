//! Frames to and from the other controllers. A frame is the payload's length in four bytes,
//! little-endian, followed by the payload. This controller sends frames to a peer on a
//! connection that it opens itself. Frames that arrive on an accepted connection may be replied
//! to on that connection.

use std::net::SocketAddr;

use super::connection::Role;
use super::net::{ConnectionId, NetEvent};
use super::{socket, Reactor};
use salttiller_records::units::{Micros, SECOND};

/// Time after which a connection without progress is closed.
pub(super) const SILENCE_TIMEOUT: Micros = 15 * SECOND;
/// Timeout of connecting.
const CONNECT_TIMEOUT: Micros = 2 * SECOND;
/// Minimum time between attempts to connect.
const CONNECT_INTERVAL: Micros = SECOND;
/// Time from the closing of a connection to the next attempt to connect.
const RECONNECT_DELAY: Micros = SECOND / 2;
/// Maximum size of an accepted payload.
const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;
/// Size of the length that precedes the payload.
const LENGTH_BYTES: usize = 4;

/// Another controller.
pub(super) struct Peer {
    addr: SocketAddr,
    /// Slot of the connection to the peer, if there is one.
    slot: Option<usize>,
    /// Earliest time of the next attempt to connect.
    retry_at: Micros,
}

impl Peer {
    /// Creates a peer that isn't connected yet.
    pub(super) fn new(addr: SocketAddr) -> Self {
        Peer {
            addr,
            slot: None,
            retry_at: 0,
        }
    }
}

impl Reactor {
    /// Sends a frame to a peer. Drops the frame if there is no connection and none can be opened
    /// yet.
    pub(super) fn send_frame(&mut self, peer: usize, payload: &[u8]) {
        let Some(slot) = self.peer_connection(peer) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let backlog = connection.output.unwritten().len() + payload.len();
        if backlog > self.limits.max_peer_backlog_bytes {
            // The peer has left this many bytes unread, so the connection is considered dead.
            return self.close(slot);
        }
        write_frame(connection.output.append_target(), payload);
        if connection.connecting {
            return;
        }
        let deadline = self.now + SILENCE_TIMEOUT;
        if self.flush(slot) && self.is_output_empty(slot) {
            self.connections.set_deadline(slot, deadline);
        }
    }

    /// Returns the slot of the connection to a peer. Opens one if there is none and the next
    /// attempt is due.
    fn peer_connection(&mut self, peer: usize) -> Option<usize> {
        let entry = self.peers.get_mut(peer)?;
        if entry.slot.is_some() {
            return entry.slot;
        }
        if self.now < entry.retry_at {
            return None;
        }
        entry.retry_at = self.now + CONNECT_INTERVAL;
        let stream = socket::connect(entry.addr).ok()?;
        let deadline = self.now + CONNECT_TIMEOUT;
        let slot = self.insert(stream, Role::OutboundPeer { peer }, true, deadline);
        self.peers.get_mut(peer)?.slot = slot;
        slot
    }

    fn is_output_empty(&self, slot: usize) -> bool {
        self.connections
            .get(slot)
            .is_some_and(|connection| connection.output.is_empty())
    }

    /// Records that the connection to a peer was closed.
    pub(super) fn on_peer_closed(&mut self, peer: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.slot = None;
            peer.retry_at = self.now + RECONNECT_DELAY;
        }
    }

    /// Replies to a frame on the connection on which the frame arrived. Does nothing if that
    /// connection has been closed.
    pub(super) fn reply_frame(&mut self, id: ConnectionId, payload: &[u8]) {
        let connection = self.connections.by_id(id);
        if let Some(connection) = connection.filter(|c| matches!(c.role, Role::InboundPeer)) {
            write_frame(connection.output.append_target(), payload);
            self.flush(id.slot);
        }
    }

    /// Processes a frame if it is complete. Returns whether the input may contain another one.
    pub(super) fn process_frame(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        let Some((head, rest)) = connection.input.split_first_chunk::<LENGTH_BYTES>() else {
            return false;
        };
        // The cast is lossless on 64-bit targets.
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_PAYLOAD_BYTES {
            log::info!("frame of {length} bytes rejected as too long, connection closed");
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
    // The cast is lossless: receivers accept at most MAX_PAYLOAD_BYTES, far less than 4 GiB.
    output.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    output.extend_from_slice(payload);
}
