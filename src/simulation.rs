//! A small world to test whole controllers in: three of them, a state service,
//! a cloud and workers, written from the protocol, with faults drawn from a
//! seed. Time is simulated, so a run takes as long as its computing and the same
//! seed gives the same run. The protocol's rules are checked as the run goes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};

use crate::controller::Controller;
use crate::fault_injection::{disable, Safeguard};
use crate::reactor::{Call, CallError, CallId, ConnectionId, Net, NetEvent};
use crate::settings::Settings;
use salttiller_protocol::http::{query_value, Request, Response};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

mod cloud;
mod compound_failures;
mod faults;
mod invariants;
mod lost_records;
mod partial_failures;
mod pipelines;
mod scale;
mod scenarios;
mod state_service;
mod trace_digest;
mod users;
mod workers;

use faults::Fault;

enum Out {
    Respond(ConnectionId, Response),
    Call(CallId, Call),
    Send(usize, Vec<u8>),
    Reply(ConnectionId, Vec<u8>),
    ResetDest(usize),
}

#[derive(Clone)]
struct SimNet {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Default)]
struct Shared {
    clock: Micros,
    wall: Micros,
    next_call: CallId,
    out: Vec<Out>,
}

impl Net for SimNet {
    fn clock(&mut self) -> Micros {
        self.shared.borrow().clock
    }
    fn wall(&self) -> Micros {
        self.shared.borrow().wall
    }
    fn respond(&mut self, id: ConnectionId, r: Response) {
        self.shared.borrow_mut().out.push(Out::Respond(id, r));
    }
    fn call(&mut self, call: Call) -> CallId {
        let mut s = self.shared.borrow_mut();
        s.next_call += 1;
        let id = s.next_call;
        s.out.push(Out::Call(id, call));
        id
    }
    fn send(&mut self, peer: usize, payload: &[u8]) {
        self.shared
            .borrow_mut()
            .out
            .push(Out::Send(peer, payload.to_vec()));
    }
    fn reply(&mut self, id: ConnectionId, payload: &[u8]) {
        self.shared
            .borrow_mut()
            .out
            .push(Out::Reply(id, payload.to_vec()));
    }
    fn close_idle_connections(&mut self, dest: usize) {
        self.shared.borrow_mut().out.push(Out::ResetDest(dest));
    }
}

/// Where an answer of a controller goes.
#[derive(Clone)]
enum Requester {
    Worker {
        machine: String,
        season: u64,
        sent: Micros,
        tally: u64,
    },
    User {
        job: String,
        what: Action,
        sent: Micros,
    },
    /// A copy came: whoever sent the original has long moved on.
    Nobody,
    /// A test's own request, by number.
    Probe(u32),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Action {
    Submit,
    Poll,
    Abort,
}

enum Event {
    Wake(usize, u64),
    Boot(usize),
    /// A request reaches a controller.
    Ask(usize, Request, Requester),
    /// A controller's answer reaches who asked.
    Answer(Requester, Response),
    /// A call reaches an outside service.
    Serve(usize, u64, CallId, Call),
    Returned(usize, u64, CallId, Result<Response, CallError>),
    Frame(usize, Vec<u8>),
    Report(String, u64),
    Progress(String, u64),
    MachineUp(String),
    User(String, Action),
    WatchEnds(u64),
    Fault(Fault),
}

struct SimulatedController {
    node: Option<Controller<SimNet>>,
    shared: Rc<RefCell<Shared>>,
    boot: Micros,
    life: u64,
    wake: u64,
    conns: BTreeMap<u32, Requester>,
    next_conn: u32,
    cut_store: Micros,
    cut_workers: Micros,
    cut_mesh: Micros,
    cut_users: Micros,
    /// Cuts to the state service reset instead of holding back.
    resets: bool,
    /// Until when the state service refuses it alone.
    refused: Micros,
    away: Micros,
    /// Until when it stands still while its clocks run on.
    frozen: Micros,
}

#[derive(Clone)]
struct Task {
    attempt: u64,
    stage: &'static str,
    why: &'static str,
    ends: Micros,
}

struct Worker {
    machine_type: String,
    spot: bool,
    season: u64,
    tally: u64,
    token: u64,
    tasks: BTreeMap<String, Task>,
    answered: Micros,
    at: usize,
    timer: u64,
    dead: bool,
    hangs: Micros,
    deaf: Micros,
    mute: Micros,
    /// Inside a zone that is cut off until then, with this controller alone.
    zone: (usize, Micros),
}

impl Worker {
    /// A machine that has not reported yet; its first report goes to controller `at`.
    fn new(machine_type: &str, spot: bool, at: usize) -> Self {
        Worker {
            machine_type: machine_type.into(),
            spot,
            season: 1,
            tally: 0,
            token: 0,
            tasks: BTreeMap::new(),
            answered: 0,
            at,
            timer: 0,
            dead: false,
            hangs: 0,
            deaf: 0,
            mute: 0,
            zone: (0, 0),
        }
    }
}

#[derive(Default)]
struct Store {
    data: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    leases: BTreeMap<u64, (Micros, Micros)>,
    next_lease: u64,
    watches: BTreeMap<u64, (usize, u64, CallId, u64)>,
    next_watch: u64,
    down: Micros,
    /// A copy of the records to set the store back to: revision, records, changes.
    backup: Backup,
}

#[derive(Default, Clone)]
struct Backup {
    revision: u64,
    data: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Value>)>,
}

