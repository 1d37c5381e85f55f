//! Commits: queues by priority, the rate of changes, retries.
//!
//! A commit whose answer is missing may have been carried out. It is sent again unchanged,
//! with the same conditions, until the answer is definite.

use std::collections::VecDeque;

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, Refused, Revision};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::answer::read_body;
use super::calls::{Calls, Operation, WakeTime};
use super::rate_limiter::TokenBucket;
use super::transaction::Transaction;
use super::{LeaseRole, StateStore, StateStoreEvent};
use crate::reactor::CallError;
use crate::settings::Settings;

/// Most commits outstanding at once, for those of the highest priority.
const MAX_IN_FLIGHT: usize = 6;
/// Least time after a commit without a definite answer until it is sent again.
const RETRY: Micros = 100 * MILLISECOND;
/// A random time up to this is added, so that controllers don't all send at once.
const RETRY_JITTER: Micros = 150 * MILLISECOND;
/// Factor by which a refusal for the rate lowers the rate of changes.
const RATE_DECREASE: f64 = 0.7;
/// Changes a second by which each commit raises it again.
const RATE_INCREASE: f64 = 0.05;
/// Part of the write rate that all controllers may use together: some is left for clocks
/// that run apart and requests that are tried again.
const USABLE_RATE: f64 = 0.95;
/// Part of the write rate that one controller may use even if its even share is less.
const BURST_SHARE: f64 = 0.4;
/// What the leader needs of the write rate, in shares of the others.
const LEADER_SHARES: f64 = 2.5;

/// How soon a commit matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPriority {
    /// Users wait for it, or authority depends on it.
    Urgent,
    /// Work waits for it.
    Normal,
    /// Nothing does.
    Background,
}

impl CommitPriority {
    const ALL: [CommitPriority; 3] = [
        CommitPriority::Urgent,
        CommitPriority::Normal,
        CommitPriority::Background,
    ];

    /// Most commits outstanding, of all priorities, for one of this priority to be sent.
    fn max_in_flight(self) -> usize {
        match self {
            CommitPriority::Urgent => MAX_IN_FLIGHT,
            CommitPriority::Normal => MAX_IN_FLIGHT - 1,
            CommitPriority::Background => MAX_IN_FLIGHT - 2,
        }
    }

    /// Part of the capacity for changes that is left for commits of higher priority.
    fn reserved_capacity(self) -> f64 {
        match self {
            CommitPriority::Urgent => 0.0,
            CommitPriority::Normal => 0.2,
            CommitPriority::Background => 0.5,
        }
    }

    /// Longest time a call may take.
    fn timeout(self) -> Micros {
        match self {
            CommitPriority::Urgent => 1200 * MILLISECOND,
            CommitPriority::Normal | CommitPriority::Background => 2 * SECOND,
        }
    }
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

/// A commit that has not ended.
pub(super) struct PendingCommit {
    ticket: u64,
    transaction: Transaction,
    priority: CommitPriority,
    requested_at: Micros,
    /// When it ends if it has no definite answer.
    deadline: Option<Micros>,
    not_before: Micros,
    /// When it was last sent.
    sent_at: Micros,
    /// A sending of it is unanswered: it may yet be carried out.
    may_be_committed: bool,
}

impl PendingCommit {
    /// Its outcome if it is not sent again and the last sending was surely not carried out.
    fn outcome_if_dropped(&self) -> CommitOutcome {
        if self.may_be_committed {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::Refused
        }
    }

    /// What a response says of it; `None`: nothing definite.
    fn outcome(&self, result: &Result<Response, CallError>) -> Option<CommitOutcome> {
        let response = result.as_ref().ok()?;
        match response.status {
            200 => revision_in(response).map(CommitOutcome::Committed),
            409 => revision_in(response).map(CommitOutcome::Conflict),
            400 => {
                log_refusal(&self.transaction, &response.body);
                Some(self.outcome_if_dropped())
            }
            // Users get an error at once when the state service can't be reached.
            503 if self.deadline.is_some() => Some(self.outcome_if_dropped()),
            _ => None,
        }
    }

    fn log_committed(&self, now: Micros, backlog: usize) {
        log::debug!(
            "{}: {} changes committed {} ms after the request, {backlog} commits queued",
            self.transaction.first_key(),
            self.transaction.changes.len(),
            (now - self.requested_at) / MILLISECOND,
        );
    }
}

/// The commits that wait to be sent.
#[derive(Default)]
struct Queues {
    urgent: VecDeque<PendingCommit>,
    normal: VecDeque<PendingCommit>,
    background: VecDeque<PendingCommit>,
}

impl Queues {
    fn queue(&mut self, priority: CommitPriority) -> &mut VecDeque<PendingCommit> {
        match priority {
            CommitPriority::Urgent => &mut self.urgent,
            CommitPriority::Normal => &mut self.normal,
            CommitPriority::Background => &mut self.background,
        }
    }

