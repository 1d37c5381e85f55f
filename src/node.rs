//! A controller: the slices put together. Events of the network and of the
//! clock go in, the slices' actions are carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use crate::fault_injection::{is_left_out, Guard};
use crate::fleet::{Fleet, FleetEvent};
use crate::http::{Request, Response};
use crate::intake::{self, Limiter, Refusal};
use crate::leader::{self, Leader, Reports};
use crate::mesh::{self, Message};
use crate::model::{is_job_id, JobSpec};
use crate::quota;
use crate::reactor::{Call, CallError, CallId, ConnId, Limits, Net, NetEvent, Reactor};
use crate::region::{self, Region, Verdict, View};
use crate::registry::records::{value, JobRecord, Key, LeaderRecord, RegionRecord, Stage};
use crate::registry::{
    Authority, GrantName, Outcome, Registry, RegistryEvent, Txn, Urgency, FRESH_FOR,
};
use crate::settings::Settings;
use crate::status::{self, Aims};
use crate::units::{Micros, MILLI, SECOND};
use crate::workers;

const STORE: usize = 0;
const CLOUD: usize = 1;

/// What a user waits for.
#[derive(Debug)]
enum Ask {
    /// Where a job stands; `submitted` if it is the repeat of a submission.
    State { id: String, submitted: bool },
    /// Cancel it.
    Cancel { id: String },
    /// Take it, if all that it needs was accepted once.
    Submit { id: String, spec: Box<JobSpec> },
}

/// A request that waits for a read that begins after it came.
#[derive(Debug)]
struct Waiting {
    conn: ConnId,
    ask: Ask,
    came: Micros,
    give_up: Micros,
}

/// What a commit of the controller's own was for.
#[derive(Debug)]
enum Ticket {
    Submit {
        conn: ConnId,
        id: String,
        came: Micros,
    },
    Cancel {
        conn: ConnId,
        id: String,
        give_up: Micros,
    },
    Take {
        region: String,
    },
    Hand {
        region: String,
    },
    Lead,
    Leader(Vec<Key>),
}

/// How the taking of a region stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// The commit is under way.
    Committing,
    /// Nothing before the replica has reached this revision.
    Looking(u64),
}

/// Another controller as the mesh shows it.
#[derive(Debug, Default)]
struct Peer {
    heard: Option<Micros>,
    fresh: bool,
    /// Since when it has said that its reads fail, without a break.
    stale_since: Option<Micros>,
    /// Since when it has been heard and fresh without a break.
    well_since: Option<Micros>,
}

enum CallFor {
    Store(u64),
    Cloud(u64),
}

/// The controller.
pub struct Node<N: Net> {
    settings: Settings,
    run: u64,
    reactor: N,
    registry: Registry,
    fleet: Fleet,
    regions: BTreeMap<String, Region>,
    claims: BTreeMap<String, Claim>,
    absent: BTreeMap<String, Micros>,
    retake: BTreeSet<String>,
    leader: Option<Leader>,
    lead_claim: Option<Claim>,
    lead_at: Option<Micros>,
    limiter: Limiter,
    waiting: Vec<Waiting>,
    tickets: BTreeMap<u64, Ticket>,
    users_busy: usize,
    calls: BTreeMap<CallId, CallFor>,
    peers: BTreeMap<String, Peer>,
    reports: Reports,
    /// Teams whose limit other regions find used up.
    short: BTreeMap<String, u64>,
    /// Jobs that peers say are cancelled and the replica doesn't show so yet.
    reported_cancelled: BTreeSet<String>,
    /// Jobs cancelled here that the peers are to be told of.
    to_tell: Vec<String>,
    mesh_next: Micros,
    mesh_count: u32,
    /// When to say next that messages can't be read.
    unread_next: Micros,
    aims: Aims,
    aims_next: Micros,
    /// Jobs that waited for others without a record when last looked at.
    missing_needs: usize,
    now: Micros,
}

/// How much later than ours the others' reads may have begun to fail for it to be one
/// outage: what they committed in between they told us.
const TOGETHER: Micros = 1500 * MILLI;
/// Most cancellations that are remembered until the replica shows them.
const MAX_REPORTED_CANCELLED: usize = 10_000;
/// How long a region must have had no owner before a stranger takes it.
const HOME_FIRST: Micros = 3 * SECOND;
/// How long a region's home must have been well before it gets its region back.
const HAND_BACK: Micros = 10 * SECOND;
const MESH_EVERY: Micros = 400 * MILLI;
/// Every so many times all controllers are told all, not just the leader.
const ALL_TOLD: u32 = 4;
/// A user waits 2 s for a poll's answer.
const POLL_PATIENCE: Micros = 1500 * MILLI;
/// A user waits 5 s for a submission's or a cancellation's answer.
const ASK_PATIENCE: Micros = 3500 * MILLI;

macro_rules! view {
    ($s:ident) => {
        View {
            starts: $s.may_start(),
            reported_cancelled: &$s.reported_cancelled,
            replica: &$s.registry.replica,
            settings: &$s.settings,
            now: $s.now,
            wall: $s.reactor.wall(),
            short: &$s.short,
        }
    };
}

impl Node<Reactor> {
    /// Opens the listeners and gets ready.
    pub fn open(settings: Settings) -> io::Result<Self> {
        let peers: Vec<_> = settings.peers.iter().map(|p| p.addr).collect();
        let limits = Limits {
            served: settings
                .sockets
                .saturating_sub(16 + 12 + 4 * settings.size())
                .max(16),
            backlog: 512 * 1024,
        };
        let dests = [(settings.store, 10), (settings.cloud, 2)];
        let reactor = Reactor::new(settings.front, settings.mesh, &dests, &peers, limits)?;
        Ok(Node::new(settings, reactor))
    }

    /// Serves until the process is killed.
    pub fn serve(&mut self) -> io::Result<()> {
        self.begin();
        loop {
            let until = self.step();
            for ev in self.reactor.wait(until)? {
                self.handle(ev);
            }
        }
    }
}

