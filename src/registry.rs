//! Our side of the state service: the replica, grants, commits and the read
//! barrier, paced under the service's rates.
//!
//! What makes it safe:
//! - A commit whose answer is missing is *unknown*. It is sent again unchanged,
//!   with the same conditions, until the answer is definite; a late copy then
//!   finds its conditions broken and changes nothing.
//! - `fresh_at` is the send time of the last completed read that asked for
//!   everything up to "now", and `renewed_at` that of the last renewal: both are
//!   earlier than what they prove.

pub mod pipelines;
pub mod records;
pub mod replica;

use crate::fault_injection::{is_left_out, Guard};
use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::http::Response;
use crate::reactor::CallError;
use crate::settings::Settings;
use crate::units::{shrink, Micros, MILLI, SECOND};
use records::{Key, PREFIX};
use replica::Replica;

/// A change of the records, all or nothing.
#[derive(Debug, Clone, Default)]
pub struct Txn {
    /// Records it relies on, with the revision they must have (0: absent).
    pub when: Vec<(Key, u64)>,
    /// Puts and deletions.
    pub apply: Vec<(Key, Option<Value>)>,
    /// Attach the puts of this key to this grant.
    pub lease: Option<(Key, u64)>,
}

/// How a commit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out, with this revision.
    Done(u64),
    /// A condition didn't hold: surely not carried out by this sending, but an
    /// earlier unanswered one may have been. The replica must reach the revision
    /// before anything is concluded.
    Conflict(u64),
    /// Surely not carried out.
    Refused,
    /// Its time ran out with no definite answer.
    Unknown,
}

/// What the registry has to tell the other slices.
#[derive(Debug)]
pub enum RegistryEvent {
    /// Records that changed.
    Changed(Vec<Key>),
    /// The whole replica was read anew.
    Loaded,
    /// A read sent at this time is complete.
    Barrier(Micros),
    /// A read sent at this time failed.
    BarrierFailed(Micros),
    /// A commit ended.
    Committed(u64, Outcome),
    /// The process's grant is gone, and all regions held under it.
    OwnerGrantLost,
    /// The leader's grant is gone.
    LeaderGrantLost,
}

/// How far an owner may act just now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Authority {
    /// Not at all: another may own the region, or jobs be cancelled unheard.
    Ended,
    /// It may answer reports and so keep running work alive, but what it knows is too
    /// old to start anything by: a job may have been cancelled since.
    Answering,
    /// It may start tasks, too.
    Starting,
}

/// A call to the state service.
#[derive(Debug)]
pub struct StoreCall {
    /// Handed back with the response.
    pub op: u64,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time it may take.
    pub timeout: Micros,
}

/// How soon a commit matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Users wait for it, or authority hangs on it.
    First,
    /// Work waits for it.
    Next,
    /// Nothing does.
    Later,
}

struct Commit {
    ticket: u64,
    txn: Txn,
    urgency: Urgency,
    asked: Micros,
    give_up: Option<Micros>,
    not_before: Micros,
    /// A sending of it is unanswered: it may yet be carried out.
    unsure: bool,
}

/// One of the two grants a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantName {
    /// For regions.
    Owner,
    /// For leading.
    Leader,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantState {
    Unwanted,
    Wanted {
        not_before: Micros,
    },
    Asking {
        sent: Micros,
    },
    Held {
        id: u64,
        renewed: Micros,
        next: Micros,
    },
    Renewing {
        id: u64,
        renewed: Micros,
        sent: Micros,
    },
}

#[derive(Debug)]
struct Grant {
    life: Micros,
    state: GrantState,
}

enum Op {
    Page { sent: Micros },
    Follow,
    Barrier { sent: Micros },
    Ask(GrantName),
    Renew(GrantName),
    Commit(Box<Commit>),
}

