//! A controller: the slices put together. Events of the network and of the
//! clock go in, the slices' actions are carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use crate::admission::{self, Limiter, Refusal};
use crate::cloud::{CloudClient, CloudEvent};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::leader::{self, Leader, Reports};
use crate::peer_protocol::{self, Message};
use crate::quota;
use crate::reactor::{Call, CallError, CallId, ConnId, Limits, Net, NetEvent, Reactor};
use crate::region::{self, HeartbeatOutcome, Region, SchedulingContext};
use crate::settings::Settings;
use crate::state_store::{
    Authority, CommitOutcome, CommitPriority, LeaseRole, StateStore, StateStoreEvent, Transaction,
    FRESH_FOR,
};
use crate::status::conditions::QuestionRate;
use crate::status::{self as signals, Aims};
use crate::worker_protocol;
use data_loss_hold::DataLossHold;
use owner_reachability::{Redirects, Releases, UnreachedNews};
use pending_requests::PendingRequests;
use salttiller_protocol::http::{Request, Response};
use salttiller_records::key::Key;
use salttiller_records::model::{is_job_id, JobSpec};
use salttiller_records::record::{value, JobRecord, JobStage, LeaderRecord, RegionRecord};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use salttiller_recovery::Detection;

const STORE: usize = 0;
const CLOUD: usize = 1;

/// What a user waits for.
#[derive(Debug)]
enum ClientRequest {
    /// Where a job stands; `submitted` if it is the repeat of a submission.
    JobState { id: String, submitted: bool },
    /// Cancel it.
    Cancel { id: String },
    /// Take it, if all that it needs was accepted once.
    Submit { id: String, spec: Box<JobSpec> },
}

/// A request that waits for a read that begins after it came.
#[derive(Debug)]
struct PendingRequest {
    conn: ConnId,
    ask: ClientRequest,
    came: Micros,
    give_up: Micros,
}

/// What a commit of the controller's own was for.
#[derive(Debug)]
enum PendingCommit {
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
    DataLossHoldRecord,
    HoldRegion {
        region: String,
        token: u64,
    },
}

/// How the taking of a region stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acquisition {
    /// The commit is under way.
    Committing,
    /// Nothing before the replica has reached this revision.
    CatchingUp(u64),
}

impl Acquisition {
    /// Whether it must be waited for, now that the replica has reached `revision`.
    fn is_pending(self, revision: u64) -> bool {
        match self {
            Acquisition::Committing => true,
            Acquisition::CatchingUp(awaited) => revision < awaited,
        }
    }
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
    /// It reads the kinds of messages that came with 0.5.
    understands_extensions: bool,
}

enum OutstandingCall {
    Store(u64),
    Cloud(u64),
}

/// The controller.
pub struct Controller<N: Net> {
    settings: Settings,
    run: u64,
    reactor: N,
    registry: StateStore,
    cloud_client: CloudClient,
    regions: BTreeMap<String, Region>,
    claims: BTreeMap<String, Acquisition>,
    absent: BTreeMap<String, Micros>,
    retake: BTreeSet<String>,
    leader: Option<Leader>,
    lead_claim: Option<Acquisition>,
    lead_at: Option<Micros>,
    limiter: Limiter,
    waiting: PendingRequests,
    tickets: BTreeMap<u64, PendingCommit>,
    users_busy: usize,
    calls: BTreeMap<CallId, OutstandingCall>,
    peers: BTreeMap<String, Peer>,
    reports: Reports,
    /// Teams whose limit other regions find used up.
    short: BTreeMap<String, u64>,
    /// Jobs that peers say are cancelled and the replica doesn't show so yet.
    reported_cancelled: BTreeSet<String>,
    /// Jobs cancelled here that the peers are to be told of.
    to_tell: Vec<String>,
    redirects: Redirects,
    releases: Releases,
    /// Regions of ours of which a peer says that their machines turn to it.
    unreached: BTreeMap<String, UnreachedNews>,
    tell_unreached_next: Micros,
    /// Since when we could answer our machines without a break.
    able_since: Option<Micros>,
    mesh_next: Micros,
    mesh_count: u32,
    /// When to say next that messages can't be read.
    unread_next: Micros,
    aims: Aims,
    question_rate: QuestionRate,
    aims_next: Micros,
    /// Jobs that waited for others without a record when last looked at.
    missing_needs: usize,
    /// Looks for lost records, if operators want that.
    detection: Option<Detection>,
    /// Set while the state service is known to have lost records.
    held: Option<Box<DataLossHold>>,
    /// Regions that were ours until the owner's lease was gone, and when that was noticed.
    lost_with_lease: Option<(Micros, BTreeSet<String>)>,
    /// Set after a decision on lost records: nothing starts before.
    starts_after: Option<Micros>,
    now: Micros,
}

