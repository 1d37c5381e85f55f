//! A small world to test whole controllers in: three of them, a state service,
//! a cloud and workers, written from the protocol, with faults drawn from a
//! seed. Time is simulated, so a run takes as long as its computing and the same
//! seed gives the same run. The protocol's rules are checked as the run goes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};

use crate::http::{query_value, Request, Response};
use crate::node::Node;
use crate::reactor::{Call, CallError, CallId, ConnId, Net, NetEvent};
use crate::registry::pipelines::{Gate, PLANT};
use crate::settings::Settings;
use crate::units::{Micros, MILLI, SECOND};

mod meetings;

enum Out {
    Respond(ConnId, Response),
    Call(CallId, Call),
    Send(usize, Vec<u8>),
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
    fn respond(&mut self, id: ConnId, r: Response) {
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
    fn reply(&mut self, _id: ConnId, _payload: &[u8]) {}
    fn reset_dest(&mut self, _dest: usize) {}
}

/// Where an answer of a controller goes.
#[derive(Clone)]
enum Asker {
    Worker {
        machine: String,
        season: u64,
        sent: Micros,
        tally: u64,
    },
    User {
        job: String,
        what: What,
        sent: Micros,
    },
    /// A copy came: whoever sent the original has long moved on.
    Nobody,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum What {
    Submit,
    Poll,
    Abort,
}

enum Ev {
    Wake(usize, u64),
    Boot(usize),
    /// A request reaches a controller.
    Ask(usize, Request, Asker),
    /// A controller's answer reaches who asked.
    Answer(Asker, Response),
    /// A call reaches an outside service.
    Serve(usize, u64, CallId, Call),
    Returned(usize, u64, CallId, Result<Response, CallError>),
    Frame(usize, Vec<u8>),
    Report(String, u64),
    Progress(String, u64),
    MachineUp(String),
    User(String, What),
    WatchEnds(u64),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Crash(usize),
    StoreDown(Micros),
    /// A controller's way to the state service is cut; what it had sent is
    /// delivered late.
    CutStore(usize, Micros),
    CutWorkers(usize, Micros),
    CutMesh(usize, Micros),
    CloudDown(Micros),
    MachineDies,
    MachineHangs(Micros),
    /// A machine's reports arrive, but the answers don't reach it.
    MachineDeaf(Micros),
    /// A machine is back at once, with its numbering started afresh.
    MachineBlinks,
    /// Copies of reports come late, up to three leases.
    Copies(Micros),
    /// A controller loses the state service and the others, but not its workers;
    /// by a cut that holds back, or one that resets.
    Alone(usize, Micros, bool),
    /// A controller ends and is back within a fraction of a second.
    Blink(usize),
    /// The same for the one that leads.
    LeaderBlinks,
    /// The state service refuses whoever leads, and nobody else.
    RefuseLeader(Micros),
    /// Users call off this many jobs that run, within a fifth of a second; their
    /// machines may hang for a while from then on.
    CancelRunning(usize, Micros),
    /// Jobs are called off at the moment at which their last task ends.
    CancelAtEnd(Micros),
    /// A third of the transactions get no answer and are carried out 2 to 12 s later.
    LateWrites(Micros),
    /// Half of the machines reach no controller.
    Mute(Micros),
    /// The state service answers slowly.
    SlowStore(Micros),
    /// All controllers are away for so long.
    AllAway(Micros),
    /// Answers to workers are held up, by up to 6 s.
    HeldAnswers(Micros),
    /// From now on the state service takes only 4 changes a transaction and 2 KiB values.
    LowerLimits,
    /// A zone is cut off: this controller and the machines that report to it.
    Zone(usize, Micros),
}

/// A part of the safety argument left out on purpose, for the tests to catch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    Nothing,
    /// No accounting after a takeover.
    Hasty,
    /// Authority never ends.
    Undying,
    /// Any report is taken for the newest.
    Credulous,
    /// Tasks are started for as long as reports are answered, and peers' word of
    /// cancellations is passed over.
    Eager,
    /// Jobs run without regard to those that they need.
    Gateless,
    /// Nothing is cancelled along with what it needs.
    Alone,
}

struct Ctl {
    node: Option<Node<SimNet>>,
    shared: Rc<RefCell<Shared>>,
    boot: Micros,
    life: u64,
    wake: u64,
    conns: BTreeMap<u32, Asker>,
    next_conn: u32,
    cut_store: Micros,
    cut_workers: Micros,
    cut_mesh: Micros,
    /// Cuts to the state service reset instead of holding back.
    resets: bool,
    /// Until when the state service refuses it alone.
    refused: Micros,
    away: Micros,
}

#[derive(Clone)]
struct Task {
    attempt: u64,
    stage: &'static str,
    why: &'static str,
    ends: Micros,
}

struct Worker {
    flavor: String,
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

#[derive(Default)]
struct Store {
    data: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    grants: BTreeMap<u64, (Micros, Micros)>,
    next_grant: u64,
    watches: BTreeMap<u64, (usize, u64, CallId, u64)>,
    next_watch: u64,
    down: Micros,
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
    over: bool,
    /// When a question about it was answered last.
    answered: Micros,
    accepted_at: Micros,
    /// Starts of its tasks.
    starts: u32,
    /// How many leaders there had been when its first task ended.
    first_end: u32,
    /// Jobs that must be done before it.
    needs: Vec<String>,
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
}

struct World {
    now: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), Ev>,
    rng: fastrand::Rng,
    ctls: Vec<Ctl>,
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
    plant: Plant,
    /// Until when copies of reports are made, and when the last trouble is over.
    copies: Micros,
    troubles_end: Micros,
    late_writes: Micros,
    slow_store: Micros,
    cancel_at_end: Micros,
    /// What happened, for tests to see that their day brought it about.
    seen: Seen,
    held_answers: Micros,
    load: Load,
    /// Since when a job has waited although a machine has room for it.
    waits: BTreeMap<String, (Micros, u32)>,
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
}

const LATENCY: Micros = MILLI;

fn reply(status: u16, v: Value) -> Response {
    Response::new(status, rmp_serde::to_vec(&v).unwrap())
}

fn read(body: &[u8]) -> Value {
    rmp_serde::from_slice(body).unwrap_or(Value::Null)
}

impl World {
    fn new(plan: &Plan, plant: Plant) -> Self {
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
            ctls: Vec::new(),
            store: Store {
                revision: 1,
                next_grant: 1,
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
            plant,
            copies: 0,
            troubles_end: 0,
            late_writes: 0,
            slow_store: 0,
            cancel_at_end: 0,
            seen: Seen::default(),
            held_answers: 0,
            load: plan.load,
            waits: BTreeMap::new(),
            ops_most: 12,
            value_most: 4096,
        };
        for i in 0..3 {
            w.ctls.push(Ctl {
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
                resets: false,
                refused: 0,
                away: 0,
            });
            w.at(1 + i as u64 * 50 * MILLI, Ev::Boot(i));
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
            let rank = match plan.load {
                Load::Crowd => ["low", "standard", "urgent", "critical"][i as usize % 4],
                _ => "standard",
            };
            let spec = json!({"nameId": id, "crop": "x", "crew": team, "furrow": kind, "rank": rank,
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
                w.at(t, Ev::User(id.clone(), What::Abort));
                let again = t + SECOND * later.u64(1..120);
                w.at(again, Ev::User(id.clone(), What::Abort));
            }
            w.at(at, Ev::User(id.clone(), What::Submit));
            for _ in 0..later.u32(0..3) {
                let again = at + SECOND * later.u64(1..200);
                w.at(again, Ev::User(id.clone(), What::Submit));
            }
            w.jobs.insert(
                id,
                Job {
                    spec,
                    cpus,
                    tasks,
                    run: run * SECOND,
                    accepted: false,
                    cancel_told: None,
                    cancel_asked: false,
                    done_told: false,
                    told_at: 0,
                    done: BTreeSet::new(),
                    over: false,
                    answered: 0,
                    accepted_at: 0,
                    starts: 0,
                    first_end: 0,
                    needs,
                },
            );
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
                | Fault::Alone(_, d, _) => *d,
                Fault::LateWrites(d) => *d + 12 * SECOND,
                _ => 5 * SECOND,
            };
            w.troubles_end = w.troubles_end.max(at + long);
            w.at(*at, Ev::Fault(*f));
        }
        w
    }