/// A bucket of permits that fills at a rate, holding at most a second's worth.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    cap: f64,
    at: Micros,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let cap = rate.max(2.0);
        Bucket {
            rate,
            level: cap,
            cap,
            at: 0,
        }
    }
    fn fill(&mut self, now: Micros) {
        let dt = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + dt * self.rate).min(self.cap);
        self.at = now;
    }
    fn has(&self, n: f64) -> bool {
        // More than the bucket holds would never pass: such goes when it is full.
        self.level >= n.min(self.cap)
    }
    fn wait(&self, n: f64) -> Micros {
        let lack = n.min(self.cap) - self.level;
        if lack <= 0.0 {
            0
        } else {
            (lack / self.rate * 1e6) as Micros + MILLI
        }
    }
}

#[derive(Deserialize)]
struct PairWire {
    k: String,
    value: Value,
    mark: u64,
}

#[derive(Deserialize)]
struct PageWire {
    pairs: Vec<PairWire>,
    #[serde(default)]
    more: bool,
    almanac: u64,
}

#[derive(Deserialize)]
struct EventWire {
    put: Option<String>,
    delete: Option<String>,
    #[serde(default)]
    value: Option<Value>,
    mark: u64,
}

#[derive(Deserialize)]
struct FollowWire {
    almanac: u64,
    events: Vec<EventWire>,
}

#[derive(Deserialize)]
struct AlmanacWire {
    almanac: u64,
}

#[derive(Deserialize)]
struct TenureWire {
    tenure: u64,
}

enum Load {
    Needed {
        not_before: Micros,
    },
    Reading {
        fresh: Box<Replica>,
        from: Option<String>,
        start: Option<u64>,
        sent: Option<Micros>,
        waiting: bool,
    },
    Done,
}

/// The registry's state.
pub struct Registry {
    /// The copy of the records.
    pub replica: Replica,
    load: Load,
    follow_busy: bool,
    follow_next: Micros,
    follow_gap: Micros,
    barrier_busy: bool,
    barrier_next: Micros,
    barrier_gap: Micros,
    barrier_wanted: bool,
    fresh_at: Option<Micros>,
    failing: bool,
    owner: Grant,
    leader: Grant,
    /// Commits that wait to be sent, by urgency.
    queues: [VecDeque<Commit>; 3],
    ops: BTreeMap<u64, Op>,
    next_op: u64,
    next_ticket: u64,
    in_flight: usize,
    requests: Bucket,
    writes: Bucket,
    /// The lowest rate of changes that the state service will have for all controllers.
    writes_least: f64,
    /// How many controllers share it.
    controllers: f64,
    write_most: f64,
    out: Vec<StoreCall>,
    commit_times: Vec<Micros>,
    commit_sent: BTreeMap<u64, Micros>,
    /// The time of the last call.
    now: Micros,
}

/// How old the last complete read may be for us to take requests and start tasks.
pub const FRESH_FOR: Micros = 3 * SECOND;
const MARGIN: Micros = 300 * MILLI;
const COMMITS_AT_ONCE: usize = 6;
/// The periodic read that keeps authority and readiness up.
const SYNC_EVERY: Micros = SECOND;
const FOLLOW_WAIT: Micros = 5 * SECOND;

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Option<T> {
    match rmp_serde::from_slice(body) {
        Ok(v) => Some(v),
        Err(e) => {
            log::error!("registry: answer of the state service can't be read: {e}");
            None
        }
    }
}

fn encode(v: &Value) -> Vec<u8> {
    rmp_serde::to_vec(v).unwrap_or_default()
}