struct Job {
    spec: Value,
    cpus: f64,
    tasks: u32,
    run: Micros,
    accepted: bool,
    cancel_told: Option<Micros>,
    cancel_asked: bool,
    done_told: bool,
    told_at: Micros,
    done: BTreeSet<u32>,
    is_over: bool,
    /// When a question about it was answered last.
    answered: Micros,
    accepted_at: Micros,
    /// Starts of its tasks.
    starts: u32,
    /// How many leaders there had been when its first task ended.
    first_end: u32,
    /// Jobs that must be done before it.
    needs: Vec<String>,
    /// Its tasks fail wherever they run.
    fails: bool,
}

impl Job {
    /// A job that nobody has submitted yet; its tasks run for `run`.
    fn new(spec: Value, run: Micros, needs: Vec<String>) -> Self {
        Job {
            cpus: spec["cores"].as_f64().unwrap(),
            tasks: spec["sheaves"].as_u64().unwrap() as u32,
            spec,
            run,
            accepted: false,
            cancel_told: None,
            cancel_asked: false,
            done_told: false,
            told_at: 0,
            done: BTreeSet::new(),
            is_over: false,
            answered: 0,
            accepted_at: 0,
            starts: 0,
            first_end: 0,
            needs,
            fails: false,
        }
    }
}

/// What a run is made of.
struct Plan {
    seed: u64,
    faults: Vec<(Micros, Fault)>,
    jobs: u32,
    end: Micros,
    load: Load,
}

/// What the users of a day ask for.
#[derive(Clone, Copy, PartialEq)]
enum Load {
    Mixed,
    /// Jobs of two or three tasks of which one runs several times as long.
    Apart,
    /// More than there is room for, urgent and not.
    Crowd,
    /// Most jobs need one or two others, some of them a whole chain.
    Pipelines,
    /// A third of the jobs fail wherever they run, until their users cancel them.
    Failing,
}