    fn at(&mut self, t: Micros, ev: Ev) {
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

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Boot(i) => self.boot(i),
            Ev::Wake(i, wake) => {
                if self.ctls[i].wake == wake && self.ctls[i].node.is_some() {
                    self.drive(i, None);
                }
            }
            Ev::Ask(i, req, asker) => {
                if self.ctls[i].node.is_none() {
                    self.fail(asker);
                    return;
                }
                let c = &mut self.ctls[i];
                c.next_conn += 1;
                c.conns.insert(c.next_conn, asker);
                let id = ConnId {
                    slot: 0,
                    generation: c.next_conn,
                };
                self.drive(i, Some(NetEvent::Request(id, req)));
            }
            Ev::Answer(asker, r) => self.answer(asker, r),
            Ev::Serve(i, life, id, call) => self.serve(i, life, id, call),
            Ev::Returned(i, life, id, r) => {
                if self.ctls[i].life == life && self.ctls[i].node.is_some() {
                    self.drive(i, Some(NetEvent::Response(id, r)));
                }
            }
            Ev::Frame(i, b) => {
                if self.ctls[i].node.is_some() {
                    let id = ConnId {
                        slot: 0,
                        generation: 0,
                    };
                    self.drive(i, Some(NetEvent::Frame(id, b)));
                }
            }
            Ev::Report(m, timer) => self.report(&m, timer),
            Ev::Progress(m, season) => self.progress(&m, season),
            Ev::MachineUp(m) => {
                if let Some(w) = self.workers.get_mut(&m) {
                    w.answered = self.now;
                    w.timer += 1;
                    let t = w.timer;
                    self.at(self.now, Ev::Report(m, t));
                }
            }
            Ev::User(id, what) => self.user(id, what),
            Ev::WatchEnds(n) => {
                if let Some(&(i, ..)) = self.store.watches.get(&n) {
                    let until = self.store.down.max(self.ctls[i].refused);
                    if self.now < until {
                        return self.at(until, Ev::WatchEnds(n));
                    }
                }
                if let Some((i, life, id, from)) = self.store.watches.remove(&n) {
                    let r = self.changes(from);
                    self.back(i, life, id, Ok(r));
                }
            }
            Ev::Fault(f) => self.fault(f),
        }
    }

    fn boot(&mut self, i: usize) {
        let c = &mut self.ctls[i];
        c.life += 1;
        c.boot = self.now;
        c.conns.clear();
        c.shared = Rc::default();
        c.shared.borrow_mut().next_call = c.life * 1_000_000;
        let net = SimNet {
            shared: c.shared.clone(),
        };
        let mut node = Node::new(self.settings[i].clone(), net);
        match self.plant {
            Plant::Nothing => {}
            Plant::Hasty => node.plant_hasty_takeover(),
            Plant::Undying => node.plant_undying(),
            Plant::Credulous => node.plant_credulous(),
            Plant::Eager => node.plant_eager(),
            Plant::Gateless => PLANT.set(Some(Gate::Ready)),
            Plant::Alone => PLANT.set(Some(Gate::Waits)),
        }
        c.node = Some(node);
        self.set_clock(i);
        if let Some(n) = self.ctls[i].node.as_mut() {
            n.begin();
        }
        self.drive(i, None);
    }

    fn set_clock(&mut self, i: usize) {
        let now = self.now;
        let c = &mut self.ctls[i];
        let mut s = c.shared.borrow_mut();
        // Steady clocks run apart: each controller's is a little fast.
        let dt = now - c.boot;
        s.clock = dt + dt * i as u64 / 4000 + 1;
        s.wall = 1_000_000_000_000 + now;
    }

    fn drive(&mut self, i: usize, ev: Option<NetEvent>) {
        AT.set((self.now, i));
        self.set_clock(i);
        let Some(n) = self.ctls[i].node.as_mut() else {
            return;
        };
        if let Some(ev) = ev {
            n.handle(ev);
        }
        let until = n.step();
        let clock = self.ctls[i].shared.borrow().clock;
        let outs = std::mem::take(&mut self.ctls[i].shared.borrow_mut().out);
        let life = self.ctls[i].life;
        for o in outs {
            match o {
                Out::Respond(id, r) => {
                    if let Some(asker) = self.ctls[i].conns.remove(&id.generation) {
                        let worker = matches!(asker, Asker::Worker { .. });
                        let cut = worker && self.now < self.ctls[i].cut_workers;
                        let mut lag = self.lag();
                        if worker && self.now < self.held_answers && self.rng.bool() {
                            lag += self.rng.u64(0..6000) * MILLI;
                        }
                        if !cut {
                            self.at(self.now + lag, Ev::Answer(asker, r));
                        }
                    }
                }
                Out::Call(id, call) => {
                    let timeout = call.timeout;
                    let lag = self.lag();
                    let cut = call.dest == 0 && self.now < self.ctls[i].cut_store;
                    if cut && self.ctls[i].resets {
                        let soon = self.now + lag;
                        self.at(soon, Ev::Returned(i, life, id, Err(CallError::NoAnswer)));
                    } else if cut {
                        // Held back by the cut and executed when it ends, long
                        // after its sender has given up.
                        let late = self.ctls[i].cut_store + lag;
                        if call.method == "POST" && self.rng.bool() {
                            self.at(late, Ev::Serve(i, u64::MAX, id, call));
                        }
                        self.at(
                            self.now + timeout,
                            Ev::Returned(i, life, id, Err(CallError::NoAnswer)),
                        );
                    } else if call.target == "/commit"
                        && self.now < self.late_writes
                        && self.rng.u32(0..3) == 0
                    {
                        let late = self.now + SECOND * self.rng.u64(2..13);
                        self.seen.late_writes += 1;
                        self.at(late, Ev::Serve(i, u64::MAX, id, call));
                        self.at(
                            self.now + timeout,
                            Ev::Returned(i, life, id, Err(CallError::NoAnswer)),
                        );
                    } else if call.dest == 0 && self.now < self.slow_store {
                        let slow = self.rng.u64(50..1500) * MILLI;
                        if slow > timeout {
                            self.at(
                                self.now + timeout,
                                Ev::Returned(i, life, id, Err(CallError::NoAnswer)),
                            );
                            self.at(self.now + slow, Ev::Serve(i, u64::MAX, id, call));
                        } else {
                            self.at(self.now + slow, Ev::Serve(i, life, id, call));
                        }
                    } else {
                        self.at(self.now + lag, Ev::Serve(i, life, id, call));
                    }
                }
                Out::Send(peer, b) => {
                    let name = &self.settings[i].peers[peer].name;
                    let to = (0..3).find(|j| self.settings[*j].name == *name).unwrap();
                    let cut = self.now < self.ctls[i].cut_mesh.max(self.ctls[to].cut_mesh);
                    let lag = self.lag();
                    if !cut {
                        self.at(self.now + lag, Ev::Frame(to, b));
                    }
                }
            }
        }
        let c = &mut self.ctls[i];
        c.wake += 1;
        let wake = c.wake;
        let wait = until.saturating_sub(clock).max(MILLI);
        self.at(self.now + wait, Ev::Wake(i, wake));
    }