    fn len(&self) -> usize {
        self.urgent.len() + self.normal.len() + self.background.len()
    }
}

/// Commits that have not ended, and the rate of changes.
pub(super) struct CommitQueue {
    queues: Queues,
    next_ticket: u64,
    in_flight: usize,
    /// Changes that may be sent.
    changes: TokenBucket,
    max_rate: f64,
    /// The lowest rate of changes that the state service allows all controllers together.
    min_total_rate: f64,
    /// How many controllers share it.
    controllers: f64,
    latencies: Vec<Micros>,
}

impl CommitQueue {
    pub fn new(settings: &Settings) -> Self {
        let controllers = settings.size() as f64;
        // More than an even share each, since not all have much to write at once;
        // when that is too much together, each comes down to its even share.
        let share = (USABLE_RATE / controllers).max(BURST_SHARE);
        let max_rate = settings.store_writes * share;
        CommitQueue {
            queues: Queues::default(),
            next_ticket: 1,
            in_flight: 0,
            changes: TokenBucket::new(max_rate),
            max_rate,
            min_total_rate: settings.store_writes_least,
            controllers,
            latencies: Vec::new(),
        }
    }

    pub fn refill(&mut self, now: Micros) {
        self.changes.refill(now);
    }

    /// Sends what may be sent, and ends what is past its deadline.
    pub fn pump(
        &mut self,
        now: Micros,
        calls: &mut Calls,
        events: &mut Vec<StateStoreEvent>,
        wake: &mut WakeTime,
    ) {
        for priority in CommitPriority::ALL {
            let mut deferred = VecDeque::new();
            for commit in std::mem::take(self.queues.queue(priority)) {
                if commit.deadline.is_some_and(|deadline| now >= deadline) {
                    let outcome = commit.outcome_if_dropped();
                    events.push(StateStoreEvent::Committed(commit.ticket, outcome));
                } else if self.may_send(&commit, now, calls) {
                    self.send(commit, now, calls);
                } else {
                    self.set_wake_time(&commit, now, calls, wake);
                    deferred.push_back(commit);
                }
            }
            *self.queues.queue(priority) = deferred;
        }
    }

    fn may_send(&self, commit: &PendingCommit, now: Micros, calls: &Calls) -> bool {
        now >= commit.not_before
            && self.in_flight < commit.priority.max_in_flight()
            && calls.allow_another()
            && self.changes.allows(self.needed_level(commit))
    }

    fn set_wake_time(
        &self,
        commit: &PendingCommit,
        now: Micros,
        calls: &Calls,
        wake: &mut WakeTime,
    ) {
        let allowed_in = self.changes.time_until_allowed(self.needed_level(commit));
        let allowed_at = now + allowed_in.max(calls.time_until_allowed());
        let send_at = commit.not_before.max(allowed_at);
        // Otherwise it waits for the end of an outstanding one.
        if send_at > now {
            wake.no_later_than(send_at);
        }
        if let Some(deadline) = commit.deadline {
            wake.no_later_than(deadline);
        }
    }

    /// The tokens for changes that must be there: its own and those reserved for commits of
    /// higher priority.
    fn needed_level(&self, commit: &PendingCommit) -> f64 {
        let reserved = self.changes.capacity() * commit.priority.reserved_capacity();
        commit.transaction.changes.len() as f64 + reserved
    }

    fn send(&mut self, mut commit: PendingCommit, now: Micros, calls: &mut Calls) {
        self.changes.take(commit.transaction.changes.len() as f64);
        self.in_flight += 1;
        commit.sent_at = now;
        let body = commit.transaction.request_body();
        let timeout = commit.priority.timeout();
        let operation = Operation::Commit(Box::new(commit));
        calls.post(operation, "/commit".into(), &body, timeout);
    }

    /// Counts a response; it lowers or raises the rate of changes.
    fn on_response(&mut self, result: &Result<Response, CallError>, leads: bool) {
        self.in_flight -= 1;
        let rate = self.changes.rate();
        match result.as_ref().map(|response| response.status) {
            Ok(429) => {
                let least = min_write_rate(self.min_total_rate, self.controllers, leads);
                self.changes.set_rate((rate * RATE_DECREASE).max(least));
            }
            Ok(200) => {
                self.changes
                    .set_rate((rate + RATE_INCREASE).min(self.max_rate));
            }
            _ => {}
        }
    }