struct World {
    now: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), Event>,
    rng: fastrand::Rng,
    controllers: Vec<SimulatedController>,
    store: Store,
    workers: BTreeMap<String, Worker>,
    next_machine: u32,
    tenancies: BTreeMap<String, Vec<String>>,
    /// Every machine there ever was: when it came, and when it was returned.
    history: BTreeMap<String, (Micros, Option<Micros>)>,
    cloud_down: Micros,
    jobs: BTreeMap<String, Job>,
    broken: Vec<String>,
    starts: u32,
    settings: Vec<Settings>,
    /// Until when copies of reports are made, and when the last trouble is over.
    copies: Micros,
    troubles_end: Micros,
    late_writes: Micros,
    /// Until when machines come up late or never.
    bad_boots: Micros,
    /// Until when users ask thirty times as often.
    storm: Micros,
    slow_store: Micros,
    cancel_at_end: Micros,
    /// What happened, for tests to see that their day brought it about.
    seen: Seen,
    held_answers: Micros,
    load: Load,
    /// Since when a job has waited although a machine has room for it.
    waits: BTreeMap<String, (Micros, u32)>,
    /// Answers to tests' own requests: status and body.
    probes: BTreeMap<u32, (u16, Value)>,
    /// Which controller answered a user's cancellation last.
    cancelled_by: usize,
    /// Most machines that the cloud rents at a time.
    capacity: usize,
    /// Changes a transaction and bytes a value that the state service takes.
    ops_most: usize,
    value_most: usize,
}

/// Counts of what a day brought about.
#[derive(Default, Debug, Clone, PartialEq)]
struct Seen {
    /// Cancellations confirmed while a controller that leads was refused.
    cancels_refused: u32,
    /// Running tasks of jobs as their cancellation was confirmed.
    cancelled_running: u32,
    /// Starts later than 100 ms after a confirmed cancellation.
    starts_after_cancel: u32,
    /// Reports answered with 200 by a controller that the store refused, or in an
    /// outage.
    answered_blind: u32,
    /// Starts by such a controller.
    started_blind: u32,
    /// Transactions carried out late.
    late_writes: u32,
    /// Cancellations asked for as the last task ended: told done, told cancelled.
    at_end: (u32, u32),
    /// Leases that ran out with tasks on the machine.
    lapsed: u32,
    /// Takings of a region.
    takings: u32,
    /// Changes of leader.
    leaders: u32,
    /// Answers that came too late for their worker.
    late_answers: u32,
    /// Most processors that one team's tasks used, against its limit.
    peak_use: f64,
    /// Results of a job that came before and after a change of leader.
    split_ends: u32,
    /// Times at which the machines had no room for a task that waited.
    crowded: u32,
    /// Starts of tasks of jobs that need others.
    after_others: u32,
    /// Jobs told to be cancelled along with others.
    along: u32,
    /// Transactions refused for their size.
    too_large: u32,
    /// Events that a controller which stood still saw late.
    thawed: u32,
    /// Regions that changed hands while their former owner kept the state service.
    released: u32,
    /// Machines that came up late or never.
    bad_boots: u32,
    /// Questions asked in a storm of them.
    storm_questions: u32,
    /// Tasks that failed by a mistake of their job.
    failures: u32,
}

const LATENCY: Micros = MILLISECOND;

fn reply(status: u16, v: Value) -> Response {
    Response::new(status, rmp_serde::to_vec(&v).unwrap())
}

/// A request to a controller.
fn request(method: &str, path: &str, body: Vec<u8>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        query: String::new(),
        body,
        close: false,
    }
}

fn read(body: &[u8]) -> Value {
    rmp_serde::from_slice(body).unwrap_or(Value::Null)
}