    /// A request that no controller takes.
    fn fail(&mut self, asker: Asker) {
        let lag = self.lag();
        self.at(
            self.now + lag,
            Ev::Answer(asker, Response::new(0, Vec::new())),
        );
    }

    fn back(&mut self, i: usize, life: u64, id: CallId, r: Result<Response, CallError>) {
        let lag = self.lag();
        // A cut takes answers, too.
        if self.now < self.ctls[i].cut_store {
            self.at(
                self.now + 2 * SECOND,
                Ev::Returned(i, life, id, Err(CallError::NoAnswer)),
            );
        } else {
            self.at(self.now + lag, Ev::Returned(i, life, id, r));
        }
    }

    // --- State service and cloud --------------------------------------------

    fn serve(&mut self, i: usize, life: u64, id: CallId, call: Call) {
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let path = path.to_owned();
        let query = query.to_owned();
        let body = read(&call.body);
        if call.dest == 1 {
            let r = self.cloud(&path, &body);
            return self.back(i, life, id, Ok(r));
        }
        self.expire_grants();
        if self.now < self.store.down || self.now < self.ctls[i].refused {
            return self.back(i, life, id, Ok(Response::new(503, Vec::new())));
        }
        let r = match path.as_str() {
            "/store" => {
                let from = query_value(&query, "from").unwrap_or("").to_owned();
                let all: Vec<Value> = self
                    .store
                    .data
                    .range(from.clone()..)
                    .filter(|(k, _)| **k != from)
                    .map(|(k, (v, m, _))| json!({"k": k, "value": v, "mark": m}))
                    .collect();
                let more = all.len() > 20;
                let pairs: Vec<Value> = all.into_iter().take(20).collect();
                reply(
                    200,
                    json!({"pairs": pairs, "more": more, "almanac": self.store.revision}),
                )
            }
            "/follow" => {
                let from: u64 = query_value(&query, "from").unwrap().parse().unwrap();
                let wait: u64 = query_value(&query, "waitMs").unwrap().parse().unwrap();
                let news = self.store.log.last().is_some_and(|(m, _, _)| *m > from);
                if wait > 0 && !news {
                    let n = self.store.next_watch;
                    self.store.next_watch += 1;
                    self.store.watches.insert(n, (i, life, id, from));
                    self.at(self.now + wait * MILLI, Ev::WatchEnds(n));
                    return;
                }
                self.changes(from)
            }
            "/commit" => self.commit(&body),
            "/grants" => {
                let g = self.store.next_grant;
                self.store.next_grant += 1;
                let life = body["lifeMs"].as_u64().unwrap() * MILLI;
                self.store.grants.insert(g, (life, self.now + life));
                reply(200, json!({ "tenure": g }))
            }
            p => {
                let g: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                match self.store.grants.get_mut(&g) {
                    Some((life, until)) => {
                        *until = self.now + *life;
                        reply(200, json!({}))
                    }
                    None => reply(404, json!({})),
                }
            }
        };
        self.back(i, life, id, Ok(r));
    }

    fn changes(&self, from: u64) -> Response {
        let events: Vec<Value> = self
            .store
            .log
            .iter()
            .filter(|(m, _, _)| *m > from)
            .map(|(m, k, v)| match v {
                Some(v) => json!({"put": k, "value": v, "mark": m}),
                None => json!({"delete": k, "mark": m}),
            })
            .collect();
        reply(
            200,
            json!({"almanac": self.store.revision, "events": events}),
        )
    }

    fn wake_watches(&mut self) {
        let ready: Vec<u64> = self
            .store
            .watches
            .iter()
            .filter(|(_, w)| self.now >= self.ctls[w.0].refused)
            .map(|(n, _)| *n)
            .collect();
        for n in ready {
            if let Some((i, life, id, from)) = self.store.watches.remove(&n) {
                let r = self.changes(from);
                self.back(i, life, id, Ok(r));
            }
        }
    }