    /// Sends a commit again. Those that were answered with 429 or 503 were not executed;
    /// one without an answer may have been. Either way the same conditions go out again.
    fn retry(
        &mut self,
        mut commit: PendingCommit,
        result: &Result<Response, CallError>,
        now: Micros,
    ) {
        commit.may_be_committed |= matches!(result, Err(CallError::NoAnswer | CallError::TooLarge));
        commit.not_before = now + RETRY + fastrand::u64(0..RETRY_JITTER);
        self.queues.queue(commit.priority).push_front(commit);
    }

    /// Ends all commits that wait to be sent as refused.
    pub fn refuse_all(&mut self, events: &mut Vec<StateStoreEvent>) {
        for priority in CommitPriority::ALL {
            for commit in std::mem::take(self.queues.queue(priority)) {
                let outcome = CommitOutcome::Refused;
                events.push(StateStoreEvent::Committed(commit.ticket, outcome));
            }
        }
    }
}

impl StateStore {
    /// Queues a commit. Returns its ticket; its end comes as [`StateStoreEvent::Committed`]
    /// with the same ticket, at `deadline` at the latest if there is one.
    pub fn commit(
        &mut self,
        transaction: Transaction,
        priority: CommitPriority,
        deadline: Option<Micros>,
    ) -> u64 {
        let ticket = self.commits.next_ticket;
        self.commits.next_ticket += 1;
        let commit = PendingCommit {
            ticket,
            transaction,
            priority,
            requested_at: self.pumped_at,
            deadline,
            not_before: 0,
            sent_at: 0,
            may_be_committed: false,
        };
        self.commits.queues.queue(priority).push_back(commit);
        ticket
    }

    /// Commits that wait to be sent.
    pub fn backlog(&self) -> usize {
        self.commits.queues.len()
    }

    /// Times that commits took since the last call, for the admission limit.
    pub fn take_commit_latencies(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.commits.latencies)
    }

    pub(super) fn on_commit_response(
        &mut self,
        commit: PendingCommit,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let leads = self.lease_id(LeaseRole::Leader).is_some();
        self.commits.on_response(&result, leads);
        match commit.outcome(&result) {
            Some(CommitOutcome::Committed(revision)) => {
                self.on_committed(commit, revision, now, events);
            }
            Some(outcome) => {
                if matches!(outcome, CommitOutcome::Conflict(_)) {
                    self.barrier.request();
                }
                events.push(StateStoreEvent::Committed(commit.ticket, outcome));
            }
            None => self.commits.retry(commit, &result, now),
        }
    }

    /// Enters the changes of a commit into the replica.
    fn on_committed(
        &mut self,
        commit: PendingCommit,
        revision: u64,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        self.commits.latencies.push(now - commit.sent_at);
        commit.log_committed(now, self.backlog());
        let mut keys = Vec::new();
        for (key, value) in commit.transaction.changes {
            self.replica.apply_own(&key, value, revision);
            keys.push(key);
        }
        let outcome = CommitOutcome::Committed(revision);
        events.push(StateStoreEvent::Committed(commit.ticket, outcome));
        events.push(StateStoreEvent::Changed(keys));
    }
}

/// The rate of changes below which a controller doesn't go, however often it is refused.
/// The leader binds every job and records every machine in addition to what its own region
/// needs. With an even share its changes waited for up to 20 s under a lowered limit, and
/// every step of a pipeline with them, while the others recorded progress.
fn min_write_rate(total: f64, controllers: f64, leads: bool) -> f64 {
    let share = total * USABLE_RATE / (controllers - 1.0 + LEADER_SHARES);
    if leads {
        share * LEADER_SHARES
    } else {
        share
    }
}

/// The revision in an answer to a commit.
fn revision_in(response: &Response) -> Option<u64> {
    match read_body::<Revision>(response) {
        Ok(answer) => Some(answer.revision),
        Err(error) => {
            error.log("commit");
            None
        }
    }
}

/// A lease that expired is part of losing a region, and logged there; anything else that is
/// refused for good is a fault of this process. Neither is sent again.
fn log_refusal(transaction: &Transaction, body: &[u8]) {
    let reason = decode::<Refused>(body).map(|refused| refused.error);
    let reason = reason.unwrap_or_default();
    let first_key = transaction.first_key();
    if reason.contains("lease") {
        log::info!("{first_key}: commit refused, the lease has expired");
    } else {
        log::error!("{first_key}: commit refused: {reason}");
    }
}

#[cfg(test)]
mod tests;
