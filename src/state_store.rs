//! Our side of the state service: the replica, leases, commits and the read
//! barrier, paced under the service's rates.
//!
//! What makes it safe:
//! - A commit whose answer is missing is *unknown*. It is sent again unchanged,
//!   with the same conditions, until the answer is definite; a late copy then
//!   finds its conditions broken and changes nothing.
//! - `fresh_at` is the send time of the last completed read that asked for
//!   everything up to "now", and `renewed_at` that of the last renewal: both are
//!   earlier than what they prove.

mod commits;
mod history;
mod leases;
pub mod pipelines;
mod reads;
pub mod replica;

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::CallError;
use crate::settings::Settings;
use replica::Replica;
use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{self, encode, Changes, Granted, Page, Refused, Revision};
use salttiller_records::key::{Key, PREFIX};
use salttiller_records::units::{subtract_drift, Micros, MILLISECOND, SECOND};
use salttiller_recovery::{Finding, RecentChanges};

/// A change of the records, all or nothing.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Records it relies on, with the revision they must have (0: absent).
    pub conditions: Vec<(Key, u64)>,
    /// Puts and deletions.
    pub changes: Vec<(Key, Option<Value>)>,
    /// Attach the puts of this key to this lease.
    pub lease: Option<(Key, u64)>,
}

/// How a commit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Carried out, with this revision.
    Committed(u64),
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
pub enum StateStoreEvent {
    /// Records that changed.
    Changed(Vec<Key>),
    /// The whole replica was read anew.
    Loaded,
    /// A read sent at this time is complete.
    Barrier(Micros),
    /// A read sent at this time failed.
    BarrierFailed(Micros),
    /// A commit ended.
    Committed(u64, CommitOutcome),
    /// The process's lease is gone, and all regions held under it.
    OwnerLeaseLost,
    /// The leader's lease is gone.
    LeaderLeaseLost,
    /// The state service lost records.
    RecordsLost(Finding),
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
pub enum CommitPriority {
    /// Users wait for it, or authority hangs on it.
    Urgent,
    /// Work waits for it.
    Normal,
    /// Nothing does.
    Background,
}

struct Commit {
    ticket: u64,
    txn: Transaction,
    urgency: CommitPriority,
    asked: Micros,
    give_up: Option<Micros>,
    not_before: Micros,
    /// A sending of it is unanswered: it may yet be carried out.
    unsure: bool,
}

/// One of the two leases a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// For regions.
    Owner,
    /// For leading.
    Leader,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    Unwanted,
    Wanted {
        not_before: Micros,
    },
    Acquiring {
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
struct Lease {
    life: Micros,
    state: LeaseState,
}

/// What a watch was asked for.
#[derive(Debug)]
struct Watch {
    /// Changes after this revision.
    from: u64,
    /// The changes that it must show, if it is to recognise the history.
    compared: Option<RecentChanges>,
}

enum Operation {
    Page { sent: Micros },
    Follow { from: u64 },
    Barrier { sent: Micros, watch: Watch },
    AcquireLease(LeaseRole),
    RenewLease(LeaseRole),
    Commit(Box<Commit>),
}

/// A bucket of permits that fills at a rate, holding at most a second's worth.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    level: f64,
    cap: f64,
    at: Micros,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        let cap = rate.max(2.0);
        TokenBucket {
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
            (lack / self.rate * 1e6) as Micros + MILLISECOND
        }
    }
}

enum Loading {
    Needed {
        not_before: Micros,
    },
    Reading {
        fresh: Box<Replica>,
        from: Option<String>,
        start: Option<u64>,
        sent: Option<Micros>,
        waiting: bool,
        /// The revision that was known before the first page was asked for.
        known: u64,
    },
    Done,
}

/// The registry's state.
pub struct StateStore {
    /// The copy of the records.
    pub replica: Replica,
    load: Loading,
    follow_busy: bool,
    follow_next: Micros,
    follow_gap: Micros,
    barrier_busy: bool,
    barrier_next: Micros,
    barrier_gap: Micros,
    barrier_wanted: bool,
    fresh_at: Option<Micros>,
    failing: bool,
    owner: Lease,
    leader: Lease,
    /// Commits that wait to be sent, by urgency.
    queues: [VecDeque<Commit>; 3],
    ops: BTreeMap<u64, Operation>,
    next_op: u64,
    next_ticket: u64,
    in_flight: usize,
    requests: TokenBucket,
    writes: TokenBucket,
    /// The lowest rate of changes that the state service will have for all controllers.
    writes_least: f64,
    /// How many controllers share it.
    controllers: f64,
    write_most: f64,
    out: Vec<StoreCall>,
    commit_times: Vec<Micros>,
    commit_sent: BTreeMap<u64, Micros>,
    /// The last changes, if lost records are looked for.
    recent: Option<RecentChanges>,
    /// After an interruption the next barrier recognises the history.
    compare_next: bool,
    /// When the next barrier does so without one.
    compare_at: Micros,
    /// The time of the last call.
    now: Micros,
}