    fn expire_grants(&mut self) {
        if self.now < self.store.down {
            return;
        }
        let now = self.now;
        let dead: Vec<u64> = self
            .store
            .grants
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(g, _)| *g)
            .collect();
        for g in dead {
            self.store.grants.remove(&g);
            let keys: Vec<String> = self
                .store
                .data
                .iter()
                .filter(|(_, (_, _, l))| *l == Some(g))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.store.revision += 1;
                for k in keys {
                    self.store.data.remove(&k);
                    self.store.log.push((self.store.revision, k, None));
                }
                self.wake_watches();
            }
        }
    }

    fn commit(&mut self, body: &Value) -> Response {
        let empty = Vec::new();
        for w in body["when"].as_array().unwrap_or(&empty) {
            let k = w["k"].as_str().unwrap();
            let have = self.store.data.get(k).map_or(0, |(_, m, _)| *m);
            if have != w["mark"].as_u64().unwrap() {
                return reply(409, json!({"failed": [k], "almanac": self.store.revision}));
            }
        }
        let apply = body["apply"].as_array().unwrap();
        let size = |a: &Value| a["value"].to_string().len();
        if apply.len() > self.ops_most || apply.iter().any(|a| size(a) > self.value_most) {
            self.seen.too_large += 1;
            return reply(400, json!({"error": "too large"}));
        }
        for a in apply {
            if let Some(l) = a["tenure"].as_u64() {
                if !self.store.grants.contains_key(&l) {
                    return reply(400, json!({"error": "no such lease"}));
                }
            }
        }
        self.store.revision += 1;
        let m = self.store.revision;
        for a in apply {
            if let Some(k) = a["put"].as_str() {
                let v = (a["value"].clone(), m, a["tenure"].as_u64());
                self.seen.takings += u32::from(k.starts_with("st/region/"));
                self.seen.leaders += u32::from(k == "st/leader");
                self.store.data.insert(k.into(), v);
                self.store.log.push((m, k.into(), Some(a["value"].clone())));
            } else if let Some(k) = a["delete"].as_str() {
                if self.store.data.remove(k).is_some() {
                    self.store.log.push((m, k.into(), None));
                }
            }
        }
        self.wake_watches();
        reply(200, json!({ "almanac": m }))
    }

    fn cloud(&mut self, path: &str, body: &Value) -> Response {
        if self.now < self.cloud_down {
            return reply(503, json!({"error": "trouble"}));
        }
        match path {
            "/flavors" => reply(
                200,
                json!({"plots": [
                    {"label": "box", "cores": 4, "cards": 0, "memoryGb": 16, "pullGbPerS": 1.0, "price": 0.3,
                     "lowPrice": 0.1, "startupS": 5, "fields": ["a"]},
                    {"label": "rack", "cores": 8, "cards": 0, "memoryGb": 64, "pullGbPerS": 1.0, "price": 0.7,
                     "lowPrice": 0.3, "startupS": 8, "fields": ["a"]}]}),
            ),
            "/machines/release" => {
                for n in body["tillers"].as_array().unwrap() {
                    let n = n.as_str().unwrap();
                    self.workers.remove(n);
                    if let Some(h) = self.history.get_mut(n) {
                        h.1.get_or_insert(self.now);
                    }
                }
                reply(200, json!({}))
            }
            _ if body.is_object() => {
                let tenancy = body["tenancy"].as_str().unwrap().to_owned();
                if let Some(names) = self.tenancies.get(&tenancy) {
                    return reply(200, json!({ "tillers": names }));
                }
                if self.workers.len() >= 8 {
                    return reply(503, json!({"error": "no capacity"}));
                }
                let n = body["count"]
                    .as_u64()
                    .unwrap()
                    .min(8 - self.workers.len() as u64);
                let mut names = Vec::new();
                for _ in 0..n {
                    let name = format!("m-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let w = Worker {
                        flavor: body["plot"].as_str().unwrap().into(),
                        spot: body["fallow"].as_bool().unwrap(),
                        season: 1,
                        tally: 0,
                        token: 0,
                        tasks: BTreeMap::new(),
                        answered: 0,
                        at: self.rng.usize(0..3),
                        timer: 0,
                        dead: false,
                        hangs: 0,
                        deaf: 0,
                        mute: 0,
                        zone: (0, 0),
                    };
                    self.workers.insert(name.clone(), w);
                    self.history.insert(name.clone(), (self.now, None));
                    let up = self.now + self.rng.u64(1..10) * SECOND;
                    self.at(up, Ev::MachineUp(name.clone()));
                    names.push(name);
                }
                self.tenancies.insert(tenancy, names.clone());
                reply(200, json!({ "tillers": names }))
            }
            _ => {
                // As it was a while ago.
                let at = self.now.saturating_sub(self.rng.u64(8..16) * SECOND);
                let tillers: Vec<Value> = self
                    .history
                    .iter()
                    .filter(|(_, (born, gone))| *born <= at && gone.is_none_or(|g| g > at))
                    .filter_map(|(n, (born, _))| {
                        let w = self.workers.get(n)?;
                        Some(json!({"nameId": n, "address": "x", "plot": w.flavor, "field": "a",
                            "fallow": w.spot, "stage": "running", "heldS": (at - born) as f64 / 1e6}))
                    })
                    .collect();
                reply(200, json!({"tillers": tillers, "more": false}))
            }
        }
    }

    // --- Workers --------------------------------------------------------------

    fn report(&mut self, name: &str, timer: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.timer != timer || w.dead {
            return;
        }
        if now < w.hangs {
            let at = w.hangs;
            return self.at(at, Ev::Report(name.into(), timer));
        }
        if now > w.answered + 16 * SECOND {
            w.season += 1;
            self.seen.lapsed += u32::from(!w.tasks.is_empty());
            w.tasks.clear();
            w.answered = now;
        }
        w.tally += 1;
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(|(t, s)| {
                let mut v = json!({"sheaf": t, "sowing": s.attempt, "stage": s.stage});
                if s.stage == "ended" {
                    v["blight"] = json!(s.why);
                }
                v
            })
            .collect();
        let body = json!({"tiller": name, "address": "x", "plot": w.flavor, "field": "a", "fallow": w.spot,
            "season": w.season, "tally": w.tally, "brand": w.token, "reclaimS": null, "sheaves": tasks});
        let asker = Asker::Worker {
            machine: name.into(),
            season: w.season,
            sent: now,
            tally: w.tally,
        };
        let req = Request {
            method: "POST".into(),
            path: "/v1/report".into(),
            query: String::new(),
            body: rmp_serde::to_vec(&body).unwrap(),
            close: false,
        };
        if now < w.zone.1 {
            w.at = w.zone.0;
        }
        let to = w.at;
        w.timer += 1;
        let t = w.timer;
        if now < self.copies {
            let late = now + SECOND * self.rng.u64(1..48);
            let to = self.rng.usize(0..3);
            self.at(late, Ev::Ask(to, req.clone(), Asker::Nobody));
        }
        // Without an answer for 4 s the worker turns to the next node.
        self.at(now + 4 * SECOND, Ev::Report(name.into(), t));
        let lag = self.lag();
        if self.workers.get(name).is_some_and(|w| now < w.mute) {
            // No connection to anyone: it tries the next a second later.
            if let Some(w) = self.workers.get_mut(name) {
                w.at = (to + 1) % 3;
                w.timer += 1;
                let t = w.timer;
                self.at(now + SECOND, Ev::Report(name.into(), t));
            }
        } else if now < self.ctls[to].cut_workers {
            // Half of what a cut holds back comes late, the rest never.
            if self.rng.bool() {
                let at = self.ctls[to].cut_workers + lag;
                self.at(at, Ev::Ask(to, req, asker));
            }
            if let Some(w) = self.workers.get_mut(name) {
                w.at = (to + 1) % 3;
            }
        } else {
            self.at(now + lag, Ev::Ask(to, req, asker));
        }
    }

    fn answer(&mut self, asker: Asker, r: Response) {
        match asker {
            Asker::Worker {
                machine,
                season,
                sent,
                tally,
            } => self.answer_worker(&machine, season, sent, tally, r),
            Asker::User { job, what, sent } => self.answer_user(job, what, sent, r),
            Asker::Nobody => {}
        }
    }

    fn answer_worker(&mut self, name: &str, season: u64, sent: Micros, tally: u64, r: Response) {
        let now = self.now;
        let next = now + SECOND * 3;
        let hosts: Vec<String> = self.settings.iter().map(|s| s.name.clone()).collect();
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        self.seen.late_answers += u32::from(now > sent + 4 * SECOND);
        if w.dead
            || w.season != season
            || w.tally != tally
            || now > sent + 4 * SECOND
            || now < w.hangs
            || now < w.deaf
        {
            return;
        }
        w.timer += 1;
        let t = w.timer;
        let v = read(&r.body);
        if r.status != 200 {
            let to = v["steward"]
                .as_str()
                .and_then(|s| hosts.iter().position(|h| h == s));
            let wait = match to {
                Some(i) if r.status == 421 && i != w.at => {
                    w.at = i;
                    100 * MILLI
                }
                _ => {
                    w.at = (w.at + 1) % 3;
                    SECOND
                }
            };
            return self.at(now + wait, Ev::Report(name.into(), t));
        }
        let token = v["brand"].as_u64().unwrap_or(0);
        if token < w.token {
            return self.at(next, Ev::Report(name.into(), t));
        }
        let soon = token > w.token || v["calls"].as_array().is_some_and(|c| !c.is_empty());
        w.token = token;
        w.answered = sent;
        let at = w.at;
        let blind = now < self.store.down || now < self.ctls[at].refused;
        self.seen.answered_blind += u32::from(blind);
        for c in v["calls"].as_array().cloned().unwrap_or_default() {
            let task = c["sheaf"].as_str().unwrap().to_owned();
            let attempt = c["sowing"].as_u64().unwrap();
            self.command(name, c["call"].as_str().unwrap(), task, attempt);
        }
        let at = if soon { now + SECOND / 2 } else { next };
        self.at(at, Ev::Report(name.into(), t));
    }

    fn command(&mut self, name: &str, call: &str, task: String, attempt: u64) {
        let (job, n) = crate::model::parse_task(&task).unwrap();
        let (job, n) = (job.to_owned(), n);
        match call {
            "start" => {
                if !self.jobs.contains_key(&job) {
                    return;
                }
                let known = self.workers[name].tasks.get(&task);
                if known.is_some_and(|t| t.attempt == attempt) {
                    return;
                }
                self.starts += 1;
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.starts += 1;
                }
                let j = &self.jobs[&job];
                // On a machine already, whatever that machine is doing?
                let elsewhere: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(m, w)| {
                        *m != name
                            && !self.lapsed(w)
                            && w.tasks.get(&task).is_some_and(|t| t.stage != "ended")
                    })
                    .map(|(m, _)| m.clone())
                    .collect();
                if let Some(m) = elsewhere.first() {
                    let what = format!("{task} starts on {name} while on {m}");
                    return self.breaks("ran_twice", what);
                }
                let at = self.workers[name].at;
                let blind = self.now < self.store.down || self.now < self.ctls[at].refused;
                self.seen.started_blind += u32::from(blind);
                if let Some(t) = j.cancel_told {
                    // One that was on its way is carried out for up to 4 s.
                    let held = self.now < self.held_answers + 6 * SECOND;
                    // A controller that hears nobody may know of it 3 s later.
                    let deaf = self.now < self.ctls[at].cut_mesh;
                    let way = match (held, deaf) {
                        (true, _) => 4 * SECOND,
                        (_, true) => crate::registry::FRESH_FOR + 100 * MILLI,
                        _ => 100 * MILLI,
                    };
                    self.seen.starts_after_cancel += u32::from(self.now > t + way);
                    if self.now > t + 41 * SECOND {
                        return self.breaks("ran_cancelled", task);
                    }
                }
                let undone = |n: &&String| (self.jobs[*n].done.len() as u32) < self.jobs[*n].tasks;
                if let Some(n) = j.needs.iter().find(undone) {
                    let what = format!("{task} starts, {n} isn't done");
                    return self.breaks("too_early", what);
                }
                self.seen.after_others += u32::from(!j.needs.is_empty());
                if self.workers[name].spot && !j.spec["fallow"].as_bool().unwrap() {
                    return self.breaks("wrong_place", task);
                }
                let gang = j.spec["furrow"] == "gang";
                let service = j.spec["furrow"] == "standing";
                let long = self.load == Load::Apart && n == 0;
                let run = match (gang, service) {
                    _ if long && !service => 4 * j.run,
                    (true, _) => 30 * SECOND, // waits so long for the others
                    (_, true) => 100_000 * SECOND,
                    _ => j.run,
                };
                let done = j.done.contains(&n);
                let ends = if done { self.now } else { self.now + run };
                let stage = if gang && !done {
                    "gathering"
                } else {
                    "running"
                };
                let t = Task {
                    attempt,
                    stage,
                    why: "done",
                    ends,
                };
                let season = self.workers[name].season;
                if let Some(w) = self.workers.get_mut(name) {
                    w.tasks.insert(task, t);
                }
                self.check_quota();
                self.at(ends, Ev::Progress(name.into(), season));
                if gang {
                    self.gather(&job, attempt);
                }
            }
            "stop" => {
                if let Some(w) = self.workers.get_mut(name) {
                    if let Some(t) = w.tasks.get_mut(&task) {
                        if t.attempt == attempt && t.stage != "ended" {
                            t.stage = "ended";
                            t.why = "stopped";
                        }
                    }
                }
            }
            _ => {
                if let Some(w) = self.workers.get_mut(name) {
                    if w.tasks
                        .get(&task)
                        .is_some_and(|t| t.attempt == attempt && t.stage == "ended")
                    {
                        w.tasks.remove(&task);
                    }
                }
            }
        }
    }

    fn gather(&mut self, job: &str, attempt: u64) {
        let want = self.jobs[job].tasks;
        let run = self.jobs[job].run;
        let prefix = format!("{job}/");
        let here: Vec<(String, String, u64)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead)
            .flat_map(|(m, w)| {
                w.tasks
                    .iter()
                    .filter(|(t, s)| {
                        t.starts_with(&prefix) && s.attempt == attempt && s.stage == "gathering"
                    })
                    .map(|(t, _)| (m.clone(), t.clone(), w.season))
            })
            .collect();
        if here.len() as u32 == want {
            let ends = self.now + run;
            for (m, t, season) in here {
                if let Some(s) = self.workers.get_mut(&m).and_then(|w| w.tasks.get_mut(&t)) {
                    s.stage = "running";
                    s.ends = ends;
                }
                self.at(ends, Ev::Progress(m, season));
            }
        }
    }

    /// Whether a worker is gone or has lost its lease, and with it its tasks.
    fn lapsed(&self, w: &Worker) -> bool {
        w.dead || self.now > w.answered + 16 * SECOND
    }

    /// Whether every task of a gang's attempt is there and running.
    fn together(&self, job: &str, attempt: u64) -> bool {
        (0..self.jobs[job].tasks).all(|n| {
            let t = format!("{job}/{n}");
            self.workers.values().any(|w| {
                !self.lapsed(w)
                    && w.tasks
                        .get(&t)
                        .is_some_and(|s| s.attempt == attempt && s.stage == "running")
            })
        })
    }

    fn progress(&mut self, name: &str, season: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // A worker whose lease ran out has killed its tasks.
        if w.season != season || w.dead || now > w.answered + 16 * SECOND {
            return;
        }
        if now < w.hangs {
            let at = w.hangs;
            return self.at(at, Ev::Progress(name.into(), season));
        }
        w.timer += 1;
        let timer = w.timer;
        let due: Vec<(String, u64, &str)> = w
            .tasks
            .iter()
            .filter(|(_, s)| s.stage != "ended" && s.ends <= now)
            .map(|(t, s)| (t.clone(), s.attempt, s.stage))
            .collect();
        for (t, attempt, stage) in due {
            let (job, n) = crate::model::parse_task(&t).unwrap();
            let gang = self.jobs[job].spec["furrow"] == "gang";
            let known = self.jobs[job].done.contains(&n);
            // A gang is done together, or not at all.
            let whole = !gang || known || self.together(job, attempt);
            let why = match (stage, whole) {
                ("gathering", _) => "incomplete",
                (_, true) => "done",
                _ => "mates_gone",
            };
            if let Some(s) = self.workers.get_mut(name).and_then(|w| w.tasks.get_mut(&t)) {
                s.stage = "ended";
                s.why = why;
            }
            if why == "done" {
                if let Some(j) = self.jobs.get_mut(job) {
                    if gang {
                        j.done.extend(0..j.tasks);
                    } else {
                        j.done.insert(n);
                    }
                    if j.done.len() == 1 {
                        j.first_end = self.seen.leaders;
                    } else if j.first_end < self.seen.leaders {
                        self.seen.split_ends += 1;
                    }
                    let last = j.done.len() as u32 == j.tasks;
                    if last && now < self.cancel_at_end && !j.cancel_asked {
                        let soon = now + self.rng.u64(0..200) * MILLI;
                        let id = job.to_owned();
                        self.at(soon, Ev::User(id, What::Abort));
                    }
                }
            }
        }
        self.at(now + 10 * MILLI, Ev::Report(name.into(), timer));
    }

    fn check_quota(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !self.lapsed(w)) {
            for (t, s) in &w.tasks {
                if s.stage != "ended" {
                    let j = &self.jobs[crate::model::parse_task(t).unwrap().0];
                    *used
                        .entry(j.spec["crew"].as_str().unwrap().into())
                        .or_default() += j.cpus;
                }
            }
        }
        for (team, u) in used {
            let limit = self.settings[0].team(&team).unwrap().limit.cpus as f64 / 1e6;
            self.seen.peak_use = self.seen.peak_use.max(u / limit);
            if u > limit + 1e-6 {
                self.breaks("quota", format!("{team} uses {u} of {limit}"));
            }
        }
    }

    // --- Users ----------------------------------------------------------------

    fn user(&mut self, id: String, what: What) {
        let j = &self.jobs[&id];
        if j.over || (what != What::Submit && !j.accepted) {
            if what == What::Abort && !j.over {
                self.at(self.now + SECOND, Ev::User(id, what));
            }
            return;
        }
        // Users name only what was accepted.
        let early = |n: &String| !self.jobs[n].accepted;
        if what == What::Submit && j.needs.iter().any(early) {
            return self.at(self.now + SECOND, Ev::User(id, what));
        }
        let (method, path, body) = match what {
            What::Submit => (
                "POST",
                "/work".to_owned(),
                rmp_serde::to_vec(&j.spec).unwrap(),
            ),
            What::Poll => ("GET", format!("/work/{id}"), Vec::new()),
            What::Abort => ("POST", format!("/work/{id}/abort"), Vec::new()),
        };
        if what == What::Abort {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.cancel_asked = true;
            }
        }
        let req = Request {
            method: method.into(),
            path,
            query: String::new(),
            body,
            close: false,
        };
        let to = self.rng.usize(0..3);
        let lag = self.lag();
        self.at(
            self.now + lag,
            Ev::Ask(
                to,
                req,
                Asker::User {
                    job: id,
                    what,
                    sent: self.now,
                },
            ),
        );
    }

    fn answer_user(&mut self, id: String, what: What, sent: Micros, r: Response) {
        let again = self.now + SECOND * if what == What::Poll { 5 } else { 1 };
        if !matches!(r.status, 200 | 201) {
            let accepted = self.jobs[&id].accepted;
            if matches!(r.status, 400 | 422) || (accepted && r.status == 404) {
                self.breaks("forgotten", format!("{id}: {what:?} got {}", r.status));
            }
            return self.at(again, Ev::User(id, what));
        }
        let stage = read(&r.body)["stage"].as_str().unwrap_or("").to_owned();
        let now = self.now;
        let told = self.ancestors_told(&id);
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut wrong = None;
        // A question asked before the last word was out may cross it.
        let after = sent >= j.told_at;
        if after
            && ((j.done_told && stage != "done")
                || (j.cancel_told.is_some() && stage != "cancelled"))
        {
            wrong = Some("went_back");
        }
        let along = told.is_some();
        if matches!(stage.as_str(), "queued" | "running")
            && told.flatten().is_some_and(|t| sent > t + 41 * SECOND)
        {
            wrong = Some("orphaned");
        }
        if stage == "cancelled" && !j.cancel_asked && along && j.cancel_told.is_none() {
            self.seen.along += 1;
        }
        if stage == "cancelled" && !j.cancel_asked && !along {
            wrong = Some("went_back");
        }
        if stage == "done" && (j.done.len() as u32) < j.tasks {
            wrong = Some("not_done");
        }
        let first = !j.accepted;
        if first {
            j.accepted_at = now;
        }
        j.accepted = true;
        j.answered = now;
        if matches!(stage.as_str(), "done" | "cancelled") && j.told_at == 0 {
            j.told_at = now;
        }
        if what == What::Abort && (j.done.len() as u32) == j.tasks {
            self.seen.at_end.0 += u32::from(stage == "done");
            self.seen.at_end.1 += u32::from(stage == "cancelled");
        }
        match stage.as_str() {
            "done" => j.done_told = true,
            "cancelled" => {
                if j.cancel_told.is_none() {
                    let refused = self.ctls.iter().any(|c| now < c.refused);
                    self.seen.cancels_refused += u32::from(refused);
                    let prefix = format!("{id}/");
                    let on = self.workers.values().flat_map(|w| w.tasks.iter());
                    let on = on.filter(|(t, s)| t.starts_with(&prefix) && s.stage != "ended");
                    self.seen.cancelled_running += on.count() as u32;
                }
                j.cancel_told.get_or_insert(now);
            }
            _ => {}
        }
        if let Some(rule) = wrong {
            return self.breaks(rule, format!("{id}: {what:?} says {stage}"));
        }
        if what != What::Abort && (first || what == What::Poll) {
            self.at(again + 4 * SECOND, Ev::User(id, What::Poll));
        }
    }

    // --- Faults ---------------------------------------------------------------

    fn fault(&mut self, f: Fault) {
        let now = self.now;
        match f {
            Fault::Crash(i) => {
                if self.ctls[i].node.take().is_some() {
                    for asker in std::mem::take(&mut self.ctls[i].conns).into_values() {
                        self.fail(asker);
                    }
                    let wait = [SECOND / 5, 5 * SECOND][self.rng.usize(0..2)];
                    self.at(now + wait, Ev::Boot(i));
                }
            }
            Fault::StoreDown(d) => {
                self.store.down = now + d;
                // After an outage every lease has its full time again.
                for (life, until) in self.store.grants.values_mut() {
                    *until = now + d + *life;
                }
            }
            Fault::RefuseLeader(d) => {
                let i = self.leads();
                self.ctls[i].refused = now + d;
            }
            Fault::CancelRunning(n, hang) => {
                let mut ids: Vec<String> = Vec::new();
                let mut on: Vec<String> = Vec::new();
                for (m, w) in &self.workers {
                    for (t, s) in &w.tasks {
                        let id = crate::model::parse_task(t).unwrap().0.to_owned();
                        if s.stage != "ended" && !ids.contains(&id) && ids.len() < n {
                            ids.push(id);
                            on.push(m.clone());
                        }
                    }
                }
                for id in ids {
                    let at = now + self.rng.u64(0..200) * MILLI;
                    self.at(at, Ev::User(id, What::Abort));
                }
                for m in on {
                    if let Some(w) = self.workers.get_mut(&m) {
                        w.hangs = w.hangs.max(now + hang);
                    }
                }
            }
            Fault::CancelAtEnd(d) => self.cancel_at_end = now + d,
            Fault::LowerLimits => (self.ops_most, self.value_most) = (4, 2048),
            Fault::HeldAnswers(d) => self.held_answers = now + d,
            Fault::Zone(i, d) => {
                self.fault(Fault::Alone(i, d, false));
                for w in self.workers.values_mut() {
                    if w.at == i {
                        w.zone = (i, now + d);
                    }
                }
            }
            Fault::LateWrites(d) => self.late_writes = now + d,
            Fault::SlowStore(d) => self.slow_store = now + d,
            Fault::Mute(d) => {
                for w in self.workers.values_mut() {
                    if self.rng.bool() {
                        w.mute = now + d;
                    }
                }
            }
            Fault::AllAway(d) => {
                for i in 0..3 {
                    self.ctls[i].away = now + d;
                    self.fault(Fault::Blink(i));
                }
            }
            Fault::CutStore(i, d) => self.ctls[i].cut_store = now + d,
            Fault::CutWorkers(i, d) => self.ctls[i].cut_workers = now + d,
            Fault::CutMesh(i, d) => self.ctls[i].cut_mesh = now + d,
            Fault::CloudDown(d) => self.cloud_down = now + d,
            Fault::Copies(d) => self.copies = now + d,
            Fault::Alone(i, d, resets) => {
                let c = &mut self.ctls[i];
                c.cut_store = now + d;
                c.cut_mesh = now + d;
                c.resets = resets;
            }
            Fault::LeaderBlinks => {
                let i = self.leads();
                self.fault(Fault::Blink(i));
            }
            Fault::Blink(i) => {
                if self.ctls[i].node.take().is_some() {
                    for asker in std::mem::take(&mut self.ctls[i].conns).into_values() {
                        self.fail(asker);
                    }
                    let wait = self.rng.u64(50..900) * MILLI;
                    let at = (now + wait).max(self.ctls[i].away + wait);
                    self.at(at, Ev::Boot(i));
                }
            }
            Fault::MachineDies
            | Fault::MachineHangs(_)
            | Fault::MachineDeaf(_)
            | Fault::MachineBlinks => {
                let names: Vec<String> = self.workers.keys().cloned().collect();
                if names.is_empty() {
                    return;
                }
                let name = &names[self.rng.usize(0..names.len())];
                if let Some(w) = self.workers.get_mut(name) {
                    match f {
                        Fault::MachineHangs(d) => w.hangs = now + d,
                        Fault::MachineDeaf(d) => w.deaf = now + d,
                        Fault::MachineBlinks => {
                            (w.season, w.tally, w.token) = (1, 0, 0);
                            w.tasks.clear();
                            w.answered = now;
                        }
                        _ => {
                            w.dead = true;
                            w.tasks.clear();
                        }
                    }
                }
            }
        }
    }

    /// Whether users asked to cancel a job that this one needs, through others too, and
    /// when the first was told that it is.
    fn ancestors_told(&self, id: &str) -> Option<Option<Micros>> {
        let mut todo = self.jobs[id].needs.clone();
        let mut found: Option<Option<Micros>> = None;
        while let Some(n) = todo.pop() {
            let j = &self.jobs[&n];
            if j.cancel_asked {
                let first = [found.flatten(), j.cancel_told].into_iter().flatten().min();
                found = Some(first);
            }
            todo.extend(j.needs.iter().cloned());
        }
        found
    }

    /// Jobs that are not over, or not even accepted.
    fn left_open(&self) -> Vec<&String> {
        let open = |j: &Job| !j.accepted || !(j.done_told || j.cancel_told.is_some());
        let left = self.jobs.iter().filter(|(_, j)| open(j));
        left.map(|(id, _)| id).collect()
    }

    /// Who is on record as the leader.
    fn leads(&self) -> usize {
        let holder = self.store.data.get("st/leader");
        let name = holder.and_then(|(v, ..)| v["holder"].as_str().map(str::to_owned));
        let mut names = self.settings.iter();
        names
            .position(|s| Some(&s.name) == name.as_ref())
            .unwrap_or(0)
    }

    /// Once all troubles are over, no accepted job is left without an answer for
    /// 75 s, however the others fare, and whether it is over or not.
    fn check_known(&mut self) {
        let now = self.now;
        let left: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted)
            .filter(|(_, j)| now > j.answered.max(self.troubles_end) + 75 * SECOND)
            .map(|(id, _)| id.clone())
            .collect();
        for id in left {
            self.breaks("forgotten", format!("{id}: no answer for 75 s"));
        }
    }

    /// Once all troubles are over, no job waits for 90 s while machines have room for
    /// what it lacks and its team is under its limit.
    fn check_waiting(&mut self) {
        let now = self.now;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut free: Vec<(bool, f64, f64)> = Vec::new();
        let mut on: BTreeMap<String, u32> = BTreeMap::new();
        for w in self.workers.values() {
            if self.lapsed(w) || w.token == 0 {
                continue;
            }
            let (mut cpus, mut mem) = if w.flavor == "box" {
                (4.0, 16.0)
            } else {
                (8.0, 64.0)
            };
            for (t, s) in w.tasks.iter().filter(|(_, s)| s.stage != "ended") {
                let id = crate::model::parse_task(t).unwrap().0;
                let j = &self.jobs[id];
                cpus -= j.cpus;
                mem -= 1.0;
                let team = j.spec["crew"].as_str().unwrap().to_owned();
                *used.entry(team).or_default() += j.cpus;
                *on.entry(id.to_owned()).or_default() += u32::from(s.stage != "ended");
            }
            free.push((w.spot, cpus, mem));
        }
        let mut stuck = Vec::new();
        for (id, j) in &self.jobs {
            let over = j.done_told || j.cancel_told.is_some() || j.cancel_asked;
            let have = on.get(id).copied().unwrap_or(0) + j.done.len() as u32;
            let undone = |n: &String| (self.jobs[n].done.len() as u32) < self.jobs[n].tasks;
            let held = j.needs.iter().any(undone);
            if !j.accepted || over || held || have >= j.tasks {
                self.waits.remove(id);
                continue;
            }
            let gang = j.spec["furrow"] != "batch";
            let lack = if gang { j.tasks - have } else { 1 };
            let fits = |(spot, cpus, mem): &(bool, f64, f64)| {
                if *spot && !j.spec["fallow"].as_bool().unwrap() {
                    return 0;
                }
                (cpus / j.cpus + 1e-6).min(*mem).max(0.0) as u32
            };
            let room: u32 = free.iter().map(fits).sum();
            let team = j.spec["crew"].as_str().unwrap();
            let limit = self.settings[0].team(team).unwrap().limit.cpus as f64 / 1e6;
            let use_ = used.get(team).copied().unwrap_or(0.0);
            self.seen.crowded += u32::from(room < lack);
            if room < lack || use_ + lack as f64 * j.cpus > limit + 1e-6 {
                self.waits.remove(id);
                continue;
            }
            let begun = j.starts;
            let e = self.waits.entry(id.clone()).or_insert((now, begun));
            if e.1 != begun {
                *e = (now, begun);
            }
            let since = e.0;
            if now > since.max(self.troubles_end) + 90 * SECOND {
                stuck.push(format!(
                    "{id}: {} of {have} there, room for {room}, team uses {use_} of {limit}, {}",
                    j.tasks, j.spec
                ));
            }
        }
        for what in stuck {
            self.breaks("waits", what);
        }
    }

    /// Every cancelled job's tasks are gone in time, hanging machines included.
    fn check_cancelled(&mut self) {
        let late: Vec<String> = self
            .workers
            .values()
            .filter(|w| !self.lapsed(w))
            .flat_map(|w| {
                w.tasks
                    .iter()
                    .filter(|(_, s)| s.stage != "ended")
                    .map(|(t, _)| t.clone())
            })
            .filter(|t| {
                self.jobs[crate::model::parse_task(t).unwrap().0]
                    .cancel_told
                    .is_some_and(|c| self.now > c + 41 * SECOND)
            })
            .collect();
        for t in late {
            self.breaks("ran_cancelled", t);
        }
    }
}

