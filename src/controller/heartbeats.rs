//! Workers' heartbeats and the responses to them. Each successful response renews a worker's
//! lease, so a controller sends one only while it has authority.

use salttiller_protocol::http::Response;

use super::http_status::{BAD_REQUEST, MISDIRECTED, OK, RETRY_AFTER_S, UNAVAILABLE};
use super::Controller;
use crate::reactor::{ConnectionId, Net};
use crate::region::HeartbeatOutcome;
use crate::worker_protocol::{self, Heartbeat};

impl<N: Net> Controller<N> {
    /// Handles a worker's heartbeat.
    pub(super) fn on_heartbeat(&mut self, conn: ConnectionId, body: &[u8]) {
        let heartbeat = match worker_protocol::parse_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::info!("heartbeat rejected: {error}");
                return self.respond(conn, BAD_REQUEST, Vec::new());
            }
        };
        if !self.cluster.state_store.is_loaded() {
            return self.refuse_unavailable(conn);
        }
        if self.is_hold_active() {
            return self.on_heartbeat_in_hold(conn, &heartbeat);
        }
        if self.contradicts_records(&heartbeat) {
            return self.refuse_unavailable(conn);
        }
        let machines = &self.cluster.state_store.replica.machines;
        let Some(machine) = machines.get(&heartbeat.machine) else {
            return self.redirect_unknown_machine(conn);
        };
        let region = machine.value.region.clone();
        if !self.ownership.owns(&region) {
            let now = self.cluster.now;
            self.reachability
                .record_redirect(&region, &heartbeat.machine, now);
            return self.redirect_to_owner(conn, &region);
        }
        self.answer_heartbeat(conn, &region, &heartbeat);
    }

    /// Redirects a machine without a record to the leader, which then requests the cloud's
    /// inventory to identify the machine.
    fn redirect_unknown_machine(&mut self, conn: ConnectionId) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        if let Some(leader) = self.leadership.leader_mut() {
            leader.on_unknown_machine(&context);
            return self.redirect(conn, None);
        }
        let leader = self.cluster.recorded_leader().map(str::to_owned);
        self.redirect(conn, leader);
    }

    /// Redirects a worker to the owner of a region, if one is on record.
    pub(super) fn redirect_to_owner(&mut self, conn: ConnectionId, region: &str) {
        let owner = self.cluster.recorded_owner(region).map(str::to_owned);
        self.redirect(conn, owner);
    }

    /// Redirects a worker to another controller. The redirect names no controller if `to` is
    /// `None` or this controller.
    fn redirect(&mut self, conn: ConnectionId, to: Option<String>) {
        let to = to.filter(|controller| *controller != self.cluster.settings.name);
        let body = worker_protocol::encode_redirect(to.as_deref());
        self.respond(conn, MISDIRECTED, body);
    }

    /// Applies a heartbeat to an owned region and responds with the region's commands.
    fn answer_heartbeat(&mut self, conn: ConnectionId, region: &str, heartbeat: &Heartbeat) {
        self.cluster.now = self.net.monotonic_now();
        if !self.cluster.has_authority() {
            return self.refuse_unavailable(conn);
        }
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let Some(owned) = self.ownership.get_mut(region) else {
            return;
        };
        let token = owned.token;
        let outcome = owned.on_heartbeat(heartbeat, &context);
        let response = self.heartbeat_response(region, token, heartbeat, outcome);
        // The authority is checked again right before the response is sent. A later pause is
        // harmless: the worker counts its lease from the time at which it sent the heartbeat, and
        // drops responses after 4 s.
        self.cluster.now = self.net.monotonic_now();
        if response.status == OK && !self.cluster.has_authority() {
            return self.refuse_unavailable(conn);
        }
        self.net.respond(conn, response);
    }

    fn heartbeat_response(
        &mut self,
        region: &str,
        token: u64,
        heartbeat: &Heartbeat,
        outcome: HeartbeatOutcome,
    ) -> Response {
        let machine = &heartbeat.machine;
        match outcome {
            HeartbeatOutcome::Accepted(commands) => {
                Response::new(OK, worker_protocol::encode_commands(token, &commands))
            }
            HeartbeatOutcome::Stale => {
                log::debug!("region={region} machine={machine}: stale heartbeat ignored");
                Response::refusal(UNAVAILABLE, RETRY_AFTER_S)
            }
            HeartbeatOutcome::Superseded => {
                let seen = heartbeat.token;
                log::info!(
                    "region={region} machine={machine} token={token}: superseded, the machine has seen token {seen}"
                );
                self.ownership.request_reacquisition(region);
                self.cluster.state_store.request_barrier();
                Response::refusal(UNAVAILABLE, RETRY_AFTER_S)
            }
            HeartbeatOutcome::UnknownMachine => {
                Response::new(MISDIRECTED, worker_protocol::encode_redirect(None))
            }
        }
    }
}