impl<N: Net> Node<N> {
    /// A controller that talks through `net`.
    pub fn new(settings: Settings, reactor: N) -> Self {
        let registry = Registry::new(&settings);
        let fleet = Fleet::new(&settings);
        Node {
            run: fastrand::u64(1..1 << 53),
            reactor,
            registry,
            fleet,
            regions: BTreeMap::new(),
            claims: BTreeMap::new(),
            absent: BTreeMap::new(),
            retake: BTreeSet::new(),
            leader: None,
            lead_claim: None,
            lead_at: None,
            limiter: Limiter::new(settings.sockets / 4),
            waiting: Vec::new(),
            tickets: BTreeMap::new(),
            users_busy: 0,
            calls: BTreeMap::new(),
            peers: settings
                .peers
                .iter()
                .map(|p| (p.name.clone(), Peer::default()))
                .collect(),
            reports: Reports::new(),
            short: BTreeMap::new(),
            reported_cancelled: BTreeSet::new(),
            to_tell: Vec::new(),
            mesh_next: 0,
            mesh_count: 0,
            unread_next: 0,
            aims: Aims::new(&settings.objectives, &settings.operator),
            aims_next: 0,
            missing_needs: 0,
            now: 0,
            settings,
        }
    }

    /// Says who this is and asks for the grant that all else hangs on.
    pub fn begin(&mut self) {
        log::info!(
            "node: {}: run {}, zone {}, {} peers, grant life {} ms",
            self.settings.name,
            self.run,
            self.settings.zone,
            self.settings.peers.len(),
            self.settings.grant_life() / MILLI
        );
        self.now = self.reactor.clock();
        self.registry.want_grant(GrantName::Owner);
    }

    /// Takes something that came from the network.
    pub fn handle(&mut self, ev: NetEvent) {
        self.now = self.reactor.clock();
        match ev {
            NetEvent::Request(conn, req) => self.on_request(conn, req),
            NetEvent::Response(id, result) => self.on_response(id, result),
            NetEvent::Frame(conn, bytes) => match mesh::decode(&bytes) {
                Some(Message::AskStatus) => {
                    let page = mesh::encode(&Message::Status(self.status()));
                    self.reactor.reply(conn, &page);
                }
                Some(m) => self.on_message(m),
                None => {
                    // One line for a peer of another version, not one a message.
                    if self.now >= self.unread_next {
                        self.unread_next = self.now + 60 * SECOND;
                        log::warn!("node: mesh: messages of another form are passed over");
                    }
                }
            },
        }
    }

    fn authority(&self) -> bool {
        if is_left_out(Guard::AuthorityDeadline) {
            return true;
        }
        self.registry.authority(self.now) != Authority::Ended
    }

    /// Whether tasks may be started. Beyond the short deadline only in an outage for
    /// all, in which nobody can confirm a cancellation: every peer is heard and lost
    /// the state service when we did. That is the mesh's word and may be wrong, so it
    /// moves no bound that a rule hangs on; those are the longer deadline's.
    fn may_start(&self) -> bool {
        if is_left_out(Guard::AuthorityDeadline) || is_left_out(Guard::StartDeadline) {
            return self.authority();
        }
        match self.registry.authority(self.now) {
            Authority::Starting => true,
            Authority::Answering => self.outage(),
            Authority::Ended => false,
        }
    }

    /// Whether all controllers lost the state service at the same time.
    fn outage(&self) -> bool {
        let Some(since) = self.registry.fresh_at().map(|f| f + FRESH_FOR) else {
            return false;
        };
        self.peers.values().all(|p| {
            p.heard.is_some_and(|h| self.now < h + TOGETHER)
                && p.stale_since.is_some_and(|s| s < since + TOGETHER)
        })
    }

    fn fresh(&self) -> bool {
        self.registry
            .fresh_at()
            .is_some_and(|f| self.now < f + FRESH_FOR)
    }

    /// Whether users do well to come here. When the state service is out for
    /// everybody, going elsewhere would not help them.
    fn ready(&self) -> bool {
        if !self.registry.loaded() {
            return false;
        }
        if self.fresh() {
            return true;
        }
        let mut heard = 0;
        for p in self.peers.values() {
            if p.heard.is_some_and(|h| self.now < h + 3 * SECOND) {
                heard += 1;
                if p.fresh {
                    return false;
                }
            }
        }
        heard > 0 && heard == self.peers.len()
    }

    /// One round of everything that is due; returns when the next is.
    pub fn step(&mut self) -> Micros {
        self.now = self.reactor.clock();
        let mut until = self.now + SECOND;
        self.manage_regions();
        self.manage_leader();
        until = until.min(self.run_regions());
        until = until.min(self.run_leader());
        if self.now >= self.mesh_next {
            self.mesh_next = self.now + MESH_EVERY;
            self.send_state();
        }
        if self.now >= self.aims_next && self.registry.loaded() {
            self.aims_next = self.now + 2 * SECOND;
            self.look_at_aims();
        }
        until = until.min(self.mesh_next);
        if !self.to_tell.is_empty() {
            let jobs = std::mem::take(&mut self.to_tell);
            let m = mesh::encode(&Message::Cancelled { jobs });
            for i in 0..self.settings.peers.len() {
                self.reactor.send(i, &m);
            }
        }
        if self.registry.replica.has_unpropagated() {
            self.registry.replica.continue_propagation();
            self.on_changed(Vec::new());
            until = self.now;
        }
        self.expire_waiting();
        if let Some(w) = self.waiting.iter().map(|w| w.give_up).min() {
            until = until.min(w);
        }
        let mut events = Vec::new();
        let (calls, next) = self.registry.pump(self.now, &mut events);
        until = until.min(next);
        for c in calls {
            let id = self.reactor.call(Call {
                dest: STORE,
                method: c.method,
                target: c.target,
                body: c.body,
                timeout: c.timeout,
            });
            self.calls.insert(id, CallFor::Store(c.op));
        }
        if !events.is_empty() {
            self.on_registry(events);
            until = self.now;
        }
        self.fleet.lead(self.leader.is_some());
        let (call, next) = self.fleet.pump(self.now);
        until = until.min(next);
        if let Some(c) = call {
            let id = self.reactor.call(Call {
                dest: CLOUD,
                method: c.method,
                target: c.target,
                body: c.body,
                timeout: c.timeout,
            });
            self.calls.insert(id, CallFor::Cloud(c.op));
        }
        until
    }

