//! Events of the simulation, and the queue that orders them by simulated time.

use std::collections::BTreeMap;

use crate::reactor::{Call, CallError, CallId};
use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::Micros;

use super::faults::Fault;
use super::users::UserAction;
use super::workers::Heartbeat;

/// Sender of a request to a controller, who receives the response.
#[derive(Clone)]
pub(super) enum Requester {
    /// A worker that sent a heartbeat.
    Worker(Heartbeat),
    /// The user of a job.
    User {
        job: String,
        action: UserAction,
        sent_at: Micros,
    },
    /// Nobody receives the response: the request is a delayed duplicate, whose original sender no
    /// longer waits.
    Nobody,
    /// A test that sent the request directly; the number identifies the request.
    Probe(u32),
}

/// Origin of a call to an external service: a controller's process and the call's number.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    pub controller: usize,
    /// Number of the run of the controller's process; responses to earlier runs are dropped.
    pub run: u64,
    pub id: CallId,
}

impl Caller {
    /// Run number of callers whose call has timed out; no process ever has this number.
    const TIMED_OUT_RUN: u64 = u64::MAX;

    /// Returns the caller after its timeout: the call may still be executed, but its response is
    /// dropped.
    pub(super) fn timed_out(self) -> Self {
        Caller {
            run: Self::TIMED_OUT_RUN,
            ..self
        }
    }
}

/// An event at one point of simulated time.
pub(super) enum Event {
    /// A controller's process starts.
    StartController(usize),
    /// A controller's timer expires; only the timer set last counts.
    ControllerTimer { controller: usize, timer: u64 },
    /// A request reaches a controller.
    Request {
        controller: usize,
        request: Request,
        requester: Requester,
    },
    /// A controller's response reaches the requester.
    Response(Requester, Response),
    /// A copy of a response that a worker has accepted reaches the worker.
    ResponseCopy(Heartbeat, Response),
    /// A controller's call reaches an external service.
    ServiceCall(Caller, Call),
    /// The result of a call reaches the controller that made it.
    CallResult(Caller, Result<Response, CallError>),
    /// A message from a peer reaches a controller.
    PeerMessage { controller: usize, payload: Vec<u8> },
    /// A rented machine has booted.
    MachineReady(String),
    /// A worker's heartbeat is due; only the timer set last counts.
    HeartbeatDue { machine: String, timer: u64 },
    /// Tasks on a machine may have reached the end of their run time.
    TasksDue { machine: String, incarnation: u64 },
    /// The user of a job sends a request.
    User { job: String, action: UserAction },
    /// A watch on the state service reaches its requested maximum wait.
    WatchTimeout(u64),
    /// A planned fault begins.
    Fault(Fault),
}

impl Event {
    /// Returns the controller whose process handles this event, if any.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Event::ControllerTimer { controller, .. }
            | Event::Request { controller, .. }
            | Event::PeerMessage { controller, .. } => Some(*controller),
            Event::CallResult(caller, _) => Some(caller.controller),
            _ => None,
        }
    }
}

/// Events ordered by time; events at the same time keep the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Micros, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time.
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Removes and returns the next event and its time, if the event happens no later than `end`.
    pub(super) fn pop_until(&mut self, end: Micros) -> Option<(Micros, Event)> {
        let (&(at, _), _) = self.events.first_key_value()?;
        if at > end {
            return None;
        }
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