impl World {
    fn new(plan: &Plan) -> Self {
        let base: Value = serde_json::from_str(&crate::settings::tests::sample()).unwrap();
        let settings: Vec<Settings> = (0..3)
            .map(|i| {
                let mut v = base.clone();
                v["host_name"] = json!(format!("t-{i}"));
                let others: Vec<Value> = (0..3)
                    .filter(|j| *j != i)
                    .map(|j| json!({"host_name": format!("t-{j}"), "area": "a", "addr": format!("127.0.0.1:70{j}1")}))
                    .collect();
                v["others"] = json!(others);
                if plan.load == Load::Pipelines {
                    v["facts"]["state"]["next"] =
                        json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0});
                }
                Settings::parse("sim", &v.to_string()).unwrap()
            })
            .collect();
        let mut w = World {
            now: 1,
            seq: 0,
            queue: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(plan.seed),
            controllers: Vec::new(),
            store: Store {
                revision: 1,
                next_lease: 1,
                ..Default::default()
            },
            workers: BTreeMap::new(),
            next_machine: 0,
            tenancies: BTreeMap::new(),
            history: BTreeMap::new(),
            cloud_down: 0,
            jobs: BTreeMap::new(),
            broken: Vec::new(),
            starts: 0,
            settings,
            copies: 0,
            troubles_end: 0,
            late_writes: 0,
            bad_boots: 0,
            storm: 0,
            slow_store: 0,
            cancel_at_end: 0,
            seen: Seen::default(),
            held_answers: 0,
            load: plan.load,
            waits: BTreeMap::new(),
            probes: BTreeMap::new(),
            cancelled_by: 0,
            capacity: 8,
            ops_most: 12,
            value_most: 4096,
        };
        for i in 0..3 {
            w.controllers.push(SimulatedController {
                node: None,
                shared: Rc::default(),
                boot: 0,
                life: 0,
                wake: 0,
                conns: BTreeMap::new(),
                next_conn: 0,
                cut_store: 0,
                cut_workers: 0,
                cut_mesh: 0,
                cut_users: 0,
                resets: false,
                refused: 0,
                away: 0,
                frozen: 0,
            });
            w.at(1 + i as u64 * 50 * MILLISECOND, Event::Boot(i));
        }
        // Repeats of requests that were carried out, long after.
        let mut later = fastrand::Rng::with_seed(plan.seed ^ 0x1a7e);
        for i in 0..plan.jobs {
            let id = format!("req-{:06}", 100 + i * 7 % plan.jobs.max(1));
            let kind = ["batch", "batch", "gang", "standing"][w.rng.usize(0..4)];
            let kind = if plan.load == Load::Apart && kind != "standing" {
                "batch"
            } else {
                kind
            };
            let tasks = if plan.load == Load::Apart {
                w.rng.u32(2..4)
            } else if kind == "batch" {
                w.rng.u32(1..12)
            } else {
                w.rng.u32(1..4)
            };
            let cpus = [0.5, 1.0, 2.0][w.rng.usize(0..3)];
            let team = ["red", "blue"][w.rng.usize(0..2)];
            let run = w.rng.u64(3..25);
            let priority = match plan.load {
                Load::Crowd => ["low", "standard", "urgent", "critical"][i as usize % 4],
                _ => "standard",
            };
            let spec = json!({"nameId": id, "crop": "x", "crew": team, "furrow": kind, "rank": priority,
                "sheaves": tasks, "cores": cpus, "cards": 0.0, "memoryGb": 1.0, "seed": "img", "sizeGb": 1.0,
                "plots": null, "field": null, "samePlace": false, "spread": false, "fallow": w.rng.bool(),
                "growthS": if kind == "standing" { 0 } else { run }, "stookS": 0.0, "bindS": 0.0, "harvestS": null});
            let mut spec = spec;
            let mut needs: Vec<String> = Vec::new();
            if plan.load == Load::Pipelines && later.u32(0..10) < 7 {
                let known: Vec<&String> = w
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.spec["furrow"] != "standing")
                    .map(|(id, _)| id)
                    .collect();
                for _ in 0..later.usize(1..3) {
                    if !known.is_empty() {
                        needs.push(known[later.usize(0..known.len())].clone());
                    }
                }
                spec["trails"] = json!(needs);
            }
            let at = SECOND * w.rng.u64(1..plan.end / SECOND / 2);
            if kind == "standing" || w.rng.u32(0..5) == 0 {
                let t = at + SECOND * w.rng.u64(1..40);
                w.at(t, Event::User(id.clone(), Action::Abort));
                let again = t + SECOND * later.u64(1..120);
                w.at(again, Event::User(id.clone(), Action::Abort));
            }
            w.at(at, Event::User(id.clone(), Action::Submit));
            for _ in 0..later.u32(0..3) {
                let again = at + SECOND * later.u64(1..200);
                w.at(again, Event::User(id.clone(), Action::Submit));
            }
            let mut job = Job::new(spec, run * SECOND, needs);
            if plan.load == Load::Failing && i % 3 == 0 && job.spec["furrow"] != "standing" {
                job.fails = true;
                w.at(at + 100 * SECOND, Event::User(id.clone(), Action::Abort));
            }
            w.jobs.insert(id, job);
        }
        for (at, f) in &plan.faults {
            let long = match f {
                Fault::StoreDown(d)
                | Fault::CutStore(_, d)
                | Fault::CutWorkers(_, d)
                | Fault::CutMesh(_, d)
                | Fault::CloudDown(d)
                | Fault::MachineHangs(d)
                | Fault::MachineDeaf(d)
                | Fault::Copies(d)
                | Fault::RefuseLeader(d)
                | Fault::CancelRunning(_, d)
                | Fault::CancelAtEnd(d)
                | Fault::Mute(d)
                | Fault::SlowStore(d)
                | Fault::AllAway(d)
                | Fault::HeldAnswers(d)
                | Fault::Zone(_, d)
                | Fault::Freeze(_, d)
                | Fault::FreezeLeader(d)
                | Fault::BadBoots(d)
                | Fault::QuestionStorm(d)
                | Fault::CutUsers(_, d)
                | Fault::Alone(_, d, _) => *d,
                Fault::LateWrites(d) => *d + 12 * SECOND,
                _ => 5 * SECOND,
            };
            w.troubles_end = w.troubles_end.max(at + long);
            w.at(*at, Event::Fault(*f));
        }
        w
    }

    fn at(&mut self, t: Micros, ev: Event) {
        self.seq += 1;
        self.queue.insert((t.max(self.now), self.seq), ev);
    }

    fn lag(&mut self) -> Micros {
        LATENCY + self.rng.u64(0..LATENCY)
    }

    fn breaks(&mut self, rule: &str, what: String) {
        self.broken
            .push(format!("{:.3} {rule}: {what}", self.now as f64 / 1e6));
    }

    fn run(&mut self, end: Micros) {
        while let Some((&(t, _), _)) = self.queue.first_key_value() {
            if t > end || !self.broken.is_empty() {
                break;
            }
            let Some(((t, _), ev)) = self.queue.pop_first() else {
                break;
            };
            self.now = t;
            self.step(ev);
        }
    }

    /// The controller that an event is for.
    fn receiver(ev: &Event) -> Option<usize> {
        match ev {
            Event::Wake(i, _) | Event::Ask(i, ..) | Event::Returned(i, ..) | Event::Frame(i, _) => {
                Some(*i)
            }
            _ => None,
        }
    }

    fn step(&mut self, ev: Event) {
        if let Some(i) = Self::receiver(&ev) {
            let until = self.controllers[i].frozen;
            if self.now < until {
                // Kept in the order in which it came, and all seen at once on waking.
                self.seen.thawed += 1;
                return self.at(until, ev);
            }
        }
        match ev {
            Event::Boot(i) => self.boot(i),
            Event::Wake(i, wake) => {
                if self.controllers[i].wake == wake && self.controllers[i].node.is_some() {
                    self.drive(i, None);
                }
            }
            Event::Ask(i, req, requester) => {
                if self.controllers[i].node.is_none() {
                    self.fail(requester);
                    return;
                }
                let c = &mut self.controllers[i];
                c.next_conn += 1;
                c.conns.insert(c.next_conn, requester);
                let id = ConnectionId {
                    slot: 0,
                    generation: c.next_conn,
                };
                self.drive(i, Some(NetEvent::Request(id, req)));
            }
            Event::Answer(requester, r) => self.answer(requester, r),
            Event::Serve(i, life, id, call) => self.serve(i, life, id, call),
            Event::Returned(i, life, id, r) => {
                if self.controllers[i].life == life && self.controllers[i].node.is_some() {
                    self.drive(i, Some(NetEvent::Response(id, r)));
                }
            }
            Event::Frame(i, b) => {
                if self.controllers[i].node.is_some() {
                    let id = ConnectionId {
                        slot: 0,
                        generation: 0,
                    };
                    self.drive(i, Some(NetEvent::Frame(id, b)));
                }
            }
            Event::Report(m, timer) => self.report(&m, timer),
            Event::Progress(m, season) => self.progress(&m, season),
            Event::MachineUp(m) => {
                if let Some(w) = self.workers.get_mut(&m) {
                    w.answered = self.now;
                    w.timer += 1;
                    let t = w.timer;
                    self.at(self.now, Event::Report(m, t));
                }
            }
            Event::User(id, what) => self.user(id, what),
            Event::WatchEnds(n) => {
                if let Some(&(i, ..)) = self.store.watches.get(&n) {
                    let until = self.store.down.max(self.controllers[i].refused);
                    if self.now < until {
                        return self.at(until, Event::WatchEnds(n));
                    }
                }
                if let Some((i, life, id, from)) = self.store.watches.remove(&n) {
                    let r = self.changes(from);
                    self.back(i, life, id, Ok(r));
                }
            }
            Event::Fault(f) => self.fault(f),
        }
    }

    fn boot(&mut self, i: usize) {
        let c = &mut self.controllers[i];
        c.life += 1;
        c.boot = self.now;
        c.conns.clear();
        c.shared = Rc::default();
        c.shared.borrow_mut().next_call = c.life * 1_000_000;
        let net = SimNet {
            shared: c.shared.clone(),
        };
        let node = Controller::new(self.settings[i].clone(), net);
        c.node = Some(node);
        self.set_clock(i);
        if let Some(n) = self.controllers[i].node.as_mut() {
            n.begin();
        }
        self.drive(i, None);
    }

    fn set_clock(&mut self, i: usize) {
        let now = self.now;
        let c = &mut self.controllers[i];
        let mut s = c.shared.borrow_mut();
        // Steady clocks run apart: each controller's is a little fast.
        let dt = now - c.boot;
        s.clock = dt + dt * i as u64 / 4000 + 1;
        s.wall = 1_000_000_000_000 + now;
    }

    fn drive(&mut self, i: usize, ev: Option<NetEvent>) {
        AT.set((self.now, i));
        self.set_clock(i);
        let Some(n) = self.controllers[i].node.as_mut() else {
            return;
        };
        if let Some(ev) = ev {
            n.handle(ev);
        }
        let until = n.step();
        let clock = self.controllers[i].shared.borrow().clock;
        let outs = std::mem::take(&mut self.controllers[i].shared.borrow_mut().out);
        let life = self.controllers[i].life;
        trace_digest::record(self.now, i, &outs);
        for o in outs {
            match o {
                Out::Respond(id, r) => {
                    if let Some(requester) = self.controllers[i].conns.remove(&id.generation) {
                        let worker = matches!(requester, Requester::Worker { .. });
                        let cut = worker && self.now < self.controllers[i].cut_workers;
                        let mut lag = self.lag();
                        if worker && self.now < self.held_answers && self.rng.bool() {
                            lag += self.rng.u64(0..6000) * MILLISECOND;
                        }
                        if matches!(
                            &requester,
                            Requester::User {
                                what: Action::Abort,
                                ..
                            }
                        ) {
                            self.cancelled_by = i;
                        }
                        if !cut {
                            self.at(self.now + lag, Event::Answer(requester, r));
                        }
                    }
                }
                Out::Call(id, call) => {
                    let timeout = call.timeout;
                    let lag = self.lag();
                    let cut = call.destination == 0 && self.now < self.controllers[i].cut_store;
                    if cut && self.controllers[i].resets {
                        let soon = self.now + lag;
                        self.at(soon, Event::Returned(i, life, id, Err(CallError::NoAnswer)));
                    } else if cut {
                        // Held back by the cut and executed when it ends, long
                        // after its sender has given up.
                        let late = self.controllers[i].cut_store + lag;
                        if call.method == "POST" && self.rng.bool() {
                            self.at(late, Event::Serve(i, u64::MAX, id, call));
                        }
                        self.at(
                            self.now + timeout,
                            Event::Returned(i, life, id, Err(CallError::NoAnswer)),
                        );
                    } else if call.target == "/commit"
                        && self.now < self.late_writes
                        && self.rng.u32(0..3) == 0
                    {
                        let late = self.now + SECOND * self.rng.u64(2..13);
                        self.seen.late_writes += 1;
                        self.at(late, Event::Serve(i, u64::MAX, id, call));
                        self.at(
                            self.now + timeout,
                            Event::Returned(i, life, id, Err(CallError::NoAnswer)),
                        );
                    } else if call.destination == 0 && self.now < self.slow_store {
                        let slow = self.rng.u64(50..1500) * MILLISECOND;
                        if slow > timeout {
                            self.at(
                                self.now + timeout,
                                Event::Returned(i, life, id, Err(CallError::NoAnswer)),
                            );
                            self.at(self.now + slow, Event::Serve(i, u64::MAX, id, call));
                        } else {
                            self.at(self.now + slow, Event::Serve(i, life, id, call));
                        }
                    } else {
                        self.at(self.now + lag, Event::Serve(i, life, id, call));
                    }
                }
                Out::Send(peer, b) => {
                    let name = &self.settings[i].peers[peer].name;
                    let to = (0..3).find(|j| self.settings[*j].name == *name).unwrap();
                    let cut = self.now
                        < self.controllers[i]
                            .cut_mesh
                            .max(self.controllers[to].cut_mesh);
                    let lag = self.lag();
                    if !cut {
                        self.at(self.now + lag, Event::Frame(to, b));
                    }
                }
                // Nothing of this world asks on a connection or keeps idle ones.
                Out::Reply(..) | Out::ResetDest(_) => {}
            }
        }
        let c = &mut self.controllers[i];
        c.wake += 1;
        let wake = c.wake;
        let wait = until.saturating_sub(clock).max(MILLISECOND);
        self.at(self.now + wait, Event::Wake(i, wake));
    }

    /// A request that no controller takes.
    fn fail(&mut self, requester: Requester) {
        let lag = self.lag();
        self.at(
            self.now + lag,
            Event::Answer(requester, Response::new(0, Vec::new())),
        );
    }

    fn back(&mut self, i: usize, life: u64, id: CallId, r: Result<Response, CallError>) {
        let lag = self.lag();
        // A cut takes answers, too.
        if self.now < self.controllers[i].cut_store {
            self.at(
                self.now + 2 * SECOND,
                Event::Returned(i, life, id, Err(CallError::NoAnswer)),
            );
        } else {
            self.at(self.now + lag, Event::Returned(i, life, id, r));
        }
    }
}