    fn on_response(&mut self, id: CallId, result: Result<Response, CallError>) {
        match self.calls.remove(&id) {
            Some(CallFor::Store(op)) => {
                if matches!(result, Err(CallError::NoAnswer)) {
                    // After a cut the other connections only hang, too.
                    self.reactor.reset_dest(STORE);
                }
                let mut events = Vec::new();
                self.registry.on_response(op, result, self.now, &mut events);
                self.on_registry(events);
            }
            Some(CallFor::Cloud(op)) => {
                for ev in self.fleet.on_response(op, result, self.now) {
                    let v = view!(self);
                    if let FleetEvent::Released(names) = &ev {
                        for r in self.regions.values_mut() {
                            r.on_released(names, true, &v);
                        }
                    }
                    if let Some(l) = &mut self.leader {
                        l.on_fleet(&ev, &v);
                    }
                }
            }
            None => {}
        }
    }

    fn on_registry(&mut self, events: Vec<RegistryEvent>) {
        for ev in events {
            match ev {
                RegistryEvent::Loaded => self.on_loaded(),
                RegistryEvent::Changed(keys) => self.on_changed(keys),
                RegistryEvent::Barrier(sent) => {
                    self.limiter.measured(self.now - sent, self.now);
                    self.answer_waiting(sent);
                }
                RegistryEvent::BarrierFailed(sent) => {
                    let now = self.now;
                    let (old, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
                        .into_iter()
                        .partition(|w| w.came <= sent || now >= w.give_up);
                    self.waiting = rest;
                    for w in old {
                        self.refuse(w.conn, 503, 1);
                    }
                }
                RegistryEvent::Committed(ticket, outcome) => self.on_committed(ticket, outcome),
                RegistryEvent::OwnerGrantLost => {
                    // Records of ours that the replica still shows are of the
                    // past: under another run's name they can only be taken
                    // anew, by compare-and-set, never just resumed.
                    self.run = fastrand::u64(1..1 << 53);
                    for (name, r) in std::mem::take(&mut self.regions) {
                        log::info!(
                            "node: region {name}: lost with the grant, token {}",
                            r.token
                        );
                    }
                }
                RegistryEvent::LeaderGrantLost => self.step_down("grant lost"),
            }
        }
        for t in self.registry.take_times() {
            self.limiter.measured(t, self.now);
        }
    }

    fn on_loaded(&mut self) {
        self.registry.replica.take_touched();
        let known = &self.registry.replica.jobs;
        self.reported_cancelled
            .retain(|id| known.get(id).is_none_or(|r| r.value.stage == Stage::Open));
        self.registry.replica.take_respecified();
        let v = view!(self);
        for r in self.regions.values_mut() {
            r.on_loaded(&v);
        }
    }

    fn on_changed(&mut self, keys: Vec<Key>) {
        let machines = self.registry.replica.take_touched();
        let respecified = self.registry.replica.take_respecified();
        let v = view!(self);
        for name in &machines {
            for r in self.regions.values_mut() {
                r.on_machine(name, &v);
            }
            if !v.replica.machines.contains_key(name) {
                if let Some(l) = &mut self.leader {
                    l.machine_gone(name, v.now);
                }
            }
        }
        for id in &respecified {
            for r in self.regions.values_mut() {
                r.on_job(id, &v, false);
            }
        }
        let mut shown = Vec::new();
        for key in keys {
            match &key {
                Key::Job(id) => {
                    for r in self.regions.values_mut() {
                        r.on_job(id, &v, false);
                    }
                    let over = v.replica.jobs.get(id);
                    if over.is_some_and(|r| r.value.stage != Stage::Open) {
                        shown.push(id.clone());
                    }
                }
                Key::Quota(team) => {
                    for r in self.regions.values_mut() {
                        r.on_quota(team);
                    }
                }
                Key::Flavor(_) => {
                    for r in self.regions.values_mut() {
                        r.on_flavors(&v);
                    }
                }
                Key::Progress(id, ..) => {
                    for r in self.regions.values_mut() {
                        r.on_progress(id, &v);
                    }
                }
                Key::Region(_) | Key::Leader | Key::Token => {}
                Key::Machine(_) | Key::Lot(_) | Key::Roll(..) => {}
            }
        }
        for id in shown {
            self.reported_cancelled.remove(&id);
        }
    }

    // --- Regions -----------------------------------------------------------

    /// Takes regions that are ours to take, and notes those we have lost.
    fn manage_regions(&mut self) {
        if !self.registry.loaded() {
            return;
        }
        for name in self.settings.regions() {
            let rec = self.registry.replica.regions.get(&name);
            let (mark, rec) = match rec {
                Some(r) => (r.mark, Some(r.value.clone())),
                None => (0, None),
            };
            let ours = rec
                .as_ref()
                .is_some_and(|r| r.owner == self.settings.name && r.run == self.run);
            if let Some(r) = self.regions.get(&name) {
                if !ours || rec.as_ref().is_some_and(|x| x.token != r.token) {
                    log::info!("node: region {name}: lost, token {}", r.token);
                    self.regions.remove(&name);
                }
            }
            if rec.is_some() {
                self.absent.remove(&name);
            }
            match self.claims.get(&name) {
                Some(Claim::Committing) => continue,
                Some(Claim::Looking(rev)) if self.registry.replica.revision < *rev => continue,
                _ => {}
            }
            if !self.authority() {
                continue;
            }
            if ours && !self.retake.contains(&name) {
                // Ours on record, and the replica holds all that came before.
                if !self.regions.contains_key(&name) && self.registry.replica.revision >= mark {
                    let token = rec.map_or(0, |r| r.token);
                    log::info!("node: region {name}: taken, token {token}");
                    let v = view!(self);
                    let region = Region::new(&name, token, mark, &v);
                    self.regions.insert(name.clone(), region);
                    self.claims.remove(&name);
                }
                continue;
            }
            let home = name == self.settings.name;
            // Kept by our former life for another: guards against taking it only to
            // hand it back, and all its machines being accounted for twice. Its home
            // takes it at once if it is there, any other a moment later.
            let left = rec
                .as_ref()
                .is_some_and(|r| r.owner == self.settings.name && r.run != self.run);
            if left && !home && !self.retake.contains(&name) {
                log::info!("node: region {name}: left by our former life, given up");
                self.give_up(name, mark);
                continue;
            }
            let take = match &rec {
                // Our own former process is dead, or we want a higher token.
                Some(r) => r.owner == self.settings.name,
                None => {
                    let now = self.now;
                    let since = *self.absent.entry(name.clone()).or_insert(now);
                    home || now >= since + HOME_FIRST + fastrand::u64(0..500 * MILLI)
                }
            };
            if !take {
                continue;
            }
            let Some(lease) = self.registry.grant_id(GrantName::Owner) else {
                continue;
            };
            let token = self.registry.replica.token.as_ref().map_or(0, |t| t.value) + 1;
            let key = Key::Region(name.clone());
            let txn = Txn {
                when: vec![
                    (key.clone(), mark),
                    (Key::Token, self.registry.replica.mark(&Key::Token)),
                ],
                apply: vec![
                    (Key::Token, Some(value(&token))),
                    (
                        key.clone(),
                        Some(value(&RegionRecord {
                            owner: self.settings.name.clone(),
                            run: self.run,
                            token,
                        })),
                    ),
                ],
                lease: Some((key, lease)),
            };
            log::info!("node: region {name}: taking, token {token}");
            self.retake.remove(&name);
            self.regions.remove(&name);
            let t = self.registry.commit(txn, Urgency::First, None);
            self.claims.insert(name.clone(), Claim::Committing);
            self.tickets.insert(t, Ticket::Take { region: name });
        }
        self.hand_back();
    }

    /// Gives a region back to its home once that has been well for a while, so
    /// that after a cut the load is shared again.
    fn hand_back(&mut self) {
        if !self.authority() {
            return;
        }
        let now = self.now;
        let back = self.regions.values().find(|r| {
            r.tidy(now)
                && r.name != self.settings.name
                && self.peers.get(&r.name).is_some_and(|p| {
                    p.heard.is_some_and(|h| now < h + 2 * SECOND)
                        && p.well_since.is_some_and(|w| now > w + HAND_BACK)
                })
        });
        let Some(r) = back else { return };
        let (name, mark) = (r.name.clone(), r.mark);
        log::info!("node: region {name}: handed back to its home");
        // From here on nothing is commanded for it, whatever becomes of the commit.
        self.regions.remove(&name);
        self.give_up(name, mark);
    }

    /// Deletes a region's record as it stands, so that its home may take it.
    fn give_up(&mut self, name: String, mark: u64) {
        self.claims.insert(name.clone(), Claim::Committing);
        let key = Key::Region(name.clone());
        let txn = Txn {
            when: vec![(key.clone(), mark)],
            apply: vec![(key, None)],
            lease: None,
        };
        let t = self.registry.commit(txn, Urgency::First, None);
        self.tickets.insert(t, Ticket::Hand { region: name });
    }

    fn run_regions(&mut self) -> Micros {
        let mut until = self.now + SECOND;
        if !self.authority() {
            return until;
        }
        let v = view!(self);
        let mut effects = Vec::new();
        for (name, r) in self.regions.iter_mut() {
            until = until.min(r.tick(&v));
            effects.extend(r.take_effects().into_iter().map(|e| (name.clone(), e)));
        }
        for (name, e) in effects {
            match e {
                region::Effect::Commit(txn, urgency, purpose) => {
                    let t = self.registry.commit(txn, urgency, None);
                    if let Some(r) = self.regions.get_mut(&name) {
                        r.sent(t, purpose);
                    }
                }
                region::Effect::Release(names) => self.fleet.release(names),
            }
        }
        until
    }

    // --- Leading -----------------------------------------------------------

    fn step_down(&mut self, why: &str) {
        if self.leader.take().is_some() {
            log::info!("node: leader: no more, {why}");
            self.fleet.drop_rentals();
        }
    }

    fn manage_leader(&mut self) {
        if !self.registry.loaded() {
            return;
        }
        let rec = self.registry.replica.leader.as_ref();
        let (mark, rec) = match rec {
            Some(r) => (r.mark, Some(r.value.clone())),
            None => (0, None),
        };
        let ours = rec
            .as_ref()
            .is_some_and(|r| r.holder == self.settings.name && r.run == self.run);
        if self
            .leader
            .as_ref()
            .is_some_and(|l| !ours || l.mark != mark)
        {
            self.step_down("another is on record");
        }
        match self.lead_claim {
            Some(Claim::Committing) => return,
            Some(Claim::Looking(rev)) if self.registry.replica.revision < rev => return,
            _ => self.lead_claim = None,
        }
        if ours {
            if self.leader.is_none() && self.now < self.registry.leader_until() {
                log::info!("node: leader: since revision {mark}");
                let v = view!(self);
                self.leader = Some(Leader::new(mark, &v));
            }
            return;
        }
        let stale_self = rec.as_ref().is_some_and(|r| r.holder == self.settings.name);
        if (rec.is_some() && !stale_self) || !self.fresh() {
            self.lead_at = None;
            if rec.is_some() && self.registry.grant_id(GrantName::Leader).is_some() {
                self.registry.drop_grant(GrantName::Leader);
            }
            return;
        }
        let now = self.now;
        let at = *self
            .lead_at
            .get_or_insert_with(|| now + fastrand::u64(20 * MILLI..300 * MILLI));
        if now < at {
            return;
        }
        self.registry.want_grant(GrantName::Leader);
        let Some(lease) = self.registry.grant_id(GrantName::Leader) else {
            return;
        };
        let txn = Txn {
            when: vec![(Key::Leader, mark)],
            apply: vec![(
                Key::Leader,
                Some(value(&LeaderRecord {
                    holder: self.settings.name.clone(),
                    run: self.run,
                })),
            )],
            lease: Some((Key::Leader, lease)),
        };
        let t = self.registry.commit(txn, Urgency::First, None);
        self.lead_claim = Some(Claim::Committing);
        self.tickets.insert(t, Ticket::Lead);
    }

    fn run_leader(&mut self) -> Micros {
        let mut until = self.now + SECOND;
        if self.now >= self.registry.leader_until() {
            return until;
        }
        let Some(mut l) = self.leader.take() else {
            return until;
        };
        let v = view!(self);
        until = until.min(l.tick(&v, &self.reports, &mut self.fleet));
        let effects = l.take_effects();
        self.leader = Some(l);
        for e in effects {
            match e {
                leader::Effect::Commit(txn, urgency, keys) => {
                    let t = self.registry.commit(txn, urgency, None);
                    self.tickets.insert(t, Ticket::Leader(keys));
                }
                leader::Effect::Tell(m) => self.tell_owner(m),
            }
        }
        until
    }

    fn tell_owner(&mut self, m: Message) {
        let (Message::Move { from, .. }
        | Message::Close { region: from, .. }
        | Message::Go { region: from, .. }) = &m
        else {
            return;
        };
        if self.regions.contains_key(from) {
            return self.on_message(m);
        }
        let owner = self
            .registry
            .replica
            .regions
            .get(from)
            .map(|r| r.value.owner.clone());
        let at = self
            .settings
            .peers
            .iter()
            .position(|p| Some(&p.name) == owner.as_ref());
        if let Some(i) = at {
            self.reactor.send(i, &mesh::encode(&m));
        }
    }

    // --- Mesh --------------------------------------------------------------

    /// Tells the other controllers how we are: the leader all and often, since it
    /// plans by it, the others just that we are here, and all of it now and then.
    fn send_state(&mut self) {
        let regions: Vec<mesh::RegionReport> = if self.authority() {
            let v = view!(self);
            self.regions.values().map(|r| r.report(&v)).collect()
        } else {
            Vec::new()
        };
        for r in &regions {
            self.reports.insert(r.region.clone(), (r.clone(), self.now));
        }
        let now = self.now;
        self.reports.retain(|_, (_, at)| now < *at + 6 * SECOND);
        self.short.clear();
        for (name, (r, _)) in &self.reports {
            if !self.regions.contains_key(name) {
                for (team, at) in &r.short {
                    let e = self.short.entry(team.clone()).or_insert(*at);
                    *e = (*e).min(*at);
                }
            }
        }
        self.mesh_count += 1;
        let all = self.mesh_count.is_multiple_of(ALL_TOLD);
        let state = |regions: Vec<mesh::RegionReport>| {
            mesh::encode(&Message::State {
                from: self.settings.name.clone(),
                run: self.run,
                fresh: self.fresh(),
                regions,
            })
        };
        let leader = self.registry.replica.leader.as_ref();
        let leader = leader.map(|l| l.value.holder.clone());
        let brief = state(Vec::new());
        let full = state(regions);
        for i in 0..self.settings.peers.len() {
            let leads = leader.as_deref() == Some(&*self.settings.peers[i].name);
            self.reactor
                .send(i, if all || leads { &full } else { &brief });
        }
    }

    fn on_message(&mut self, m: Message) {
        match m {
            Message::State {
                from,
                fresh,
                regions,
                ..
            } => {
                let now = self.now;
                let Some(p) = self.peers.get_mut(&from) else {
                    log::info!("node: mesh: state from unknown {from}");
                    return;
                };
                let gap = p.heard.is_none_or(|h| now > h + 3 * SECOND);
                p.heard = Some(now);
                p.fresh = fresh;
                p.stale_since = (!fresh).then(|| p.stale_since.unwrap_or(now));
                if !fresh || gap {
                    p.well_since = None;
                }
                if fresh {
                    p.well_since.get_or_insert(now);
                }
                // One with other settings may name regions that we don't have.
                let known = self.settings.regions();
                for r in regions.into_iter().filter(|r| known.contains(&r.region)) {
                    let newer = self
                        .reports
                        .get(&r.region)
                        .is_none_or(|(old, _)| r.token >= old.token);
                    if newer && !self.regions.contains_key(&r.region) {
                        self.reports.insert(r.region.clone(), (r, now));
                    }
                }
            }
            Message::Move {
                job,
                from,
                to,
                count,
            } => {
                let known = to.is_empty() || self.settings.regions().contains(&to);
                if !self.authority() || !known {
                    return;
                }
                let v = view!(self);
                if let Some(r) = self.regions.get_mut(&from) {
                    r.give(&job, &to, count, &v);
                }
            }
            Message::AskStatus | Message::Status(_) => {}
            Message::Cancelled { .. }
                if is_left_out(Guard::StartDeadline) || is_left_out(Guard::AuthorityDeadline) => {}
            Message::Cancelled { jobs } => {
                for id in jobs {
                    let rec = self.registry.replica.jobs.get(&id);
                    let shown = rec.is_some_and(|r| r.value.stage != Stage::Open);
                    if shown
                        || !is_job_id(&id)
                        || self.reported_cancelled.len() >= MAX_REPORTED_CANCELLED
                    {
                        continue;
                    }
                    self.reported_cancelled.insert(id.clone());
                    let v = view!(self);
                    for r in self.regions.values_mut() {
                        r.on_reported_cancelled(&id, &v);
                    }
                }
            }
            Message::Close {
                region,
                flavor,
                zone,
                spot,
                count,
            } => {
                let v = view!(self);
                if let Some(r) = self.regions.get_mut(&region) {
                    r.close((&flavor, &zone, spot), count, &v);
                }
            }
            Message::Go {
                job,
                attempt,
                region,
            } => {
                let v = view!(self);
                if let Some(r) = self.regions.get_mut(&region) {
                    r.go(&job, attempt, &v);
                }
            }
        }
    }

    // --- Status ------------------------------------------------------------

    /// What is wrong just now, the gravest first.
    fn cause(&self) -> &'static str {
        let unsettled = |(r, _): &(mesh::RegionReport, Micros)| !r.settled;
        if self.registry.failing() {
            "state service down"
        } else if self.reports.len() < self.settings.size() || self.reports.values().any(unsettled)
        {
            "takeover under way"
        } else if self.fleet.down() {
            "cloud down"
        } else if self.leader.as_ref().is_some_and(|l| l.refused(self.now)) {
            "no capacity"
        } else if self.regions.values().any(Region::short_of_quota) {
            "quota"
        } else {
            "backlog"
        }
    }