/// How much later than ours the others' reads may have begun to fail for it to be one
/// outage: what they committed in between they told us.
const TOGETHER: Micros = 1500 * MILLISECOND;
/// Most cancellations that are remembered until the replica shows them.
const MAX_REPORTED_CANCELLED: usize = 10_000;
/// How long a region must have had no owner before a stranger takes it.
const HOME_FIRST: Micros = 3 * SECOND;
/// How long a region's home must have been well before it gets its region back.
const RETURN_AFTER: Micros = 10 * SECOND;
const MESH_EVERY: Micros = 400 * MILLISECOND;
/// Every so many times all controllers are told all, not just the leader.
const ALL_TOLD: u32 = 4;
/// A user waits 2 s for a poll's answer.
const POLL_PATIENCE: Micros = 1500 * MILLISECOND;
/// A user waits 5 s for a submission's or a cancellation's answer.
const ASK_PATIENCE: Micros = 3500 * MILLISECOND;

macro_rules! context {
    ($s:ident) => {
        SchedulingContext {
            may_start: $s.may_start(),
            reported_cancelled: &$s.reported_cancelled,
            replica: &$s.registry.replica,
            settings: &$s.settings,
            now: $s.now,
            wall: $s.reactor.wall(),
            quota_blocked_teams: &$s.short,
        }
    };
}

mod client_requests;
mod commits;
mod data_loss_hold;
mod heartbeats;
mod leadership;
mod owner_reachability;
mod peer_messages;
mod pending_requests;
mod regions;
mod status;

impl Controller<Reactor> {
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
        Ok(Controller::new(settings, reactor))
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

impl<N: Net> Controller<N> {
    /// A controller that talks through `net`.
    pub fn new(settings: Settings, reactor: N) -> Self {
        let registry = StateStore::new(&settings);
        let cloud_client = CloudClient::new(&settings);
        Controller {
            run: fastrand::u64(1..1 << 53),
            reactor,
            registry,
            cloud_client,
            regions: BTreeMap::new(),
            claims: BTreeMap::new(),
            absent: BTreeMap::new(),
            retake: BTreeSet::new(),
            leader: None,
            lead_claim: None,
            lead_at: None,
            limiter: Limiter::new(settings.sockets / 4),
            waiting: PendingRequests::default(),
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
            redirects: Redirects::default(),
            releases: Releases::default(),
            unreached: BTreeMap::new(),
            tell_unreached_next: 0,
            able_since: None,
            mesh_next: 0,
            mesh_count: 0,
            unread_next: 0,
            aims: Aims::new(&settings.objectives, &settings.operator),
            question_rate: QuestionRate::default(),
            aims_next: 0,
            missing_needs: 0,
            detection: None,
            held: None,
            lost_with_lease: None,
            starts_after: None,
            now: 0,
            settings,
        }
    }

