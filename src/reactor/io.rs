//! Bytes in and out: what the poller says is ready is read, taken apart and written.

use super::*;

impl Reactor {
    pub(super) fn ready(&mut self, slot: usize, readable: bool, writable: bool) {
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
    pub(super) fn flush(&mut self, slot: usize) -> bool {
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

    /// Takes what can be made of the bytes that have come.
    pub(super) fn digest(&mut self, slot: usize) {
        loop {
            let Some(c) = self.conns[slot].as_mut() else {
                return;
            };
            match c.role {
                Role::Reading => return self.take_request(slot),
                Role::Answering { ref mut close } => {
                    // Requests sent ahead of an answer are not served.
                    if !c.rbuf.is_empty() {
                        *close = true;
                        c.rbuf.clear();
                    }
                    return;
                }
                Role::Closing | Role::MeshOut { .. } => return c.rbuf.clear(),
                Role::MeshIn => {
                    if !self.take_frame(slot) {
                        return;
                    }
                }
                Role::Idle { .. } => {
                    if !c.rbuf.is_empty() {
                        self.drop_conn(slot); // nothing was asked
                    }
                    return;
                }
                Role::Calling { dest, id, .. } => return self.take_response(slot, dest, id),
            }
        }
    }

    /// Takes a request of a user or worker, once it is whole.
    fn take_request(&mut self, slot: usize) {
        let now = self.now;
        let Some(c) = self.conns[slot].as_mut() else {
            return;
        };
        if c.rbuf.is_empty() {
            return;
        }
        match http::parse_request(&c.rbuf) {
            Ok(None) => {
                // The deadline counts from the first byte, so a slow sender can't stretch
                // it byte by byte.
                let at = now + SLOW_SENDER;
                if c.deadline > at {
                    self.set_deadline(slot, at);
                }
            }
            Ok(Some((req, used))) => {
                c.rbuf.drain(..used);
                if c.rbuf.capacity() > 32 * 1024 {
                    c.rbuf.shrink_to(4096);
                }
                // Requests sent ahead of an answer are not served.
                let close = req.close || !c.rbuf.is_empty();
                c.role = Role::Answering { close };
                let id = ConnectionId {
                    slot,
                    generation: c.generation,
                };
                self.set_deadline(slot, now + ANSWER_WITHIN);
                self.out.push_back(NetEvent::Request(id, req));
            }
            Err(e) => {
                log::debug!("reactor: request: {e}");
                let mut r = Response::new(e.status(), Vec::new());
                r.close = true;
                c.role = Role::Closing;
                http::write_response(&mut c.wbuf, &r);
                self.set_deadline(slot, now + SECOND);
                self.flush(slot);
            }
        }
    }

    /// Takes a frame of another controller, if it is whole. Whether there may be more.
    fn take_frame(&mut self, slot: usize) -> bool {
        let Some(c) = self.conns[slot].as_mut() else {
            return false;
        };
        let Some(head) = c.rbuf.get(..4) else {
            return false;
        };
        let n = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if n > MAX_FRAME {
            log::info!("reactor: mesh: frame of {n} bytes, connection closed");
            self.drop_conn(slot);
            return false;
        }
        if c.rbuf.len() < 4 + n {
            return false;
        }
        let frame = c.rbuf[4..4 + n].to_vec();
        c.rbuf.drain(..4 + n);
        let id = ConnectionId {
            slot,
            generation: c.generation,
        };
        let at = self.now + MESH_SILENCE;
        self.set_deadline(slot, at);
        self.out.push_back(NetEvent::Frame(id, frame));
        true
    }

    /// Takes the answer to a call, once it is whole.
    fn take_response(&mut self, slot: usize, dest: usize, id: CallId) {
        let now = self.now;
        let Some(c) = self.conns[slot].as_mut() else {
            return;
        };
        match http::parse_response(&c.rbuf) {
            Ok(None) => {}
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
            }
            Err(e) => {
                log::info!("reactor: answer from {}: {e}", self.dests[dest].host);
                if e == http::HttpError::BodyTooLong {
                    let end = NetEvent::Response(id, Err(CallError::TooLarge));
                    self.out.push_back(end);
                    c.role = Role::Idle { dest };
                }
                self.drop_conn(slot);
            }
        }
    }
}