    /// Looks at how the aims are met; the leader tells the operators.
    fn look_at_aims(&mut self) {
        let replica = &self.registry.replica;
        let last: BTreeMap<&str, (u64, String)> = replica
            .teams
            .keys()
            .filter_map(|t| {
                let last = quota::last_guaranteed(replica, &self.settings, t)?;
                Some((t.as_str(), last))
            })
            .collect();
        let running: BTreeSet<&str> = self
            .reports
            .values()
            .flat_map(|(r, _)| r.counts.iter().map(|c| c.job.as_str()))
            .collect();
        let replica = &self.registry.replica;
        let open = replica.open_jobs().map(|(id, _, spec)| status::Seen {
            id,
            spec,
            guaranteed: last
                .get(spec.team.as_str())
                .is_some_and(|l| (spec.submitted, id) <= (l.0, &l.1)),
            started: running.contains(id.as_str()) || replica.progress.contains_key(id),
            pipeline: replica.pipeline_end(id),
        });
        let done = |id: &str| {
            replica
                .jobs
                .get(id)
                .is_some_and(|r| r.value.stage == Stage::Done)
        };
        let is_open = |id: &str| replica.stage(id) == Some(Stage::Open);
        let wall = self.reactor.wall();
        let signals = self.aims.look(open, done, is_open, wall, self.cause());
        if self.leader.is_some() {
            for s in signals {
                let level = if s.is_warning() {
                    log::Level::Warn
                } else {
                    log::Level::Info
                };
                log::log!(level, "status: {s}");
            }
        }
        self.look_at_missing_needs();
    }

