//! What can happen in the simulated world, and the queue that orders it by simulated time.

use std::collections::BTreeMap;

use crate::reactor::{Call, CallError, CallId};
use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::Micros;

use super::faults::Fault;
use super::users::UserAction;
use super::workers::Heartbeat;

/// Whoever sent a request to a controller, and so gets its response.
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
    /// The request was a delayed duplicate: the sender of the original no longer waits.
    Nobody,
    /// A request that a test sends itself, by number.
    Probe(u32),
}

/// The process of a controller that made a call to an outside service.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    pub controller: usize,
    /// Which run of the controller's process it was; responses to earlier runs are dropped.
    pub run: u64,
    pub id: CallId,
}

impl Caller {
    /// The run number of callers that have given up: no process ever has it.
    const GIVEN_UP: u64 = u64::MAX;

    /// The same caller after its time-out: the call may still be executed, but the response
    /// goes nowhere.
    pub(super) fn given_up(self) -> Self {
        Caller {
            run: Self::GIVEN_UP,
            ..self
        }
    }
}

/// Something that happens at one simulated time.
pub(super) enum Event {
    /// A controller's process starts.
    StartController(usize),
    /// A controller asked to be called again by now; outdated timers are ignored.
    ControllerTimer { controller: usize, timer: u64 },
    /// A request reaches a controller.
    Request {
        controller: usize,
        request: Request,
        requester: Requester,
    },
    /// A controller's response reaches the requester.
    Response(Requester, Response),
    /// A controller's call reaches an outside service.
    ServiceCall(Caller, Call),
    /// The result of a call reaches the controller that made it.
    CallResult(Caller, Result<Response, CallError>),
    /// A message from another controller.
    PeerMessage { controller: usize, payload: Vec<u8> },
    /// A rented machine has come up.
    MachineReady(String),
    /// A worker sends its next heartbeat; outdated timers are ignored.
    HeartbeatDue { machine: String, timer: u64 },
    /// Tasks on a machine may have reached their end.
    TasksDue { machine: String, incarnation: u64 },
    /// The user of a job asks for something.
    User { job: String, action: UserAction },
    /// A watch on the state service has waited as long as it asked for.
    WatchTimeout(u64),
    /// A planned fault happens.
    Fault(Fault),
}

impl Event {
    /// The controller whose process has to run for this event.
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

/// Events by time; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Micros, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Takes the next event if it happens no later than `end`.
    pub(super) fn pop_until(&mut self, end: Micros) -> Option<(Micros, Event)> {
        let (&(at, _), _) = self.events.first_key_value()?;
        if at > end {
            return None;
        }
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
