//! Calls to the state service and to the cloud: sends the calls that their clients request, and
//! passes the responses back to the clients.

use std::collections::BTreeMap;

use salttiller_protocol::http::Response;
use salttiller_records::units::Micros;

use super::Controller;
use crate::cloud::CloudEvent;
use crate::reactor::{Call, CallError, CallId, Net};
use crate::state_store::StateStoreEvent;

/// Index of the state service among the network layer's destinations.
const STATE_STORE: usize = 0;
/// Index of the cloud among the network layer's destinations.
const CLOUD: usize = 1;

/// A call without a response yet, with the client's id of the operation.
#[derive(Debug)]
pub(super) enum OutstandingCall {
    StateStore(u64),
    Cloud(u64),
}

/// Calls without a response yet, by id.
pub(super) type OutstandingCalls = BTreeMap<CallId, OutstandingCall>;

impl<N: Net> Controller<N> {
    /// Sends the calls that the state service's client requests. Returns the client's events and
    /// the time at which to call this method again.
    pub(super) fn call_state_store(&mut self) -> (Vec<StateStoreEvent>, Micros) {
        let mut events = Vec::new();
        let now = self.cluster.now;
        let (calls, next) = self.cluster.state_store.pump(now, &mut events);
        for call in calls {
            let id = self.net.call(Call {
                destination: STATE_STORE,
                method: call.method,
                target: call.target,
                body: call.body,
                timeout: call.timeout,
            });
            self.outstanding_calls
                .insert(id, OutstandingCall::StateStore(call.op));
        }
        (events, next)
    }

    /// Sends the call that the cloud's client requests, if any. Returns the time at which to call
    /// this method again.
    pub(super) fn call_cloud(&mut self) -> Micros {
        self.cloud_client.set_leading(self.leadership.is_leading());
        let (call, next) = self.cloud_client.next_call(self.cluster.now);
        if let Some(call) = call {
            let id = self.net.call(Call {
                destination: CLOUD,
                method: call.method,
                target: call.target,
                body: call.body,
                timeout: call.timeout,
            });
            self.outstanding_calls
                .insert(id, OutstandingCall::Cloud(call.call_id));
        }
        next
    }

    /// Handles the end of a call.
    pub(super) fn on_response(&mut self, call: CallId, result: Result<Response, CallError>) {
        match self.outstanding_calls.remove(&call) {
            Some(OutstandingCall::StateStore(op)) => self.on_state_store_response(op, result),
            Some(OutstandingCall::Cloud(op)) => {
                let now = self.cluster.now;
                for event in self.cloud_client.on_response(op, result, now) {
                    self.on_cloud_event(&event);
                }
            }
            None => {}
        }
    }

    fn on_state_store_response(&mut self, op: u64, result: Result<Response, CallError>) {
        if matches!(result, Err(CallError::NoResponse)) {
            // After a partition, calls on the other idle connections would time out, too.
            self.net.close_idle_connections(STATE_STORE);
        }
        let mut events = Vec::new();
        let now = self.cluster.now;
        let state_store = &mut self.cluster.state_store;
        state_store.on_response(op, result, now, &mut events);
        self.on_state_store_events(events);
    }

    fn on_cloud_event(&mut self, event: &CloudEvent) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        if let CloudEvent::Released(machines) = event {
            for region in self.ownership.regions_mut() {
                region.on_released(machines, &context);
            }
        }
        if let Some(leader) = self.leadership.leader_mut() {
            leader.on_cloud_event(event, &context);
        }
    }
}
