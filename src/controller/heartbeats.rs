//! Reports of workers, and the answers to them.

use super::*;

impl<N: Net> Controller<N> {
    pub(super) fn on_heartbeat(&mut self, conn: ConnectionId, body: &[u8]) {
        let r = match worker_protocol::parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::info!("heartbeat rejected: {error}");
                return self.reactor.respond(conn, Response::new(400, Vec::new()));
            }
        };
        if !self.registry.loaded() {
            return self.refuse(conn, 503, 1);
        }
        if self.held.is_some() {
            return self.on_report_while_held(conn, &r);
        }
        if self.speaks_against_records(&r) {
            return self.refuse(conn, 503, 1);
        }
        let me = self.settings.name.clone();
        let elsewhere = |to: Option<&str>| Response::new(421, worker_protocol::encode_redirect(to));
        let Some(rec) = self.registry.replica.machines.get(&r.machine) else {
            // No record: the leader finds out what it is.
            let context = context!(self);
            if let Some(l) = &mut self.leader {
                l.on_unknown_machine(&context);
                return self.reactor.respond(conn, elsewhere(None));
            }
            let to = self
                .registry
                .replica
                .leader
                .as_ref()
                .map(|l| l.value.holder.clone());
            let to = to.filter(|h| *h != me);
            return self.reactor.respond(conn, elsewhere(to.as_deref()));
        };
        let region = rec.value.region.clone();
        if !self.regions.contains_key(&region) {
            let to = self.registry.replica.regions.get(&region);
            let to = to.map(|r| r.value.owner.clone()).filter(|o| *o != me);
            self.redirects.note(&region, &r.machine, self.now);
            return self.reactor.respond(conn, elsewhere(to.as_deref()));
        }
        self.now = self.reactor.clock();
        if !self.authority() {
            return self.refuse(conn, 503, 1);
        }
        let context = context!(self);
        let Some(owned) = self.regions.get_mut(&region) else {
            return;
        };
        let token = owned.token;
        let verdict = owned.on_heartbeat(&r, &context);
        let answer = match verdict {
            HeartbeatOutcome::Accepted(c) => {
                Response::new(200, worker_protocol::encode_commands(token, &c))
            }
            HeartbeatOutcome::Stale => {
                log::debug!("node: {}: late or repeated report passed over", r.machine);
                Response::refusal(503, 1)
            }
            HeartbeatOutcome::Superseded => {
                log::info!(
                    "node: {}: has seen token {}, ours is {token}",
                    r.machine,
                    r.token
                );
                self.retake.insert(region);
                self.registry.want_barrier();
                Response::refusal(503, 1)
            }
            HeartbeatOutcome::UnknownMachine => elsewhere(None),
        };
        // The clock is read again as the bytes go out. A pause between here and
        // the wire does no harm: the worker counts its lease from when it sent
        // the report, and drops answers after 4 s.
        self.now = self.reactor.clock();
        if answer.status == 200 && !self.authority() {
            return self.refuse(conn, 503, 1);
        }
        self.reactor.respond(conn, answer);
    }
}