impl Registry {
    /// A registry that knows nothing yet.
    pub fn new(s: &Settings) -> Self {
        let n = s.size() as f64;
        let share = s.store_rps / n;
        // More than an even share each, since not all have much to write at once;
        // when that is too much together, each comes down to its even share.
        let most = (0.95 / n).max(0.4);
        Registry {
            replica: Replica::default(),
            load: Load::Needed { not_before: 0 },
            follow_busy: false,
            follow_next: 0,
            follow_gap: ((1e6 / (share * 0.3)) as Micros).max(20 * MILLI),
            barrier_busy: false,
            barrier_next: 0,
            barrier_gap: ((1e6 / (share * 0.2)) as Micros).max(20 * MILLI),
            barrier_wanted: false,
            fresh_at: None,
            failing: false,
            owner: Grant {
                life: s.grant_life(),
                state: GrantState::Unwanted,
            },
            leader: Grant {
                life: 4 * SECOND,
                state: GrantState::Unwanted,
            },
            queues: Default::default(),
            ops: BTreeMap::new(),
            next_op: 1,
            next_ticket: 1,
            in_flight: 0,
            requests: Bucket::new(share * 0.95),
            writes: Bucket::new(s.store_writes * most),
            writes_least: s.store_writes_least,
            controllers: n,
            write_most: s.store_writes * most,
            out: Vec::new(),
            commit_times: Vec::new(),
            commit_sent: BTreeMap::new(),
            now: 0,
        }
    }

    /// Whether the replica has been read.
    pub fn loaded(&self) -> bool {
        matches!(self.load, Load::Done)
    }

    /// Send time of the last complete read, if there was one.
    pub fn fresh_at(&self) -> Option<Micros> {
        self.fresh_at
    }

    /// Whether the last read failed.
    pub fn failing(&self) -> bool {
        self.failing
    }

    /// How far an owner may act. Two deadlines, since a lost cancellation costs
    /// differently: a start after it is seen at once, a task that runs on is not
    /// before `cancel_s`, and to end every answer with the short one would have each
    /// outage end all work.
    pub fn authority(&self, now: Micros) -> Authority {
        if now >= self.authority_until() {
            Authority::Ended
        } else if self.fresh_at.is_some_and(|f| now < f + FRESH_FOR) {
            Authority::Starting
        } else {
            Authority::Answering
        }
    }

    /// Until when an owner may answer reports.
    pub fn authority_until(&self) -> Micros {
        let renewed = match self.owner.state {
            GrantState::Held { renewed, .. } | GrantState::Renewing { renewed, .. } => renewed,
            _ => return 0,
        };
        match self.fresh_at {
            Some(f) => (renewed.min(f) + shrink(self.owner.life)).saturating_sub(MARGIN),
            None => 0,
        }
    }

    /// Until when a leader may think itself one.
    pub fn leader_until(&self) -> Micros {
        match self.leader.state {
            GrantState::Held { renewed, .. } | GrantState::Renewing { renewed, .. } => {
                (renewed + shrink(self.leader.life)).saturating_sub(MARGIN)
            }
            _ => 0,
        }
    }

    fn grant(&mut self, name: GrantName) -> &mut Grant {
        match name {
            GrantName::Owner => &mut self.owner,
            GrantName::Leader => &mut self.leader,
        }
    }

