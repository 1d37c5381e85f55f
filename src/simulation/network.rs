//! Simulated network: the [`Net`] implementation of each controller's process, and the delivery of
//! responses, calls and messages subject to latency, partitions and delays.
//!
//! Partitions of one controller are part of that controller (`controllers::Partitions`);
//! [`NetworkFaults`] holds the faults that affect all traffic.

use std::cell::RefCell;
use std::rc::Rc;

use crate::reactor::{Call, CallError, CallId, ConnectionId, Net};
use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::Value;

use super::controllers::ConnectionFailure;
use super::events::{Caller, Event, Requester};
use super::users::UserAction;
use super::world::World;
use super::CONTROLLERS;

/// Minimum network latency; the maximum is twice this value.
const LATENCY: Micros = MILLISECOND;

/// Maximum additional delay of a response to a worker, in milliseconds.
const MAX_RESPONSE_DELAY_MS: u64 = 6000;

/// Time after which a controller detects that the response to its call was lost.
const LOST_RESPONSE_DETECTION_DELAY: Micros = 2 * SECOND;

/// [`Call::destination`] of the state service.
pub(super) const STATE_SERVICE: usize = 0;
/// [`Call::destination`] of the cloud.
pub(super) const CLOUD: usize = 1;

/// Output that a controller passes to the network.
pub(super) enum Outgoing {
    /// The response to a request on a connection.
    Respond(ConnectionId, Response),
    /// A call to an external service.
    Call(CallId, Call),
    /// A message to a peer, by its index in the controller's settings.
    Send(usize, Vec<u8>),
    /// The reply to a peer's message on a connection.
    Reply(ConnectionId, Vec<u8>),
    /// A request to close the idle connections to an external service.
    CloseIdleConnections(usize),
}

/// Network interface of one run of a controller's process.
#[derive(Clone, Default)]
pub(super) struct SimNet {
    state: Rc<RefCell<NetState>>,
}

#[derive(Default)]
struct NetState {
    clock: Micros,
    wall: Micros,
    last_call: CallId,
    outgoing: Vec<Outgoing>,
}

impl SimNet {
    /// Creates a network interface whose call numbers begin above `first_call`.
    pub(super) fn new(first_call: CallId) -> Self {
        let net = SimNet::default();
        net.state.borrow_mut().last_call = first_call;
        net
    }

    /// Sets the controller's monotonic clock and wall clock.
    pub(super) fn set_clocks(&self, clock: Micros, wall: Micros) {
        let mut state = self.state.borrow_mut();
        (state.clock, state.wall) = (clock, wall);
    }

    /// Returns the controller's monotonic clock.
    pub(super) fn monotonic_clock(&self) -> Micros {
        self.state.borrow().clock
    }

    /// Returns the controller's output since the last call.
    pub(super) fn take_outgoing(&self) -> Vec<Outgoing> {
        std::mem::take(&mut self.state.borrow_mut().outgoing)
    }

    fn push(&self, outgoing: Outgoing) {
        self.state.borrow_mut().outgoing.push(outgoing);
    }
}

impl Net for SimNet {
    fn monotonic_now(&mut self) -> Micros {
        self.monotonic_clock()
    }

    fn wall_clock_now(&self) -> Micros {
        self.state.borrow().wall
    }

    fn respond(&mut self, id: ConnectionId, response: Response) {
        self.push(Outgoing::Respond(id, response));
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_call += 1;
            state.last_call
        };
        self.push(Outgoing::Call(id, call));
        id
    }

    fn send(&mut self, peer: usize, payload: &[u8]) {
        self.push(Outgoing::Send(peer, payload.to_vec()));
    }

    fn reply(&mut self, id: ConnectionId, payload: &[u8]) {
        self.push(Outgoing::Reply(id, payload.to_vec()));
    }

    fn close_idle_connections(&mut self, dest: usize) {
        self.push(Outgoing::CloseIdleConnections(dest));
    }
}

/// End times of the faults that affect all traffic; 0 if there was no such fault.
#[derive(Default)]
pub(super) struct NetworkFaults {
    /// Responses to workers are delayed by up to [`MAX_RESPONSE_DELAY_MS`].
    pub worker_responses_delayed_until: Micros,
    /// Responses with commands reach their workers a second time.
    pub worker_responses_duplicated_until: Micros,
    /// Heartbeats are duplicated, and the duplicates arrive late at a random controller.
    pub heartbeats_duplicated_until: Micros,
    /// A third of the commits get no response and are executed late.
    pub commits_delayed_until: Micros,
    /// Calls to the state service take up to 1.5 s.
    pub store_slow_until: Micros,
}

/// Outcome of the delivery of a call to an external service.
enum CallDelivery {
    Arrives {
        at: Micros,
    },
    ConnectionReset {
        at: Micros,
    },
    /// The caller gets no response; the call may still be executed.
    TimesOut {
        executed_at: Option<Micros>,
    },
}

impl World {
    /// Draws the latency of the next message.
    pub(super) fn draw_latency(&mut self) -> Micros {
        LATENCY + self.rng.u64(0..LATENCY)
    }