/// The seeds to play; a longer look is had with `SALTTILLER_SEEDS=1000`.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let n = std::env::var("SALTTILLER_SEEDS").ok();
    1..=n.and_then(|n| n.parse().ok()).unwrap_or(40)
}

thread_local! {
    /// Simulated time and controller, for the log.
    static AT: std::cell::Cell<(Micros, usize)> = const { std::cell::Cell::new((0, 0)) };
}

/// With `SALTTILLER_LOG=debug` a day's log is written, with simulated times.
fn log_if_asked() {
    use std::io::Write;
    if let Ok(level) = std::env::var("SALTTILLER_LOG") {
        let _ = env_logger::Builder::new()
            .parse_filters(&level)
            .format(|out, rec| {
                let (t, i) = AT.get();
                writeln!(out, "{:.3} t-{i} {}", t as f64 / 1e6, rec.args())
            })
            .try_init();
    }
}

fn play(p: &Plan, disabled: Option<Safeguard>) -> World {
    disable(disabled);
    let world = play_in(p, World::new(p));
    disable(None);
    world
}

fn play_in(p: &Plan, mut w: World) -> World {
    log_if_asked();
    fastrand::seed(p.seed);
    let mut t = 5 * SECOND;
    let after = if p.load == Load::Crowd { 400 } else { 120 };
    while t <= p.end + after * SECOND && w.broken.is_empty() {
        w.run(t);
        w.check_invariants();
        t += 5 * SECOND;
    }
    w
}
