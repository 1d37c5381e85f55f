//! Dispatch of calls to the external services, and the watches and leases of the state service.

use crate::reactor::{Call, CallError};
use crate::simulation::events::{Caller, Event};
use crate::simulation::faults::RecordLoss;
use crate::simulation::network::{decode, CLOUD};
use crate::simulation::world::World;
use salttiller_protocol::http::Response;
use serde_json::Value;

use super::Watch;

impl World {
    /// Handles a call that reaches an external service.
    pub(crate) fn serve_call(&mut self, caller: Caller, call: &Call) {
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let body = decode(&call.body);
        if call.destination == CLOUD {
            let response = self.serve_cloud(path, &body);
            return self.return_result(caller, Ok(response));
        }
        self.expire_store_leases();
        if self.is_store_unavailable_to(caller.controller) {
            let unavailable = Response::new(503, Vec::new());
            return self.return_result(caller, Ok(unavailable));
        }
        if self.is_over_limit() {
            self.observations.requests_over_limit += 1;
            return self.return_result(caller, Ok(Response::new(429, Vec::new())));
        }
        let response = match path {
            "/store" => {
                self.observations.pages_read += 1;
                self.store.list(query)
            }
            "/follow" => match self.store.watch(caller, query) {
                Ok(response) => response,
                Err((watch, wait)) => {
                    return self.schedule(self.now + wait, Event::WatchTimeout(watch));
                }
            },
            "/commit" => self.commit(&body),
            "/grants" => self.store.grant_lease(self.now, &body),
            renewal => self.store.renew_lease(self.now, renewal),
        };
        self.return_result(caller, Ok(response));
    }

    /// Whether the state service refuses the present call with 429.
    fn is_over_limit(&mut self) -> bool {
        let is_shed = self.now < self.store.shedding_until && self.rng.bool();
        is_shed || !self.store.requests.take(1.0, self.now)
    }

    /// Whether the state service refuses a controller now, individually or in an outage.
    pub(crate) fn is_store_unavailable_to(&self, controller: usize) -> bool {
        let refused_until = self.controllers[controller].refused_until;
        self.now < self.store.outage_until || self.now < refused_until
    }

    /// Executes a transaction and notifies the watches.
    pub(crate) fn commit(&mut self, body: &Value) -> Response {
        let response = self.store.commit(body, &mut self.observations);
        if response.status == 200 {
            self.notify_watches();
        }
        response
    }

    /// Handles a watch that has reached its maximum wait. While the state service refuses the
    /// caller, the watch is extended to the end of the refusal.
    pub(crate) fn on_watch_timeout(&mut self, watch: u64) {
        let Some(caller) = self.store.watches.get(&watch).map(|w| w.caller) else {
            return;
        };
        if self.is_store_unavailable_to(caller.controller) {
            let refused_until = self.controllers[caller.controller].refused_until;
            let until = self.store.outage_until.max(refused_until);
            return self.schedule(until, Event::WatchTimeout(watch));
        }
        self.answer_watch(watch);
    }

    fn answer_watch(&mut self, watch: u64) {
        if let Some((caller, response)) = self.store.end_watch(watch) {
            self.return_result(caller, Ok(response));
        }
    }

    fn notify_watches(&mut self) {
        let is_refused = |w: &Watch| self.now < self.controllers[w.caller.controller].refused_until;
        let watches = self.store.watches.iter().filter(|(_, w)| !is_refused(w));
        let ready: Vec<u64> = watches.map(|(number, _)| *number).collect();
        for watch in ready {
            self.answer_watch(watch);
        }
    }

    fn expire_store_leases(&mut self) {
        for lease in self.store.expired_leases(self.now) {
            if self.store.delete_lease(lease) {
                self.notify_watches();
            }
        }
    }

    /// Makes the state service lose records and restart. The restart breaks the connections of all
    /// watches.
    pub(crate) fn lose_records(&mut self, loss: RecordLoss) {
        self.store.lose_records(loss);
        for watch in std::mem::take(&mut self.store.watches).into_values() {
            self.return_result(watch.caller, Err(CallError::NoResponse));
        }
    }
}