    /// Says once when jobs wait for others that have no record, as only a damaged state
    /// service could bring about. They wait on, and nothing of them starts.
    fn look_at_missing_needs(&mut self) {
        let missing = self.registry.replica.waiting_for_unknown();
        let count = missing.len();
        if count > self.missing_needs {
            let first = missing.first().map_or("", |id| id.as_str());
            log::warn!("status: {count} jobs wait for jobs without a record, {first} first");
        }
        self.missing_needs = count;
    }

    fn status(&mut self) -> mesh::Status {
        let r = &self.registry.replica;
        let mut waiting: BTreeMap<String, u32> = BTreeMap::new();
        for (rep, _) in self.reports.values() {
            for w in &rep.waits {
                if let Some(s) = r.jobs.get(&w.job).and_then(|j| j.value.open()) {
                    *waiting.entry(s.class.clone()).or_default() += w.waiting;
                }
            }
        }
        let held = r.pipelines.waiting().len() as u32;
        if held > 0 {
            waiting.insert("(jobs that wait for others)".to_owned(), held);
        }
        let missing = r.waiting_for_unknown().len() as u32;
        if missing > 0 {
            waiting.insert(
                "(jobs that wait for jobs without a record)".to_owned(),
                missing,
            );
        }
        let regions = self.settings.regions().into_iter().map(|name| {
            let rep = self.reports.get(&name).map(|(r, _)| r);
            let rec = r.regions.get(&name).map(|r| &r.value);
            mesh::StatusRegion {
                owner: rec.map(|r| r.owner.clone()),
                token: rec.map_or(0, |r| r.token),
                settled: rep.is_some_and(|r| r.settled),
                machines: r.stock.get(&name).map_or(0, |kinds| kinds.values().sum()),
                live: rep.map_or(0, |r| {
                    let live = r.rooms.iter().filter(|l| l.live);
                    live.map(|l| l.machines).sum()
                }),
                waiting: rep.map_or(0, |r| r.waits.iter().map(|w| w.waiting).sum()),
                region: name,
            }
        });
        let mut page = mesh::Status {
            name: self.settings.name.clone(),
            run: self.run,
            leader: r.leader.as_ref().map(|l| l.value.holder.clone()),
            authority_us: self.registry.authority_until().saturating_sub(self.now),
            fresh: self.fresh(),
            regions: regions.collect(),
            waiting: waiting.into_iter().collect(),
            ..Default::default()
        };
        self.aims.fill(&mut page, self.reactor.wall());
        page
    }

