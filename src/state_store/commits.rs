//! Commits: priority queues, the write rate limit and retries.
//!
//! A commit without a response may have been executed. The queue retries it unchanged, with
//! the same conditions, until the response is definite or the commit's deadline passes.

mod pending;
mod write_rate;

use std::collections::VecDeque;

use salttiller_protocol::http::Response;
use salttiller_records::units::{Micros, MILLISECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::transaction::Transaction;
use super::{LeaseRole, StateStore, StateStoreEvent};
use crate::reactor::CallError;
use crate::settings::Settings;
pub(super) use pending::PendingCommit;
pub use pending::{CommitOutcome, CommitPriority};
use write_rate::WriteRate;

/// Minimum delay before a commit without a definite response is retried.
const RETRY_DELAY: Micros = 100 * MILLISECOND;
/// Upper bound of the jitter added to the delay, so that controllers don't retry simultaneously.
const MAX_RETRY_JITTER: Micros = 150 * MILLISECOND;

/// Commits that have not been sent yet, by priority.
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

/// Queued commits, the number of outstanding ones and the write rate limit.
pub(super) struct CommitQueue {
    queues: Queues,
    next_ticket: u64,
    in_flight: usize,
    write_rate: WriteRate,
    latencies: Vec<Micros>,
}

impl CommitQueue {
    /// Returns an empty queue.
    pub(super) fn new(settings: &Settings) -> Self {
        CommitQueue {
            queues: Queues::default(),
            next_ticket: 1,
            in_flight: 0,
            write_rate: WriteRate::new(settings),
            latencies: Vec::new(),
        }
    }

    pub(super) fn refill(&mut self, now: Micros) {
        self.write_rate.refill(now);
    }

    /// Sends the commits that may be sent and ends those past their deadlines.
    pub(super) fn pump(
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
                    events.push(commit.ended(outcome));
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
        let changes = commit.transaction.changes.len();
        let reserved = commit.priority.reserved_capacity();
        now >= commit.not_before
            && self.in_flight < commit.priority.max_in_flight()
            && calls.allows_request()
            && self.write_rate.allows(changes, reserved)
    }

    fn set_wake_time(
        &self,
        commit: &PendingCommit,
        now: Micros,
        calls: &Calls,
        wake: &mut WakeTime,
    ) {
        let changes = commit.transaction.changes.len();
        let reserved = commit.priority.reserved_capacity();
        let rate_allows_in = self.write_rate.time_until_allowed(changes, reserved);
        let allowed_at = now + rate_allows_in.max(calls.time_until_allowed());
        let send_at = commit.not_before.max(allowed_at);
        // Otherwise the commit waits until an outstanding one ends.
        if send_at > now {
            wake.no_later_than(send_at);
        }
        if let Some(deadline) = commit.deadline {
            wake.no_later_than(deadline);
        }
    }

    fn send(&mut self, mut commit: PendingCommit, now: Micros, calls: &mut Calls) {
        self.write_rate.take(commit.transaction.changes.len());
        self.in_flight += 1;
        commit.sent_at = now;
        let body = commit.transaction.request_body();
        let timeout = commit.priority.timeout();
        let operation = Operation::Commit(Box::new(commit));
        calls.post(operation, "/commit".into(), &body, timeout);
    }

    /// Counts a commit as no longer outstanding and adapts the write rate to its response.
    fn on_response(&mut self, result: &Result<Response, CallError>, is_leader: bool) {
        self.in_flight -= 1;
        self.write_rate.on_response(result, is_leader);
    }

    /// Queues a commit for a retry with the same conditions. A commit that was refused with
    /// 429 or 503 was not executed; a commit without a response may have been.
    fn retry(
        &mut self,
        mut commit: PendingCommit,
        result: &Result<Response, CallError>,
        now: Micros,
    ) {
        commit.may_be_committed |=
            matches!(result, Err(CallError::NoResponse | CallError::TooLarge));
        commit.not_before = now + RETRY_DELAY + fastrand::u64(0..MAX_RETRY_JITTER);
        self.queues.queue(commit.priority).push_front(commit);
    }

    /// Ends all queued commits as refused.
    pub(super) fn refuse_all(&mut self, events: &mut Vec<StateStoreEvent>) {
        for priority in CommitPriority::ALL {
            for commit in std::mem::take(self.queues.queue(priority)) {
                let outcome = CommitOutcome::Refused;
                events.push(commit.ended(outcome));
            }
        }
    }
}

impl StateStore {
    /// Queues a commit and returns its ticket. [`StateStoreEvent::CommitEnded`] with the same
    /// ticket reports the outcome, by `deadline` at the latest if there is one.
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

    /// Number of commits that have not been sent yet.
    pub fn backlog(&self) -> usize {
        self.commits.queues.len()
    }

    /// Takes the latencies of the commits since the last call, for the admission limit.
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
        let is_leader = self.lease_id(LeaseRole::Leader).is_some();
        self.commits.on_response(&result, is_leader);
        match commit.outcome(&result) {
            Some(CommitOutcome::Committed(revision)) => {
                self.on_committed(commit, revision, now, events);
            }
            Some(outcome) => {
                if matches!(outcome, CommitOutcome::Conflict(_)) {
                    self.barrier.request();
                }
                events.push(commit.ended(outcome));
            }
            None => self.commits.retry(commit, &result, now),
        }
    }

    /// Applies the changes of a commit to the replica.
    fn on_committed(
        &mut self,
        commit: PendingCommit,
        revision: u64,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        self.commits.latencies.push(now - commit.sent_at);
        commit.log_committed(now, self.backlog());
        events.push(commit.ended(CommitOutcome::Committed(revision)));
        let mut keys = Vec::new();
        for (key, value) in commit.transaction.changes {
            self.replica.apply_own(&key, value, revision);
            keys.push(key);
        }
        events.push(StateStoreEvent::Changed(keys));
    }
}

#[cfg(test)]
mod tests;
