//! Connections over their lives: accepted, entered, given deadlines, closed.

use super::*;

impl Reactor {
    pub(super) fn accept(&mut self, front: bool) {
        // A bounded number at a time, so that a flood can't starve the rest.
        for _ in 0..32 {
            let listener = if front { &self.front } else { &self.mesh };
            match listener.accept() {
                Ok((stream, _)) => {
                    if front
                        && self.served >= self.limits.max_served_connections
                        && !self.close_idle_served()
                    {
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
    pub(super) fn close_idle_served(&mut self) -> bool {
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
    pub(super) fn is_crowded(&self) -> bool {
        self.served * 8 > self.limits.max_served_connections * 7
    }

    pub(super) fn insert(
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

    pub(super) fn set_deadline(&mut self, slot: usize, at: Micros) {
        if let Some(c) = self.conns[slot].as_mut() {
            self.deadlines.remove(&(c.deadline, slot, c.generation));
            c.deadline = at;
            self.deadlines.insert((at, slot, c.generation));
        }
    }

    /// Closes a connection and reports what was under way on it.
    pub(super) fn drop_conn(&mut self, slot: usize) {
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

    pub(super) fn expire(&mut self) {
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
}