/// How old the last complete read may be for us to take requests and start tasks.
pub const FRESH_FOR: Micros = 3 * SECOND;
const MARGIN: Micros = 300 * MILLISECOND;
const COMMITS_AT_ONCE: usize = 6;
/// The periodic read that keeps authority and readiness up.
const SYNC_EVERY: Micros = SECOND;
const FOLLOW_WAIT: Micros = 5 * SECOND;

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Option<T> {
    match state_service::decode(body) {
        Ok(v) => Some(v),
        Err(e) => {
            log::error!("registry: answer of the state service can't be read: {e}");
            None
        }
    }
}

impl StateStore {
    /// A registry that knows nothing yet.
    pub fn new(s: &Settings) -> Self {
        let n = s.region_count() as f64;
        let share = s.store_request_rate / n;
        // More than an even share each, since not all have much to write at once;
        // when that is too much together, each comes down to its even share.
        let most = (0.95 / n).max(0.4);
        StateStore {
            replica: Replica::default(),
            load: Loading::Needed { not_before: 0 },
            follow_busy: false,
            follow_next: 0,
            follow_gap: ((1e6 / (share * 0.3)) as Micros).max(20 * MILLISECOND),
            barrier_busy: false,
            barrier_next: 0,
            barrier_gap: ((1e6 / (share * 0.2)) as Micros).max(20 * MILLISECOND),
            barrier_wanted: false,
            fresh_at: None,
            failing: false,
            owner: Lease {
                life: s.owner_lease_life(),
                state: LeaseState::Unwanted,
            },
            leader: Lease {
                life: 4 * SECOND,
                state: LeaseState::Unwanted,
            },
            queues: Default::default(),
            ops: BTreeMap::new(),
            next_op: 1,
            next_ticket: 1,
            in_flight: 0,
            requests: TokenBucket::new(share * 0.95),
            writes: TokenBucket::new(s.store_write_rate * most),
            writes_least: s.min_store_write_rate,
            controllers: n,
            write_most: s.store_write_rate * most,
            out: Vec::new(),
            commit_times: Vec::new(),
            commit_sent: BTreeMap::new(),
            recent: s.operator.detect_lost_records.then(RecentChanges::default),
            compare_next: false,
            compare_at: 0,
            now: 0,
        }
    }

    /// Whether the replica has been read.
    pub fn loaded(&self) -> bool {
        matches!(self.load, Loading::Done)
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
            LeaseState::Held { renewed, .. } | LeaseState::Renewing { renewed, .. } => renewed,
            _ => return 0,
        };
        match self.fresh_at {
            Some(f) => (renewed.min(f) + subtract_drift(self.owner.life)).saturating_sub(MARGIN),
            None => 0,
        }
    }

    /// Until when a leader may think itself one.
    pub fn leader_until(&self) -> Micros {
        match self.leader.state {
            LeaseState::Held { renewed, .. } | LeaseState::Renewing { renewed, .. } => {
                (renewed + subtract_drift(self.leader.life)).saturating_sub(MARGIN)
            }
            _ => 0,
        }
    }

    /// Asks for a read that begins after now.
    pub fn want_barrier(&mut self) {
        self.barrier_wanted = true;
    }

    fn send(
        &mut self,
        op: Operation,
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
        events: &mut Vec<StateStoreEvent>,
    ) -> (Vec<StoreCall>, Micros) {
        self.now = now;
        self.requests.fill(now);
        self.writes.fill(now);
        let mut next = now + SECOND;
        for name in [LeaseRole::Owner, LeaseRole::Leader] {
            self.pump_lease(name, now, &mut next);
        }
        self.pump_load(now, &mut next);
        if self.loaded() {
            self.pump_reads(now, &mut next);
        }
        self.pump_commits(now, events, &mut next);
        (std::mem::take(&mut self.out), next)
    }

    /// Takes the end of a call.
    pub fn on_response(
        &mut self,
        op: u64,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let Some(op) = self.ops.remove(&op) else {
            return;
        };
        match op {
            Operation::Page { sent } => self.on_page(sent, result, now, events),
            Operation::Follow { from } => {
                self.follow_busy = false;
                self.follow_next = now + self.follow_gap;
                let watch = Watch {
                    from,
                    compared: None,
                };
                if !self.on_follow(watch, result, now, events) {
                    self.compare_next = true;
                    self.follow_next = now + 500 * MILLISECOND;
                }
            }
            Operation::Barrier { sent, watch } => {
                self.barrier_busy = false;
                if self.on_follow(watch, result, now, events) {
                    self.fresh_at = Some(self.fresh_at.unwrap_or(0).max(sent));
                    if self.failing {
                        log::info!("registry: state service: answers again");
                    }
                    self.failing = false;
                    events.push(StateStoreEvent::Barrier(sent));
                } else {
                    if !self.failing && self.loaded() {
                        log::info!("registry: state service: read failed");
                    }
                    self.failing = true;
                    self.compare_next = true;
                    self.barrier_next = now + 250 * MILLISECOND;
                    events.push(StateStoreEvent::BarrierFailed(sent));
                }
            }
            Operation::AcquireLease(name) => self.on_ask(name, result, now),
            Operation::RenewLease(name) => self.on_renew(name, result, now, events),
            Operation::Commit(c) => self.on_commit(*c, result, now, events),
        }
    }
}

#[cfg(test)]
mod tests;
