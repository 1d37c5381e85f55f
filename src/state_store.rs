//! Client of the consensus-backed key-value store ("state service"): the replica of the
//! records, leases, commits and the read barrier, all within the service's rate limits.
//!
//! The controller owns one [`StateStore`]. The controller calls [`StateStore::pump`] to get
//! the calls to make, passes their results to [`StateStore::on_response`] and reads
//! [`StateStore::replica`]. This module does no I/O.
//!
//! Two rules make the client safe:
//! - A commit without a response has an *unknown* outcome. The client retries it unchanged,
//!   with the same conditions, until the response is definite or the commit's deadline passes. A
//!   delayed duplicate of a committed attempt fails its conditions and changes nothing.
//! - `read_at` is the send time of the last completed read of all changes up to "now", and
//!   `renewed_at` is the send time of the last successful lease renewal. Both times are
//!   earlier than the moment for which the response holds.

mod answer;
mod authority;
mod backoff;
mod barrier;
mod calls;
mod changes;
mod commits;
mod history;
mod lease;
mod lease_calls;
mod loader;
mod long_poll;
pub mod pipelines;
mod rate_limiter;
mod read_pacing;
pub mod replica;
mod transaction;
mod versioned;

pub use authority::{Authority, MAX_READ_AGE};
pub use calls::StoreCall;
pub use commits::{CommitOutcome, CommitPriority};
pub use lease::LeaseRole;
pub use transaction::Transaction;

use salttiller_protocol::http::Response;
use salttiller_records::key::Key;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use salttiller_recovery::Finding;

use crate::reactor::CallError;
use crate::settings::Settings;
use answer::read_page;
use authority::Freshness;
use barrier::ReadBarrier;
use calls::{Calls, Operation, WakeTime};
use changes::{ChangesError, Watch};
use commits::CommitQueue;
use history::History;
use lease::Lease;
use loader::{CompleteRead, Loader, ReadCall, ReadReason};
use long_poll::LongPoll;
use replica::Replica;

/// Time to live of the leader's lease.
const LEADER_LEASE_TTL: Micros = 4 * SECOND;
/// Maximum time between two pumps.
const MAX_PUMP_INTERVAL: Micros = SECOND;
/// Minimum interval between long polls, and between barriers, at any request rate.
const MIN_READ_INTERVAL: Micros = 20 * MILLISECOND;
/// Fraction of this controller's share of the request rate that its calls may use. The rest
/// allows for clock drift.
const USABLE_SHARE: f64 = 0.95;
/// Fraction of this controller's share of the request rate for long polls.
const LONG_POLL_SHARE: f64 = 0.3;
/// Fraction of this controller's share of the request rate for barriers.
const BARRIER_SHARE: f64 = 0.2;

/// An event of the state store that other modules handle.
#[derive(Debug)]
pub enum StateStoreEvent {
    /// Records changed; lists their keys.
    Changed(Vec<Key>),
    /// The replica was reloaded in full.
    Loaded,
    /// A read barrier completed: the replica contains every commit made before the barrier was
    /// sent.
    BarrierCompleted {
        /// Send time of the barrier.
        sent_at: Micros,
    },
    /// A read barrier failed.
    BarrierFailed {
        /// Send time of the barrier.
        sent_at: Micros,
    },
    /// A commit ended.
    CommitEnded {
        /// The ticket that [`StateStore::commit`] returned.
        ticket: u64,
        /// Outcome of the commit.
        outcome: CommitOutcome,
    },
    /// The owner lease expired, and with it the ownership of all regions.
    OwnerLeaseLost,
    /// The leader lease expired.
    LeaderLeaseLost,
    /// The state service lost records.
    RecordsLost(Finding),
}

/// Client of the state service.
pub struct StateStore {
    /// Local copy of the records.
    pub replica: Replica,
    loader: Loader,
    long_poll: LongPoll,
    barrier: ReadBarrier,
    freshness: Freshness,
    history: History,
    owner_lease: Lease,
    leader_lease: Lease,
    commits: CommitQueue,
    calls: Calls,
    /// Time of the last pump.
    pumped_at: Micros,
}

