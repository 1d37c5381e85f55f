//! Table of all connections by slot, and their deadlines.

use std::collections::BTreeSet;
use std::net::TcpStream;

use polling::Poller;

use super::buffer::WriteBuffer;
use super::connection::{Connection, Role};
use super::net::ConnectionId;
use super::{socket, FIRST_CONNECTION_KEY};
use salttiller_records::units::Micros;

/// Time at which a connection is closed; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    slot: usize,
    generation: u32,
}

/// Table of all connections.
///
/// Invariant: `deadlines` contains the deadlines of exactly the connections in `slots`.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Option<Connection>>,
    free: Vec<usize>,
    /// Generation of the connection that was inserted last.
    generation: u32,
    deadlines: BTreeSet<Deadline>,
}

impl ConnectionTable {
    /// Adds a connection and registers it with the poller. Returns its slot, or `None` if the
    /// registration fails.
    pub(super) fn insert(
        &mut self,
        poller: &Poller,
        stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: Micros,
    ) -> Option<usize> {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.generation = self.generation.wrapping_add(1);
        let key = slot + FIRST_CONNECTION_KEY;
        if let Err(error) = socket::register(poller, &stream, key, connecting) {
            log::error!("connection can't be registered with the poller: {error}");
            self.free.push(slot);
            return None;
        }
        // The slot is within bounds, because it was free or has just been added.
        *self.slots.get_mut(slot)? = Some(Connection {
            generation: self.generation,
            stream,
            role,
            input: Vec::new(),
            output: WriteBuffer::default(),
            connecting,
            writable_interest: connecting,
            deadline,
        });
        self.deadlines.insert(Deadline {
            at: deadline,
            slot,
            generation: self.generation,
        });
        Some(slot)
    }

    /// Removes a connection from the table and from the poller. The caller may drop the connection.
    pub(super) fn remove(&mut self, poller: &Poller, slot: usize) -> Option<Connection> {
        let connection = self.slots.get_mut(slot)?.take()?;
        self.deadlines.remove(&Deadline {
            at: connection.deadline,
            slot,
            generation: connection.generation,
        });
        // Deletion fails only for a socket that isn't registered.
        let _ = poller.delete(&connection.stream);
        self.free.push(slot);
        Some(connection)
    }

    /// Returns the connection in a slot.
    pub(super) fn get(&self, slot: usize) -> Option<&Connection> {
        self.slots.get(slot)?.as_ref()
    }

    /// Returns the connection in a slot.
    pub(super) fn get_mut(&mut self, slot: usize) -> Option<&mut Connection> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Returns the connection with this id, or `None` if it has been closed.
    pub(super) fn by_id(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.get_mut(id.slot)
            .filter(|connection| connection.generation == id.generation)
    }

    /// Sets the deadline of a connection.
    pub(super) fn set_deadline(&mut self, slot: usize, at: Micros) {
        let Some(connection) = self.slots.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let generation = connection.generation;
        let old = std::mem::replace(&mut connection.deadline, at);
        self.deadlines.remove(&Deadline {
            at: old,
            slot,
            generation,
        });
        self.deadlines.insert(Deadline {
            at,
            slot,
            generation,
        });
    }

    /// Returns the earliest deadline of a connection.
    pub(super) fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Removes a deadline that has passed, and returns the slot of its connection. The caller
    /// must close the connection.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<usize> {
        loop {
            let first = *self.deadlines.first().filter(|first| first.at <= now)?;
            self.deadlines.remove(&first);
            let connection = self.get(first.slot);
            if connection.is_some_and(|connection| connection.generation == first.generation) {
                return Some(first.slot);
            }
        }
    }

    /// Returns the slots and connections in the order of their deadlines.
    pub(super) fn by_deadline(&self) -> impl Iterator<Item = (usize, &Connection)> {
        self.deadlines
            .iter()
            .filter_map(|deadline| Some((deadline.slot, self.get(deadline.slot)?)))
    }
}