    /// Delivers, delays or drops an output of a controller.
    pub(super) fn deliver(&mut self, controller: usize, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Respond(id, response) => self.deliver_response(controller, id, response),
            Outgoing::Call(id, call) => self.deliver_call(controller, id, call),
            Outgoing::Send(peer, payload) => self.deliver_to_peer(controller, peer, payload),
            // The simulation sends peer messages without connections and has no idle connections.
            Outgoing::Reply(..) | Outgoing::CloseIdleConnections(_) => {}
        }
    }

    fn deliver_response(&mut self, controller: usize, id: ConnectionId, response: Response) {
        let Some(requester) = self.controllers[controller].take_requester(id) else {
            return;
        };
        let to_worker = matches!(requester, Requester::Worker(_));
        let lost = to_worker && self.now < self.controllers[controller].partitions.workers_until;
        let mut latency = self.draw_latency();
        let delayed = to_worker && self.now < self.network.worker_responses_delayed_until;
        if delayed && self.rng.bool() {
            latency += self.rng.u64(0..MAX_RESPONSE_DELAY_MS) * MILLISECOND;
        }
        let cancels = |action: &UserAction| *action == UserAction::Cancel;
        if matches!(&requester, Requester::User { action, .. } if cancels(action)) {
            self.users.last_cancel_answered_by = controller;
        }
        if !lost {
            self.schedule(self.now + latency, Event::Response(requester, response));
        }
    }

    fn deliver_call(&mut self, controller: usize, id: CallId, call: Call) {
        let run = self.controllers[controller].run();
        let caller = Caller {
            controller,
            run,
            id,
        };
        let no_response = Event::CallResult(caller, Err(CallError::NoResponse));
        match self.call_delivery(controller, &call) {
            CallDelivery::Arrives { at } => self.schedule(at, Event::ServiceCall(caller, call)),
            CallDelivery::ConnectionReset { at } => self.schedule(at, no_response),
            CallDelivery::TimesOut { executed_at } => {
                let timeout = self.now + call.timeout;
                if let Some(at) = executed_at {
                    self.schedule(at, Event::ServiceCall(caller.timed_out(), call));
                }
                self.schedule(timeout, no_response);
            }
        }
    }

    fn call_delivery(&mut self, controller: usize, call: &Call) -> CallDelivery {
        let latency = self.draw_latency();
        let to_store = call.destination == STATE_SERVICE;
        let partitions = &self.controllers[controller].partitions;
        if to_store && self.now < partitions.store_until {
            if partitions.store_failure == ConnectionFailure::Reset {
                let at = self.now + latency;
                return CallDelivery::ConnectionReset { at };
            }
            // Half of the POST calls are held back by the partition and executed when it ends, long
            // after their callers have timed out.
            let partition_end = partitions.store_until + latency;
            let executed = call.method == "POST" && self.rng.bool();
            let executed_at = executed.then_some(partition_end);
            return CallDelivery::TimesOut { executed_at };
        }
        let commits_delayed = self.now < self.network.commits_delayed_until;
        if call.target == "/commit" && commits_delayed && self.rng.u32(0..3) == 0 {
            let executed_at = Some(self.now + SECOND * self.rng.u64(2..13));
            self.observations.delayed_commits += 1;
            return CallDelivery::TimesOut { executed_at };
        }
        if to_store && self.now < self.network.store_slow_until {
            let delay = self.rng.u64(50..1500) * MILLISECOND;
            let at = self.now + delay;
            if delay > call.timeout {
                let executed_at = Some(at);
                return CallDelivery::TimesOut { executed_at };
            }
            return CallDelivery::Arrives { at };
        }
        let at = self.now + latency;
        CallDelivery::Arrives { at }
    }

    fn deliver_to_peer(&mut self, sender: usize, peer: usize, payload: Vec<u8>) {
        let name = &self.settings[sender].peers[peer].name;
        let receiver = (0..CONTROLLERS)
            .find(|other| self.settings[*other].name == *name)
            .unwrap();
        let partitioned_until = |index: usize| self.controllers[index].partitions.peers_until;
        let lost = self.now < partitioned_until(sender).max(partitioned_until(receiver));
        let latency = self.draw_latency();
        if !lost {
            let event = Event::PeerMessage {
                controller: receiver,
                payload,
            };
            self.schedule(self.now + latency, event);
        }
    }

    /// Fails a request whose connection breaks before there is a response.
    pub(super) fn fail_request(&mut self, requester: Requester) {
        let at = self.now + self.draw_latency();
        let no_response = Response::new(0, Vec::new());
        self.schedule(at, Event::Response(requester, no_response));
    }

    /// Returns the result of a call to the caller. A partition loses results as well as calls.
    pub(super) fn return_result(&mut self, caller: Caller, result: Result<Response, CallError>) {
        let latency = self.draw_latency();
        if self.now < self.controllers[caller.controller].partitions.store_until {
            let lost = Err(CallError::NoResponse);
            let at = self.now + LOST_RESPONSE_DETECTION_DELAY;
            self.schedule(at, Event::CallResult(caller, lost));
        } else {
            self.schedule(self.now + latency, Event::CallResult(caller, result));
        }
    }
}

/// Creates a response with a body.
pub(super) fn response(status: u16, body: Value) -> Response {
    Response::new(status, rmp_serde::to_vec(&body).unwrap())
}

/// Creates a request to a controller.
pub(super) fn request(method: &str, path: &str, body: Vec<u8>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        query: String::new(),
        body,
        close: false,
    }
}

/// Decodes a body; returns null if the body cannot be decoded.
pub(super) fn decode(body: &[u8]) -> Value {
    rmp_serde::from_slice(body).unwrap_or(Value::Null)
}