    /// Says who this is and asks for the lease that all else hangs on.
    pub fn begin(&mut self) {
        log::info!(
            "node: {}: run {}, zone {}, {} peers, owner lease {} ms",
            self.settings.name,
            self.run,
            self.settings.zone,
            self.settings.peers.len(),
            self.settings.owner_lease_life() / MILLISECOND
        );
        self.now = self.reactor.clock();
        self.registry.request_lease(LeaseRole::Owner);
        if self.settings.operator.detect_lost_records {
            let detection = Detection::starting(self.now, self.settings.report);
            self.detection = Some(detection);
        }
    }

    /// Takes something that came from the network.
    pub fn handle(&mut self, ev: NetEvent) {
        self.now = self.reactor.clock();
        match ev {
            NetEvent::Request(conn, req) => self.on_request(conn, req),
            NetEvent::Response(id, result) => self.on_response(id, result),
            NetEvent::Frame(conn, bytes) => match peer_protocol::decode(&bytes) {
                Some(Message::AskStatus) => {
                    let page = peer_protocol::encode(&Message::Status(self.status()));
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

    /// Whether a record that names this controller is of this run of its process.
    fn is_this_run(&self, run: u64) -> bool {
        run == self.run || is_disabled(Safeguard::RunNumber)
    }

    fn authority(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) {
            return true;
        }
        self.registry.authority(self.now) != Authority::Ended
    }

    /// Whether tasks may be started. Beyond the short deadline only in an outage for
    /// all, in which nobody can confirm a cancellation: every peer is heard and lost
    /// the state service when we did. That is the mesh's word and may be wrong, so it
    /// moves no bound that a rule hangs on; those are the longer deadline's.
    fn may_start(&self) -> bool {
        if is_disabled(Safeguard::AuthorityDeadline) || is_disabled(Safeguard::StartDeadline) {
            return self.authority();
        }
        if self.waits_after_decision() {
            return false;
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
        if !self.registry.is_loaded() {
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
        self.heed_hold_record();
        if self.held.is_some() {
            until = until.min(self.manage_hold());
        } else {
            self.manage_regions();
            self.manage_leader();
            until = until.min(self.run_regions());
            until = until.min(self.run_leader());
        }
        if self.now >= self.mesh_next {
            self.mesh_next = self.now + MESH_EVERY;
            self.send_state();
        }
        self.tell_unreached();
        if self.now >= self.aims_next && self.registry.is_loaded() {
            self.aims_next = self.now + 2 * SECOND;
            self.look_at_aims();
        }
        until = until.min(self.mesh_next);
        if !self.to_tell.is_empty() {
            let jobs = std::mem::take(&mut self.to_tell);
            let m = peer_protocol::encode(&Message::Cancelled { jobs });
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
        if let Some(at) = self.waiting.next_expiry() {
            until = until.min(at);
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
            self.calls.insert(id, OutstandingCall::Store(c.op));
        }
        if !events.is_empty() {
            self.on_registry(events);
            until = self.now;
        }
        self.cloud_client.lead(self.leader.is_some());
        let (call, next) = self.cloud_client.pump(self.now);
        until = until.min(next);
        if let Some(c) = call {
            let id = self.reactor.call(Call {
                dest: CLOUD,
                method: c.method,
                target: c.target,
                body: c.body,
                timeout: c.timeout,
            });
            self.calls.insert(id, OutstandingCall::Cloud(c.op));
        }
        until
    }

    fn on_response(&mut self, id: CallId, result: Result<Response, CallError>) {
        match self.calls.remove(&id) {
            Some(OutstandingCall::Store(op)) => {
                if matches!(result, Err(CallError::NoAnswer)) {
                    // After a cut the other connections only hang, too.
                    self.reactor.reset_dest(STORE);
                }
                let mut events = Vec::new();
                self.registry.on_response(op, result, self.now, &mut events);
                self.on_registry(events);
            }
            Some(OutstandingCall::Cloud(op)) => {
                for ev in self.cloud_client.on_response(op, result, self.now) {
                    let context = context!(self);
                    if let CloudEvent::Released(names) = &ev {
                        for r in self.regions.values_mut() {
                            r.on_released(names, true, &context);
                        }
                    }
                    if let Some(l) = &mut self.leader {
                        l.on_cloud_event(&ev, &context);
                    }
                }
            }
            None => {}
        }
    }

    fn on_registry(&mut self, events: Vec<StateStoreEvent>) {
        for ev in events {
            match ev {
                StateStoreEvent::Loaded => self.on_loaded(),
                StateStoreEvent::Changed(keys) => self.on_changed(keys),
                StateStoreEvent::BarrierCompleted { sent_at: sent } => {
                    self.limiter.measured(self.now - sent, self.now);
                    self.on_barrier_for_detection(sent);
                    self.answer_waiting(sent);
                }
                StateStoreEvent::BarrierFailed { sent_at: sent } => {
                    for w in self.waiting.take_until(sent) {
                        self.refuse(w.conn, 503, 1);
                    }
                    self.expire_waiting();
                }
                StateStoreEvent::CommitEnded { ticket, outcome } => {
                    self.on_committed(ticket, outcome)
                }
                StateStoreEvent::OwnerLeaseLost => {
                    // Records of ours that the replica still shows are of the
                    // past: under another run's name they can only be taken
                    // anew, by compare-and-set, never just resumed.
                    self.run = fastrand::u64(1..1 << 53);
                    let names = self.regions.keys().cloned().collect();
                    self.lost_with_lease = Some((self.now, names));
                    for (name, r) in std::mem::take(&mut self.regions) {
                        log::info!(
                            "node: region {name}: lost with the lease, token {}",
                            r.token
                        );
                    }
                }
                StateStoreEvent::LeaderLeaseLost => self.step_down("lease lost"),
                StateStoreEvent::RecordsLost(finding) => self.hold(finding),
            }
        }
        for t in self.registry.take_commit_latencies() {
            self.limiter.measured(t, self.now);
        }
    }

    fn on_loaded(&mut self) {
        self.registry.replica.take_changed_machines();
        let known = &self.registry.replica.jobs;
        self.reported_cancelled.retain(|id| {
            known
                .get(id)
                .is_none_or(|r| r.value.stage == JobStage::Open)
        });
        self.registry.replica.take_respecified();
        let context = context!(self);
        for r in self.regions.values_mut() {
            r.on_loaded(&context);
        }
    }

    fn on_changed(&mut self, keys: Vec<Key>) {
        let machines = self.registry.replica.take_changed_machines();
        let respecified = self.registry.replica.take_respecified();
        let context = context!(self);
        for name in &machines {
            for r in self.regions.values_mut() {
                r.on_machine(name, &context);
            }
            if !context.replica.machines.contains_key(name) {
                if let Some(l) = &mut self.leader {
                    l.machine_gone(name, context.now);
                }
            }
        }
        for id in &respecified {
            for r in self.regions.values_mut() {
                r.on_job(id, &context, false);
            }
        }
        let mut shown = Vec::new();
        for key in keys {
            match &key {
                Key::Job(id) => {
                    for r in self.regions.values_mut() {
                        r.on_job(id, &context, false);
                    }
                    let over = context.replica.jobs.get(id);
                    if over.is_some_and(|r| r.value.stage != JobStage::Open) {
                        shown.push(id.clone());
                    }
                }
                Key::Quota(team) => {
                    for r in self.regions.values_mut() {
                        r.on_quota(team);
                    }
                }
                Key::MachineType(_) => {
                    for r in self.regions.values_mut() {
                        r.on_machine_types_changed(&context);
                    }
                }
                Key::Progress(id, ..) => {
                    for r in self.regions.values_mut() {
                        r.on_progress(id, &context);
                    }
                }
                Key::Region(_) | Key::Leader | Key::Token | Key::DataLossHold => {}
                Key::Machine(_) | Key::MachineBatch(_) | Key::Activation(..) => {}
            }
        }
        for id in shown {
            self.reported_cancelled.remove(&id);
        }
    }
}