/// Returns the interval between reads at `rate` reads per second.
fn read_interval(rate: f64) -> Micros {
    ((SECOND as f64 / rate) as Micros).max(MIN_READ_INTERVAL)
}

impl StateStore {
    /// Returns a client with an empty replica.
    pub fn new(settings: &Settings) -> Self {
        let request_rate = settings.store_request_rate / settings.region_count() as f64;
        StateStore {
            replica: Replica::default(),
            loader: Loader::new(request_rate * USABLE_SHARE),
            long_poll: LongPoll::new(read_interval(request_rate * LONG_POLL_SHARE)),
            barrier: ReadBarrier::new(read_interval(request_rate * BARRIER_SHARE)),
            freshness: Freshness::default(),
            history: History::new(settings.operator.detect_lost_records),
            owner_lease: Lease::new(LeaseRole::Owner, settings.owner_lease_duration()),
            leader_lease: Lease::new(LeaseRole::Leader, LEADER_LEASE_TTL),
            commits: CommitQueue::new(settings),
            calls: Calls::new(request_rate * USABLE_SHARE),
            pumped_at: 0,
        }
    }

    /// Whether the replica has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.loader.is_done()
    }

    /// Describes the progress of the full read, if one is in progress.
    pub fn full_read_progress(&self, now: Micros) -> Option<String> {
        self.loader.describe_progress(now)
    }

    /// Send time of the last completed read, if there was one.
    pub fn last_read_at(&self) -> Option<Micros> {
        self.freshness.read_at()
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.freshness.is_failing()
    }

    /// Returns what an owner may do at `now`.
    pub fn authority(&self, now: Micros) -> Authority {
        self.freshness.authority(&self.owner_lease, now)
    }

    /// Returns the time until which an owner may answer heartbeats.
    pub fn authority_until(&self) -> Micros {
        self.freshness.authority_until(&self.owner_lease)
    }

    /// Returns the time until which the leader may act as leader.
    pub fn leader_until(&self) -> Micros {
        let lease = &self.leader_lease;
        lease
            .renewed_at()
            .map_or(0, |renewed_at| lease.safe_until(renewed_at))
    }

    /// Requests a read barrier that is sent after this call.
    pub fn request_barrier(&mut self) {
        self.barrier.request();
    }

    /// Returns the calls that are due, which the caller sends, and the latest time of the next
    /// pump.
    #[must_use]
    pub fn pump(
        &mut self,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) -> (Vec<StoreCall>, Micros) {
        self.pumped_at = now;
        self.calls.refill(now);
        self.commits.refill(now);
        let mut wake = WakeTime::new(now + MAX_PUMP_INTERVAL);
        self.pump_lease(LeaseRole::Owner, now, &mut wake);
        self.pump_lease(LeaseRole::Leader, now, &mut wake);
        let revision = self.replica.revision;
        self.loader.pump(revision, now, &mut self.calls, &mut wake);
        if self.is_loaded() {
            self.pump_barrier(now, &mut wake);
            self.long_poll
                .pump(revision, now, &mut self.calls, &mut wake);
        }
        self.commits.pump(now, &mut self.calls, events, &mut wake);
        (self.calls.take_unsent(), wake.at())
    }

    fn pump_barrier(&mut self, now: Micros, wake: &mut WakeTime) {
        let read_at = self.freshness.read_at();
        if self.barrier.is_due(read_at, now, &self.calls, wake) {
            let watch = self.history.next_watch(self.replica.revision, now);
            self.barrier.send(watch, now, &mut self.calls);
        }
    }

    /// Handles the result of the call with the id `op`.
    pub fn on_response(
        &mut self,
        op: u64,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let Some(operation) = self.calls.complete(op) else {
            return;
        };
        match operation {
            Operation::Page(call) => self.on_page(call, result, now, events),
            Operation::CatchUp { call, from } => {
                self.on_catch_up(call, from, result, now, events);
            }
            Operation::LongPoll { from } => self.on_long_poll(from, result, now, events),
            Operation::Barrier { sent_at, watch } => {
                self.on_barrier(sent_at, &watch, result, now, events);
            }
            Operation::AcquireLease(role) => self.on_lease_acquired(role, result, now),
            Operation::RenewLease(role) => self.on_lease_renewed(role, result, now, events),
            Operation::Commit(commit) => self.on_commit_response(*commit, result, now, events),
        }
    }

    fn on_page(
        &mut self,
        call: ReadCall,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let page = read_page(result).inspect_err(|error| error.log("page"));
        if let Some(read) = self.loader.on_page(call, page, now) {
            self.on_read_complete(read, events);
        }
    }

    /// Handles the response to a request for the changes since the first pages of a full read.
    fn on_catch_up(
        &mut self,
        call: ReadCall,
        from: u64,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        // Changes of an abandoned read don't belong to the history.
        if !self.loader.is_current(call) {
            return;
        }
        let watch = Watch {
            from,
            expected: None,
        };
        let changes = self.read_changes(&watch, result);
        if let Err(ChangesError::RecordsLost(finding)) = &changes {
            events.push(StateStoreEvent::RecordsLost(finding.clone()));
        }
        self.loader.on_catch_up(call, changes, now);
    }

    /// Replaces the replica with the result of a full read.
    fn on_read_complete(&mut self, read: CompleteRead, events: &mut Vec<StateStoreEvent>) {
        let finding =
            self.history
                .check_full_read(&self.replica, read.known_revision, &read.replica);
        self.replica = read.replica;
        self.history.start_at(self.replica.revision);
        log::info!(
            "replica loaded: revision {}, {} jobs, {} machines",
            self.replica.revision,
            self.replica.jobs.len(),
            self.replica.machines.len()
        );
        self.freshness.read_completed(read.sent_at);
        events.push(StateStoreEvent::Loaded);
        events.extend(finding.map(StateStoreEvent::RecordsLost));
    }

    fn on_long_poll(
        &mut self,
        from: u64,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        self.long_poll.answered(now);
        let watch = Watch {
            from,
            expected: None,
        };
        if !self.on_changes(&watch, result, events) {
            self.history.verify_at_next_barrier();
            self.long_poll.failed(now);
        }
    }

    fn on_barrier(
        &mut self,
        sent_at: Micros,
        watch: &Watch,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        self.barrier.answered();
        if self.on_changes(watch, result, events) {
            if self.is_failing() {
                log::info!("state service reads succeed again");
            }
            self.freshness.read_completed(sent_at);
            events.push(StateStoreEvent::BarrierCompleted { sent_at });
        } else {
            if !self.is_failing() && self.is_loaded() {
                log::info!("state service read failed");
            }
            self.freshness.read_failed();
            self.history.verify_at_next_barrier();
            self.barrier.failed(now);
            events.push(StateStoreEvent::BarrierFailed { sent_at });
        }
    }

    /// Discards the known history after the state service lost it: reloads all records,
    /// requests a new owner lease, releases the leader lease and refuses the queued commits,
    /// whose conditions refer to the old history. Returns the replica of the old history.
    #[must_use]
    pub fn discard_history(&mut self, events: &mut Vec<StateStoreEvent>) -> Replica {
        // Late responses to these calls would mix the old history with the new one.
        self.calls.abandon_all_but_commits();
        self.long_poll.reset(self.pumped_at);
        self.barrier.reset(self.pumped_at);
        self.loader.restart(ReadReason::RecordsLost);
        self.freshness.discard_reads();
        self.history.discard();
        self.owner_lease.request_new();
        self.leader_lease.release();
        self.commits.refuse_all(events);
        std::mem::take(&mut self.replica)
    }
}

#[cfg(test)]
mod tests;