    // --- Requests ----------------------------------------------------------

    fn refuse(&mut self, conn: ConnId, status: u16, after: u32) {
        self.reactor.respond(conn, Response::refusal(status, after));
    }

    fn on_request(&mut self, conn: ConnId, req: Request) {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), path.as_slice()) {
            ("GET", ["ready"]) => {
                let r = if self.ready() {
                    Response::new(200, Vec::new())
                } else {
                    Response::refusal(503, 1)
                };
                self.reactor.respond(conn, r);
            }
            ("POST", ["v1", "report"]) => self.on_report(conn, &req.body),
            ("POST", ["work"]) => self.on_submit(conn, &req.body),
            ("GET", ["work", id]) => self.on_ask(
                conn,
                Ask::State {
                    id: (*id).to_owned(),
                    submitted: false,
                },
            ),
            ("POST", ["work", id, "abort"]) => self.on_ask(
                conn,
                Ask::Cancel {
                    id: (*id).to_owned(),
                },
            ),
            (_, ["ready"] | ["v1", "report"] | ["work"] | ["work", _] | ["work", _, "abort"]) => {
                self.reactor.respond(conn, Response::new(405, Vec::new()))
            }
            _ => self.reactor.respond(conn, Response::new(404, Vec::new())),
        }
    }

    fn on_report(&mut self, conn: ConnId, body: &[u8]) {
        let Some(r) = workers::parse_report(body) else {
            return self.reactor.respond(conn, Response::new(400, Vec::new()));
        };
        if !self.registry.loaded() {
            return self.refuse(conn, 503, 1);
        }
        let me = self.settings.name.clone();
        let elsewhere = |to: Option<&str>| Response::new(421, workers::elsewhere(to));
        let Some(rec) = self.registry.replica.machines.get(&r.machine) else {
            // No record: the leader finds out what it is.
            let v = view!(self);
            if let Some(l) = &mut self.leader {
                l.stranger(&v);
                return self.reactor.respond(conn, elsewhere(None));
            }
            let to = self
                .registry
                .replica
                .leader
                .as_ref()
                .map(|l| l.value.holder.clone());
            let to = to.filter(|h| *h != me);
            return self.reactor.respond(conn, elsewhere(to.as_deref()));
        };
        let region = rec.value.region.clone();
        if !self.regions.contains_key(&region) {
            let to = self.registry.replica.regions.get(&region);
            let to = to.map(|r| r.value.owner.clone()).filter(|o| *o != me);
            return self.reactor.respond(conn, elsewhere(to.as_deref()));
        }
        self.now = self.reactor.clock();
        if !self.authority() {
            return self.refuse(conn, 503, 1);
        }
        let v = view!(self);
        let Some(owned) = self.regions.get_mut(&region) else {
            return;
        };
        let token = owned.token;
        let verdict = owned.on_report(&r, &v);
        let answer = match verdict {
            Verdict::Commands(c) => Response::new(200, workers::answer(token, &c)),
            Verdict::Stale => {
                log::debug!("node: {}: late or repeated report passed over", r.machine);
                Response::refusal(503, 1)
            }
            Verdict::Outranked => {
                log::info!(
                    "node: {}: has seen token {}, ours is {token}",
                    r.machine,
                    r.token
                );
                self.retake.insert(region);
                self.registry.want_barrier();
                Response::refusal(503, 1)
            }
            Verdict::Stranger => elsewhere(None),
        };
        // The clock is read again as the bytes go out. A pause between here and
        // the wire does no harm: the worker counts its lease from when it sent
        // the report, and drops answers after 4 s.
        self.now = self.reactor.clock();
        if answer.status == 200 && !self.authority() {
            return self.refuse(conn, 503, 1);
        }
        self.reactor.respond(conn, answer);
    }

    fn in_progress(&self) -> usize {
        self.users_busy
    }

    /// Whether a question can be answered just now; if not it is refused at once.
    /// Questions and cancellations share one read of the state service, however
    /// many there are, so the limit on requests in progress is not for them: a job
    /// whose polls it refused again and again would be forgotten.
    fn answers(&mut self, conn: ConnId) -> bool {
        let able = self.registry.loaded() && !self.registry.failing();
        if !able {
            self.refuse(conn, 503, 1);
        }
        able
    }

    /// Whether a submission may come in; if not it is refused at once.
    fn admit(&mut self, conn: ConnId) -> bool {
        let n = self.in_progress();
        if !self.answers(conn) {
            return false;
        }
        if !self.limiter.admits(n) {
            log::info!("intake: refused, {n} in progress");
            self.refuse(conn, 429, 1);
            return false;
        }
        true
    }

    fn on_submit(&mut self, conn: ConnId, body: &[u8]) {
        let (id, spec) = match intake::parse_submission(body, self.reactor.wall()) {
            Ok(x) => x,
            Err(_) => return self.reactor.respond(conn, Response::new(400, Vec::new())),
        };
        // A job that is known stays what it is, whatever the repeat says.
        if self.registry.replica.jobs.contains_key(&id) {
            return self.on_ask(
                conn,
                Ask::State {
                    id,
                    submitted: true,
                },
            );
        }
        if !self.admit(conn) {
            return;
        }
        match intake::check(&spec, &self.registry.replica, &self.settings) {
            Ok(()) => {}
            Err(Refusal::NotYet(why)) => {
                log::info!("intake: {id}: {why}");
                return self.refuse(conn, 503, 1);
            }
            Err(e @ Refusal::Needs(_)) => {
                log::info!("intake: {id}: {e}");
                let body = e.to_string().into_bytes();
                return self.reactor.respond(conn, Response::new(400, body));
            }
            Err(e) => {
                // It may have been accepted elsewhere a moment ago, before we
                // heard: only the records can say.
                log::info!("intake: {id}: {e}");
                self.waiting.push(Waiting {
                    conn,
                    ask: Ask::State {
                        id,
                        submitted: true,
                    },
                    came: self.now,
                    give_up: self.now + ASK_PATIENCE,
                });
                self.registry.want_barrier();
                return;
            }
        }
        // A record once seen stays; that one is missing can only be said after a read.
        let jobs = &self.registry.replica.jobs;
        if !spec.needs.iter().all(|n| jobs.contains_key(n)) {
            self.waiting.push(Waiting {
                conn,
                ask: Ask::Submit {
                    id,
                    spec: Box::new(spec),
                },
                came: self.now,
                give_up: self.now + ASK_PATIENCE,
            });
            self.registry.want_barrier();
            return;
        }
        let came = self.now;
        self.accept(conn, id, spec, came);
    }

    /// Puts a new job on record; the answer goes out when it is.
    fn accept(&mut self, conn: ConnId, id: String, spec: JobSpec, came: Micros) {
        let key = Key::Job(id.clone());
        let rec = JobRecord {
            stage: Stage::Open,
            spec: Some(std::rc::Rc::new(spec)),
            parts: Vec::new(),
            joint: None,
            ended: None,
        };
        let txn = Txn {
            when: vec![(key.clone(), 0)],
            apply: vec![(key, Some(value(&rec)))],
            lease: None,
        };
        let t = self
            .registry
            .commit(txn, Urgency::First, Some(came + ASK_PATIENCE));
        self.users_busy += 1;
        self.tickets.insert(t, Ticket::Submit { conn, id, came });
    }

    fn on_ask(&mut self, conn: ConnId, ask: Ask) {
        let id = match &ask {
            Ask::State { id, .. } | Ask::Cancel { id } | Ask::Submit { id, .. } => id,
        };
        if !is_job_id(id) {
            return self.reactor.respond(conn, Response::new(404, Vec::new()));
        }
        // What is final needs no asking round.
        if let Some(stage) = self.registry.replica.stage(id) {
            if stage != Stage::Open {
                let body = self.state(id, stage);
                return self.reactor.respond(conn, Response::new(200, body));
            }
        }
        if !self.answers(conn) {
            return;
        }
        let patience = match ask {
            Ask::State {
                submitted: false, ..
            } => POLL_PATIENCE,
            _ => ASK_PATIENCE,
        };
        self.waiting.push(Waiting {
            conn,
            ask,
            came: self.now,
            give_up: self.now + patience,
        });
        self.registry.want_barrier();
    }

    fn state(&self, id: &str, stage: Stage) -> Vec<u8> {
        if stage != Stage::Open {
            return intake::state_body(id, stage, None);
        }
        let mut running = 0;
        for (name, (r, _)) in &self.reports {
            running += match self.regions.get(name) {
                Some(own) => own.running(id),
                None => r
                    .counts
                    .iter()
                    .filter(|c| c.job == id)
                    .map(|c| c.running)
                    .sum(),
            };
        }
        let done = self.registry.replica.done_tasks(id).len();
        intake::state_body(id, stage, Some((done, running)))
    }

    fn expire_waiting(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        self.waiting.retain(|w| {
            if now >= w.give_up {
                late.push(w.conn);
            }
            now < w.give_up
        });
        for c in late {
            self.refuse(c, 503, 1);
        }
    }

    /// A read sent at `sent` is complete: whoever came before it gets an answer
    /// that is no older than anything said before.
    fn answer_waiting(&mut self, sent: Micros) {
        let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.came <= sent);
        self.waiting = rest;
        if !self.waiting.is_empty() {
            self.registry.want_barrier();
        }
        for w in ready {
            match w.ask {
                Ask::State { id, submitted } => {
                    let r = match self.registry.replica.stage(&id) {
                        Some(stage) => Response::new(200, self.state(&id, stage)),
                        None if submitted => Response::new(422, Vec::new()),
                        None => Response::new(404, Vec::new()),
                    };
                    self.reactor.respond(w.conn, r);
                }
                Ask::Cancel { id } => self.cancel(w.conn, id, w.give_up),
                Ask::Submit { id, spec } => {
                    // All that came before the read was sent is in the replica: what is
                    // not there now was never accepted.
                    let jobs = &self.registry.replica.jobs;
                    if let Some(n) = spec.needs.iter().find(|n| !jobs.contains_key(*n)) {
                        log::info!("intake: {id}: needs {n}, which was never accepted");
                        self.reactor.respond(w.conn, Response::new(422, Vec::new()));
                    } else {
                        self.accept(w.conn, id, *spec, w.came);
                    }
                }
            }
        }
    }

    fn cancel(&mut self, conn: ConnId, id: String, give_up: Micros) {
        let Some(r) = self.registry.replica.jobs.get(&id) else {
            return self.reactor.respond(conn, Response::new(404, Vec::new()));
        };
        let stage = self.registry.replica.stage(&id).unwrap_or(r.value.stage);
        if stage != Stage::Open {
            let body = self.state(&id, stage);
            return self.reactor.respond(conn, Response::new(200, body));
        }
        let key = Key::Job(id.clone());
        let rec = r.value.cancelled();
        let txn = Txn {
            when: vec![(key.clone(), r.mark)],
            apply: vec![(key, Some(value(&rec)))],
            lease: None,
        };
        let t = self.registry.commit(txn, Urgency::First, Some(give_up));
        self.users_busy += 1;
        self.tickets.insert(t, Ticket::Cancel { conn, id, give_up });
    }

    fn on_committed(&mut self, ticket: u64, outcome: Outcome) {
        let v = view!(self);
        for r in self.regions.values_mut() {
            if r.on_committed(ticket, &outcome, &v) {
                return;
            }
        }
        let looking = match outcome {
            Outcome::Conflict(rev) => Claim::Looking(rev),
            _ => Claim::Looking(0),
        };
        match self.tickets.remove(&ticket) {
            Some(Ticket::Submit { conn, id, came }) => {
                self.users_busy -= 1;
                match outcome {
                    Outcome::Done(_) => {
                        log::debug!("intake: {id}: accepted");
                        // Cancelled at once, if one that it needs is.
                        let stage = self.registry.replica.stage(&id).unwrap_or(Stage::Open);
                        let body = intake::state_body(&id, stage, None);
                        self.reactor.respond(conn, Response::new(201, body));
                    }
                    Outcome::Conflict(_) => {
                        // Known already, or our own unanswered sending did it.
                        self.waiting.push(Waiting {
                            conn,
                            ask: Ask::State {
                                id,
                                submitted: false,
                            },
                            came: self.now,
                            give_up: came + ASK_PATIENCE,
                        });
                        self.registry.want_barrier();
                    }
                    Outcome::Refused | Outcome::Unknown => self.refuse(conn, 503, 1),
                }
            }
            Some(Ticket::Cancel { conn, id, give_up }) => {
                self.users_busy -= 1;
                match outcome {
                    Outcome::Done(_) => {
                        log::debug!("intake: {id}: cancelled");
                        self.to_tell.push(id.clone());
                        let body = intake::state_body(&id, Stage::Cancelled, None);
                        self.reactor.respond(conn, Response::new(200, body));
                    }
                    Outcome::Conflict(_) if self.now < give_up => {
                        self.waiting.push(Waiting {
                            conn,
                            ask: Ask::Cancel { id },
                            came: self.now,
                            give_up,
                        });
                        self.registry.want_barrier();
                    }
                    _ => self.refuse(conn, 503, 1),
                }
            }
            Some(Ticket::Take { region }) => {
                self.claims.insert(region, looking);
            }
            Some(Ticket::Lead) => self.lead_claim = Some(looking),
            Some(Ticket::Leader(keys)) => {
                let done = matches!(outcome, Outcome::Done(_));
                if let Some(l) = &mut self.leader {
                    l.concluded(&keys, done, self.now);
                }
            }
            Some(Ticket::Hand { region }) => {
                if !matches!(outcome, Outcome::Done(_)) {
                    // Should it still be ours, then only under another token.
                    self.retake.insert(region.clone());
                }
                self.claims.insert(region, looking);
            }
            None => {}
        }
    }
}
