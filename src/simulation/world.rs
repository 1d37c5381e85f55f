//! The simulated world: its components, and the event loop.

use std::collections::BTreeMap;

use crate::reactor::NetEvent;
use crate::settings::Settings;
use salttiller_protocol::http::Response;
use salttiller_records::units::{Micros, MILLISECOND};
use serde_json::{json, Value};

use super::cloud::CloudProvider;
use super::controllers::SimulatedController;
use super::days::Plan;
use super::events::{Event, EventQueue, Requester};
use super::invariants::{StartableJob, Violation};
use super::network::{decode, NetworkFaults};
use super::observations::Observations;
use super::state_service::StateService;
use super::users::Users;
use super::workers::Worker;
use super::workload::Workload;
use super::CONTROLLERS;

/// Interval between the first starts of the controllers.
const START_INTERVAL: Micros = 50 * MILLISECOND;

/// The complete state of a simulated day.
pub(super) struct World {
    pub now: Micros,
    /// Generator of the random choices during a day, drawn in the order of events.
    pub rng: fastrand::Rng,
    events: EventQueue,
    pub network: NetworkFaults,
    pub controllers: Vec<SimulatedController>,
    /// The settings of each controller.
    pub settings: Vec<Settings>,
    pub store: StateService,
    pub cloud: CloudProvider,
    /// The worker of each machine, by the machine's name.
    pub workers: BTreeMap<String, Worker>,
    pub users: Users,
    pub workload: Workload,
    /// Time at which all faults are over; the invariants on progress apply from then on.
    pub faults_end: Micros,
    /// Number of starts of tasks.
    pub starts: u32,
    pub violations: Vec<Violation>,
    pub observations: Observations,
    /// Jobs that could start more tasks but are waiting, by id.
    pub startable_jobs: BTreeMap<String, StartableJob>,
}

impl World {
    /// Creates the world at the beginning of a day.
    pub(super) fn new(plan: &Plan) -> Self {
        let mut world = World {
            now: 1,
            rng: fastrand::Rng::with_seed(plan.seed),
            events: EventQueue::default(),
            network: NetworkFaults::default(),
            controllers: Vec::new(),
            settings: (0..CONTROLLERS)
                .map(|index| controller_settings(index, plan.workload))
                .collect(),
            store: StateService::default(),
            cloud: CloudProvider::default(),
            workers: BTreeMap::new(),
            users: Users::default(),
            workload: plan.workload,
            faults_end: 0,
            starts: 0,
            violations: Vec::new(),
            observations: Observations::default(),
            startable_jobs: BTreeMap::new(),
        };
        let request_rate = world.settings[0].store_request_rate;
        world.store.limit_requests(request_rate);
        for index in 0..CONTROLLERS {
            world.controllers.push(SimulatedController::default());
            let at = 1 + index as Micros * START_INTERVAL;
            world.schedule(at, Event::StartController(index));
        }
        world.add_jobs(plan);
        world.add_faults(plan);
        world
    }

    fn add_faults(&mut self, plan: &Plan) {
        for planned in &plan.faults {
            self.faults_end = self.faults_end.max(planned.settled_at());
            self.schedule(planned.at, Event::Fault(planned.fault));
        }
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub(super) fn schedule(&mut self, at: Micros, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    /// Processes events until the time `end`, or until an invariant is violated.
    pub(super) fn run(&mut self, end: Micros) {
        while self.violations.is_empty() {
            let Some((at, event)) = self.events.pop_until(end) else {
                break;
            };
            self.now = at;
            self.dispatch(event);
        }
    }

    /// Handles an event, or postpones it if its controller is paused.
    fn dispatch(&mut self, event: Event) {
        if let Some(index) = event.receiver() {
            let paused_until = self.controllers[index].paused_until;
            if self.now < paused_until {
                // Postponed events keep their order of arrival; the controller handles all of them
                // when its pause ends.
                self.observations.events_delayed_by_pause += 1;
                return self.schedule(paused_until, event);
            }
        }
        match event {
            Event::StartController(index) => self.start_controller(index),
            Event::ControllerTimer { controller, timer } => {
                self.on_controller_timer(controller, timer);
            }
            Event::Request {
                controller,
                request,
                requester,
            } => self.receive_request(controller, request, requester),
            Event::Response(requester, response) => self.on_response(requester, &response),
            Event::ResponseCopy(heartbeat, response) => {
                self.on_response_copy(&heartbeat, &response);
            }
            Event::ServiceCall(caller, call) => self.serve_call(caller, &call),
            Event::CallResult(caller, result) => {
                if self.controllers[caller.controller].run() == caller.run {
                    let event = NetEvent::Response(caller.id, result);
                    self.step_controller(caller.controller, Some(event));
                }
            }
            Event::PeerMessage {
                controller,
                payload,
            } => self.receive_peer_message(controller, payload),
            Event::HeartbeatDue { machine, timer } => self.on_heartbeat_due(&machine, timer),
            Event::TasksDue {
                machine,
                incarnation,
            } => self.on_tasks_due(&machine, incarnation),
            Event::MachineReady(machine) => self.start_worker(&machine),
            Event::User { job, action } => self.on_user_action(job, action),
            Event::WatchTimeout(watch) => self.on_watch_timeout(watch),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn on_response(&mut self, requester: Requester, response: &Response) {
        match requester {
            Requester::Worker(heartbeat) => self.on_heartbeat_response(&heartbeat, response),
            Requester::User {
                job,
                action,
                sent_at,
            } => self.on_user_response(&job, action, sent_at, response),
            Requester::Nobody => {}
            Requester::Probe(number) => {
                let answer = (response.status, decode(&response.body));
                self.users.probe_responses.insert(number, answer);
            }
        }
    }

    /// Returns the controller that the leader's record names, or the first controller if there is
    /// no such record.
    pub(super) fn leader(&self) -> usize {
        let record = self.store.value("st/leader");
        let holder = record.and_then(|value| value["holder"].as_str());
        let mut settings = self.settings.iter();
        settings
            .position(|s| Some(s.name.as_str()) == holder)
            .unwrap_or(0)
    }
}

/// Creates the settings of a controller.
fn controller_settings(index: usize, workload: Workload) -> Settings {
    let sample = crate::settings::tests::sample();
    let mut settings: Value = serde_json::from_str(&sample).unwrap();
    settings["host_name"] = json!(format!("t-{index}"));
    let others = (0..CONTROLLERS).filter(|other| *other != index);
    let others: Vec<Value> = others
        .map(|other| json!({"host_name": format!("t-{other}"), "area": "a", "addr": format!("127.0.0.1:70{other}1")}))
        .collect();
    settings["others"] = json!(others);
    if workload == Workload::Pipelines {
        settings["facts"]["state"]["next"] =
            json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
    }
    Settings::parse("sim", &settings.to_string()).unwrap()
}