    /// The grant's id, if it is held.
    pub fn grant_id(&self, name: GrantName) -> Option<u64> {
        let g = match name {
            GrantName::Owner => &self.owner,
            GrantName::Leader => &self.leader,
        };
        match g.state {
            GrantState::Held { id, .. } | GrantState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Asks for a grant and keeps it renewed from then on.
    pub fn want_grant(&mut self, name: GrantName) {
        let g = self.grant(name);
        if g.state == GrantState::Unwanted {
            g.state = GrantState::Wanted { not_before: 0 };
        }
    }

    /// Lets a grant run out.
    pub fn drop_grant(&mut self, name: GrantName) {
        self.grant(name).state = GrantState::Unwanted;
    }

    /// Asks for a read that begins after now.
    pub fn want_barrier(&mut self) {
        self.barrier_wanted = true;
    }

    /// Queues a commit; its end comes as [`RegistryEvent::Committed`].
    pub fn commit(&mut self, txn: Txn, urgency: Urgency, give_up: Option<Micros>) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let c = Commit {
            ticket,
            txn,
            urgency,
            asked: self.now,
            give_up,
            not_before: 0,
            unsure: false,
        };
        self.queues[urgency as usize].push_back(c);
        ticket
    }

    /// Commits that wait to be sent.
    pub fn backlog(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Times that commits took since the last call, for the admission limit.
    pub fn take_times(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.commit_times)
    }

    fn send(
        &mut self,
        op: Op,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        let id = self.next_op;
        self.next_op += 1;
        self.requests.level -= 1.0;
        self.ops.insert(id, op);
        self.out.push(StoreCall {
            op: id,
            method,
            target,
            body,
            timeout,
        });
    }

    /// Sends what is due. Returns the calls to make and when to look again.
    pub fn pump(
        &mut self,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) -> (Vec<StoreCall>, Micros) {
        self.now = now;
        self.requests.fill(now);
        self.writes.fill(now);
        let mut next = now + SECOND;
        for name in [GrantName::Owner, GrantName::Leader] {
            self.pump_grant(name, now, &mut next);
        }
        self.pump_load(now, &mut next);
        if self.loaded() {
            self.pump_reads(now, &mut next);
        }
        self.pump_commits(now, events, &mut next);
        (std::mem::take(&mut self.out), next)
    }

    fn pump_grant(&mut self, name: GrantName, now: Micros, next: &mut Micros) {
        let life = self.grant(name).life;
        match self.grant(name).state {
            GrantState::Wanted { not_before } if now >= not_before => {
                self.grant(name).state = GrantState::Asking { sent: now };
                let body = encode(&json!({"lifeMs": life / MILLI}));
                self.send(Op::Ask(name), "POST", "/grants".into(), body, 2 * SECOND);
            }
            GrantState::Wanted { not_before } => *next = (*next).min(not_before),
            GrantState::Held {
                id,
                renewed,
                next: due,
            } if now >= due => {
                self.grant(name).state = GrantState::Renewing {
                    id,
                    renewed,
                    sent: now,
                };
                let target = format!("/grants/{id}/renew");
                let timeout = (life / 4).min(2 * SECOND);
                self.send(Op::Renew(name), "POST", target, encode(&json!({})), timeout);
            }
            GrantState::Held { next: due, .. } => *next = (*next).min(due),
            _ => {}
        }
    }

    fn pump_load(&mut self, now: Micros, next: &mut Micros) {
        if let Load::Needed { not_before } = self.load {
            if now < not_before {
                *next = (*next).min(not_before);
                return;
            }
            self.load = Load::Reading {
                fresh: Box::default(),
                from: None,
                start: None,
                sent: None,
                waiting: false,
            };
        }
        if let Load::Reading {
            from,
            waiting,
            sent,
            ..
        } = &mut self.load
        {
            if *waiting {
                return;
            }
            *waiting = true;
            sent.get_or_insert(now);
            let mut target = format!("/store?under={PREFIX}&page=500");
            if let Some(f) = from {
                target.push_str("&from=");
                target.push_str(f);
            }
            self.send(
                Op::Page { sent: now },
                "GET",
                target,
                Vec::new(),
                4 * SECOND,
            );
        }
    }

    fn pump_reads(&mut self, now: Micros, next: &mut Micros) {
        let from = self.replica.revision;
        if !self.barrier_busy {
            let due = if self.barrier_wanted {
                self.barrier_next
            } else {
                (self.fresh_at.unwrap_or(0) + SYNC_EVERY).max(self.barrier_next)
            };
            if now >= due && self.requests.has(1.0) {
                self.barrier_busy = true;
                self.barrier_wanted = false;
                self.barrier_next = now + self.barrier_gap;
                let target = format!("/follow?under={PREFIX}&from={from}&waitMs=0");
                self.send(Op::Barrier { sent: now }, "GET", target, Vec::new(), SECOND);
            } else {
                *next = (*next).min(due.max(now + self.requests.wait(1.0)));
            }
        }
        if !self.follow_busy {
            if now >= self.follow_next && self.requests.has(1.0) {
                self.follow_busy = true;
                let target = format!(
                    "/follow?under={PREFIX}&from={from}&waitMs={}",
                    FOLLOW_WAIT / MILLI
                );
                let timeout = FOLLOW_WAIT + 3 * SECOND;
                self.send(Op::Follow, "GET", target, Vec::new(), timeout);
            } else {
                *next = (*next).min(self.follow_next.max(now + self.requests.wait(1.0)));
            }
        }
    }

    fn pump_commits(&mut self, now: Micros, events: &mut Vec<RegistryEvent>, next: &mut Micros) {
        for class in 0..self.queues.len() {
            let urgent = class == 0;
            let mut held = VecDeque::new();
            let mut queue = std::mem::take(&mut self.queues[class]);
            while let Some(c) = queue.pop_front() {
                if c.give_up.is_some_and(|g| now >= g) {
                    let end = if c.unsure {
                        Outcome::Unknown
                    } else {
                        Outcome::Refused
                    };
                    events.push(RegistryEvent::Committed(c.ticket, end));
                    continue;
                }
                let cost = c.txn.apply.len() as f64;
                let at_once = COMMITS_AT_ONCE - class;
                // What can wait leaves some for what can't.
                let cost = cost + self.writes.cap * [0.0, 0.2, 0.5][class];
                if now < c.not_before
                    || self.in_flight >= at_once
                    || !self.requests.has(1.0)
                    || !self.writes.has(cost)
                {
                    let at = c
                        .not_before
                        .max(now + self.requests.wait(1.0))
                        .max(now + self.writes.wait(cost));
                    if at > now {
                        *next = (*next).min(at);
                    }
                    if let Some(g) = c.give_up {
                        *next = (*next).min(g);
                    }
                    held.push_back(c);
                    continue;
                }
                self.writes.level -= c.txn.apply.len() as f64;
                self.in_flight += 1;
                let body = encode(&txn_value(&c.txn));
                let timeout = if urgent { 1200 * MILLI } else { 2 * SECOND };
                self.commit_sent.insert(c.ticket, now);
                self.send(
                    Op::Commit(Box::new(c)),
                    "POST",
                    "/commit".into(),
                    body,
                    timeout,
                );
            }
            self.queues[class] = held;
        }
    }

    /// Takes the end of a call.
    pub fn on_response(
        &mut self,
        op: u64,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) {
        let Some(op) = self.ops.remove(&op) else {
            return;
        };
        match op {
            Op::Page { sent } => self.on_page(sent, result, now, events),
            Op::Follow => {
                self.follow_busy = false;
                self.follow_next = now + self.follow_gap;
                if !self.on_follow(result, now, events) {
                    self.follow_next = now + 500 * MILLI;
                }
            }
            Op::Barrier { sent } => {
                self.barrier_busy = false;
                if self.on_follow(result, now, events) {
                    self.fresh_at = Some(self.fresh_at.unwrap_or(0).max(sent));
                    if self.failing {
                        log::info!("registry: state service: answers again");
                    }
                    self.failing = false;
                    events.push(RegistryEvent::Barrier(sent));
                } else {
                    if !self.failing && self.loaded() {
                        log::info!("registry: state service: read failed");
                    }
                    self.failing = true;
                    self.barrier_next = now + 250 * MILLI;
                    events.push(RegistryEvent::BarrierFailed(sent));
                }
            }
            Op::Ask(name) => self.on_ask(name, result, now),
            Op::Renew(name) => self.on_renew(name, result, now, events),
            Op::Commit(c) => self.on_commit(*c, result, now, events),
        }
    }

    fn on_page(
        &mut self,
        _sent: Micros,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) {
        let page: Option<PageWire> = match result {
            Ok(r) if r.status == 200 => decode(&r.body),
            Ok(r) => {
                log::debug!("registry: page: status {}", r.status);
                None
            }
            Err(e) => {
                log::debug!("registry: page: {e}");
                None
            }
        };
        let Load::Reading {
            fresh,
            from,
            start,
            sent,
            waiting,
        } = &mut self.load
        else {
            return;
        };
        let Some(page) = page else {
            let not_before = now + 300 * MILLI + fastrand::u64(0..200 * MILLI);
            self.load = Load::Needed { not_before };
            return;
        };
        *waiting = false;
        start.get_or_insert(page.almanac);
        let last = page.pairs.last().map(|p| p.k.clone());
        for p in page.pairs {
            fresh.event(&p.k, Some(p.value), p.mark);
        }
        if page.more && last.is_some() {
            *from = last;
            return;
        }
        // Changes made while the pages were read come again by watching from the
        // first page's revision; the marks tell which are known.
        fresh.reached(start.unwrap_or(0));
        let began = *sent;
        self.replica = std::mem::take(fresh);
        self.load = Load::Done;
        log::info!(
            "registry: replica: read, revision {}, {} jobs, {} machines",
            self.replica.revision,
            self.replica.jobs.len(),
            self.replica.machines.len()
        );
        if let Some(b) = began {
            self.fresh_at = Some(self.fresh_at.unwrap_or(0).max(b));
        }
        self.failing = false;
        events.push(RegistryEvent::Loaded);
    }

    fn on_follow(
        &mut self,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) -> bool {
        let r = match result {
            Ok(r) => r,
            Err(e) => {
                log::debug!("registry: watch: {e}");
                return false;
            }
        };
        if r.status == 410 {
            log::info!("registry: watch: revision too old, reading all again");
            if self.loaded() {
                self.load = Load::Needed { not_before: now };
            }
            return false;
        }
        if r.status != 200 {
            log::debug!("registry: watch: status {}", r.status);
            return false;
        }
        let Some(f) = decode::<FollowWire>(&r.body) else {
            return false;
        };
        let mut changed = Vec::new();
        for e in f.events {
            if let Some(k) = &e.put {
                changed.extend(self.replica.event(k, e.value, e.mark));
            } else if let Some(k) = &e.delete {
                changed.extend(self.replica.event(k, None, e.mark));
            }
        }
        self.replica.reached(f.almanac);
        if !changed.is_empty() {
            events.push(RegistryEvent::Changed(changed));
        }
        true
    }

    fn on_ask(&mut self, name: GrantName, result: Result<Response, CallError>, now: Micros) {
        let GrantState::Asking { sent } = self.grant(name).state else {
            return;
        };
        let id = match result {
            Ok(r) if r.status == 200 => decode::<TenureWire>(&r.body).map(|t| t.tenure),
            _ => None,
        };
        let life = self.grant(name).life;
        self.grant(name).state = match id {
            Some(id) => GrantState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            None => GrantState::Wanted {
                not_before: now + 300 * MILLI,
            },
        };
    }

    fn on_renew(
        &mut self,
        name: GrantName,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) {
        let GrantState::Renewing { id, renewed, sent } = self.grant(name).state else {
            return;
        };
        let life = self.grant(name).life;
        self.grant(name).state = match result {
            Ok(r) if r.status == 200 => GrantState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            Ok(r) if r.status == 404 => {
                log::info!("registry: {name:?} grant {id}: ran out");
                events.push(match name {
                    GrantName::Owner => RegistryEvent::OwnerGrantLost,
                    GrantName::Leader => RegistryEvent::LeaderGrantLost,
                });
                if name == GrantName::Owner {
                    GrantState::Wanted { not_before: now }
                } else {
                    GrantState::Unwanted
                }
            }
            _ => GrantState::Held {
                id,
                renewed,
                next: now + 400 * MILLI,
            },
        };
    }

    fn on_commit(
        &mut self,
        mut c: Commit,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) {
        self.in_flight -= 1;
        match &result {
            Ok(r) if r.status == 429 => {
                let leads = self.grant_id(GrantName::Leader).is_some();
                let floor = write_floor(self.writes_least, self.controllers, leads);
                self.writes.rate = (self.writes.rate * 0.7).max(floor);
            }
            Ok(r) if r.status == 200 => {
                self.writes.rate = (self.writes.rate + 0.05).min(self.write_most);
            }
            _ => {}
        }
        let sent_at = self.commit_sent.remove(&c.ticket).unwrap_or(now);
        let end = match &result {
            Ok(r) if r.status == 200 => {
                decode::<AlmanacWire>(&r.body).map(|a| Outcome::Done(a.almanac))
            }
            Ok(r) if r.status == 409 => {
                decode::<AlmanacWire>(&r.body).map(|a| Outcome::Conflict(a.almanac))
            }
            Ok(r) if r.status == 400 => {
                log::error!("registry: commit: refused as malformed or without grant");
                Some(if c.unsure {
                    Outcome::Unknown
                } else {
                    Outcome::Refused
                })
            }
            // Users are told at once when the state service can't be had.
            Ok(r) if r.status == 503 && c.give_up.is_some() => Some(if c.unsure {
                Outcome::Unknown
            } else {
                Outcome::Refused
            }),
            _ => None,
        };
        if let Some(end) = end {
            if let Outcome::Done(mark) = end {
                self.commit_times.push(now - sent_at);
                log::debug!(
                    "registry: commit: {} changes, first {}, {} ms after it was asked for, {} waiting",
                    c.txn.apply.len(),
                    c.txn.apply.first().map_or_else(String::new, |(k, _)| k.text()),
                    (now - c.asked) / MILLI,
                    self.backlog()
                );
                let mut keys = Vec::new();
                for (k, v) in c.txn.apply {
                    self.replica.own(&k, v, mark);
                    keys.push(k);
                }
                events.push(RegistryEvent::Committed(c.ticket, end));
                events.push(RegistryEvent::Changed(keys));
            } else {
                if matches!(end, Outcome::Conflict(_)) {
                    self.barrier_wanted = true;
                }
                events.push(RegistryEvent::Committed(c.ticket, end));
            }
            return;
        }
        // 429 and 503 were not executed; silence may have been. Either way the
        // same conditions go out again.
        c.unsure |= matches!(result, Err(CallError::NoAnswer));
        c.not_before = now + 100 * MILLI + fastrand::u64(0..150 * MILLI);
        self.queues[c.urgency as usize].push_front(c);
    }
}

/// The rate of changes below which a controller doesn't go, however often it is refused.
/// The leader binds every job and records every machine beside what its own region asks
/// for. With an even share its changes waited for up to 20 s under a lowered limit, and
/// every step of a pipeline with them, while the others wrote down progress.
fn write_floor(all: f64, controllers: f64, leads: bool) -> f64 {
    /// What the leader needs, in shares of the others.
    const LEADER_SHARES: f64 = 2.5;
    /// Some is left for clocks that run apart and requests that are tried again.
    const USABLE: f64 = 0.95;
    let share = all * USABLE / (controllers - 1.0 + LEADER_SHARES);
    if leads {
        share * LEADER_SHARES
    } else {
        share
    }
}

fn txn_value(t: &Txn) -> Value {
    let conditions: &[_] = if is_left_out(Guard::RevisionConditions) {
        &[]
    } else {
        &t.when
    };
    let when: Vec<Value> = conditions
        .iter()
        .map(|(k, m)| json!({"k": k.text(), "mark": m}))
        .collect();
    let apply: Vec<Value> = t
        .apply
        .iter()
        .map(|(k, v)| match v {
            None => json!({"delete": k.text()}),
            Some(v) => match &t.lease {
                Some((lk, id)) if lk == k => {
                    json!({"put": k.text(), "value": v, "tenure": id})
                }
                _ => json!({"put": k.text(), "value": v}),
            },
        })
        .collect();
    json!({"when": when, "apply": apply})
}

#[cfg(test)]
mod tests;