fn plan(seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let end = 240 * SECOND;
    let mut faults = Vec::new();
    for _ in 0..rng.u32(2..9) {
        let at = SECOND * rng.u64(10..150);
        let long = SECOND * rng.u64(2..45);
        let i = rng.usize(0..3);
        faults.push((
            at,
            match rng.u32(0..9) {
                0 | 1 => Fault::Crash(i),
                2 => Fault::StoreDown(long),
                3 => Fault::CutStore(i, long),
                4 => Fault::CutWorkers(i, long),
                5 => Fault::CutMesh(i, long),
                6 => Fault::CloudDown(long),
                7 => Fault::MachineDies,
                _ => Fault::MachineHangs(long),
            },
        ));
        if rng.u32(0..6) == 0 {
            faults.extend((0..3).map(|i| (at + SECOND, Fault::Crash(i))));
        }
    }
    Plan {
        seed,
        faults,
        jobs: 24,
        end,
        load: Load::Mixed,
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

fn play(p: &Plan, plant: Plant) -> World {
    play_in(p, World::new(p, plant))
}

fn play_in(p: &Plan, mut w: World) -> World {
    log_if_asked();
    fastrand::seed(p.seed);
    PLANT.set(None);
    let mut t = 5 * SECOND;
    let after = if p.load == Load::Crowd { 400 } else { 120 };
    while t <= p.end + after * SECOND && w.broken.is_empty() {
        w.run(t);
        w.check_cancelled();
        w.check_known();
        w.check_waiting();
        t += 5 * SECOND;
    }
    w
}

/// Plays a day; every rule must hold, and every job be over in the end.
fn check(seed: u64) -> u32 {
    check_plan(&plan(seed))
}

fn check_plan(p: &Plan) -> u32 {
    let seed = p.seed;
    let w = play(p, Plant::Nothing);
    assert!(w.seen.too_large == 0, "seed {seed}: {:?}", w.seen);
    assert!(
        w.broken.is_empty(),
        "seed {seed}: {:?}, faults {:?}",
        w.broken,
        p.faults
    );
    for (id, j) in &w.jobs {
        let over = j.done_told || j.cancel_told.is_some();
        assert!(
            j.accepted && over,
            "seed {seed}: {id} not over, {} of {} done, {}, records {:?}, faults {:?}",
            j.done.len(),
            j.tasks,
            j.spec,
            w.store
                .data
                .iter()
                .filter(|(k, _)| k.contains(id.as_str())
                    || k.contains("region")
                    || k.contains("/lot/")
                    || k.contains("/roll/")
                    || k.contains("quota"))
                .map(|(k, v)| format!("{k} {}", v.0))
                .collect::<Vec<_>>(),
            p.faults
        );
    }
    w.starts
}

/// A day with the further troubles on top.
fn harder(seed: u64) -> Plan {
    let mut p = plan(seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    for _ in 0..rng.u32(2..7) {
        let at = SECOND * rng.u64(10..150) + MILLI * rng.u64(0..1000);
        let long = SECOND * rng.u64(5..45);
        let i = rng.usize(0..3);
        let f = match rng.u32(0..8) {
            0 | 1 => Fault::MachineDeaf(long),
            2 => Fault::MachineBlinks,
            3 => Fault::Copies(long),
            4 => Fault::Alone(i, long, rng.bool()),
            5 => Fault::Blink(i),
            _ => Fault::LeaderBlinks,
        };
        p.faults.push((at, f));
        // Twice in a row, the second time in the middle of the election.
        if matches!(f, Fault::Blink(_) | Fault::LeaderBlinks) && rng.bool() {
            p.faults.push((at + rng.u64(300..2500) * MILLI, f));
        }
    }
    p
}

/// Machines that are deaf or back at once, late copies, controllers alone with
/// their workers or back at once: the rules hold, and every job ends.
#[test]
fn days_with_further_troubles() {
    for seed in seeds() {
        check_plan(&harder(seed));
    }
}

/// Each part of the safety argument is needed: left out, some day breaks the rule
/// that it is there for.
#[test]
fn planted_faults_are_caught() {
    for (plant, rules) in [
        (Plant::Hasty, &["ran_twice"][..]),
        (Plant::Undying, &["ran_twice", "ran_cancelled"][..]),
        (Plant::Credulous, &["ran_twice", "not_done", "quota"][..]),
    ] {
        let caught = (1..=200).any(|seed| {
            let mut p = harder(seed);
            if plant != Plant::Hasty {
                p.faults.push((40 * SECOND, Fault::Copies(100 * SECOND)));
                p.faults
                    .push((60 * SECOND, Fault::Alone(0, 60 * SECOND, true)));
            }
            let w = play(&p, plant);
            w.broken.iter().any(|b| rules.iter().any(|r| b.contains(r)))
        });
        assert!(caught, "{plant:?}");
    }
}

/// Records as an earlier version left them: a machine of its own with a running
/// task, a bound job, shares. They are taken over, nothing runs twice or is lost.
#[test]
fn records_of_an_earlier_version() {
    let mut p = plan(3);
    p.faults.clear();
    let mut w = World::new(&p, Plant::Nothing);
    let id = w.jobs.keys().next().unwrap().clone();
    let j = w.jobs.get_mut(&id).unwrap();
    j.spec = json!({"nameId": id, "crop": "x", "crew": "red", "furrow": "batch", "rank": "standard",
        "sheaves": 3, "cores": 1.0, "cards": 0.0, "memoryGb": 1.0, "seed": "img", "sizeGb": 1.0,
        "plots": null, "field": null, "samePlace": false, "spread": false, "fallow": false,
        "growthS": 10, "stookS": 0.0, "bindS": 0.0, "harvestS": null});
    (j.tasks, j.cpus, j.run, j.accepted) = (3, 1.0, 10 * SECOND, true);
    let records = [
        ("st/token", json!(4)),
        (
            "st/machine/m-900000",
            json!({"region": "t-1", "flavor": "box", "zone": "a", "spot": false, "opened": true}),
        ),
        ("st/quota/red", json!({"t-1": [3000000, 0]})),
        (
            &format!("st/job/{id}"),
            json!({"st": "o", "b": [[0, 3, "t-1"]], "j": {"c": "x", "t": "red", "k": "a",
            "r": "1", "n": 3, "u": 1000000, "m": 1000000, "i": "img", "s": 1000000, "e": 10000000, "a": 1}}),
        ),
        (&format!("st/progress/{id}/t-1/0"), json!("1")),
    ];
    for (k, v) in records {
        w.store.revision += 1;
        let m = w.store.revision;
        w.store.data.insert(k.into(), (v, m, None));
    }
    w.jobs.get_mut(&id).unwrap().done.insert(0);
    let mut worker = Worker {
        flavor: "box".into(),
        spot: false,
        season: 2,
        tally: 40,
        token: 4,
        tasks: BTreeMap::new(),
        answered: 1,
        at: 0,
        timer: 0,
        dead: false,
        hangs: 0,
        deaf: 0,
        mute: 0,
        zone: (0, 0),
    };
    let task = Task {
        attempt: 4 << 24 | 7,
        stage: "running",
        why: "done",
        ends: 12 * SECOND,
    };
    worker.tasks.insert(format!("{id}/1"), task);
    w.workers.insert("m-900000".into(), worker);
    w.at(SECOND, Ev::Report("m-900000".into(), 0));
    w.at(12 * SECOND, Ev::Progress("m-900000".into(), 2));
    w.at(2 * SECOND, Ev::User(id.clone(), What::Poll));
    let w = play_in(&p, w);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let over = w
        .jobs
        .values()
        .all(|j| j.done_told || j.cancel_told.is_some());
    assert!(over && w.jobs[&id].done.len() == 3);
}

/// Seeded days with faults of all kinds keep every rule, and when the faults are
/// over the work gets done.
#[test]
fn days_with_faults_keep_the_rules() {
    let mut starts = 0;
    for seed in seeds() {
        starts += check(seed);
    }
    let least = 50 * seeds().end();
    assert!(starts as u64 > least, "only {starts} starts");
}

/// One day, to look at: `SALTTILLER_SEED=16 SALTTILLER_LOG=debug`, and with
/// `SALTTILLER_HARDER=1` the further troubles.
#[test]
fn one_day() {
    let seed = std::env::var("SALTTILLER_SEED").ok();
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(1);
    if std::env::var("SALTTILLER_HARDER").is_ok() {
        check_plan(&harder(seed));
    } else {
        check(seed);
    }
}

/// Days on which something once went wrong stay right. Seed 23 had a gang that no
/// region could hold and for which nothing was rented. Seed 71 had a gang done while
/// one member's machine hung, and that member's place counted as free. Seed 149 had a region without
/// machines keep the better part of a team's limit for its waiting tasks. Seed 438 had the last
/// tasks of a job put on record by two regions at the same moment, and nobody
/// said that it was done.
#[test]
fn days_that_once_failed() {
    for seed in [23, 71, 149, 438] {
        check(seed);
    }
}
