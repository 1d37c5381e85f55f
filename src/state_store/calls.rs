//! Calls to the state service: rate limit, ids and the set of outstanding calls.
//!
//! Every part of the client sends through [`Calls`], which doesn't interpret the responses.

use std::collections::BTreeMap;

use salttiller_protocol::state_service::encode;
use salttiller_records::units::Micros;
use serde_json::Value;

use super::changes::Watch;
use super::commits::PendingCommit;
use super::lease::LeaseRole;
use super::loader::ReadCall;
use super::rate_limiter::TokenBucket;

/// Fraction of the request capacity that background requests leave to all others.
const RESERVED_CAPACITY: f64 = 0.25;

/// A call to the state service.
#[derive(Debug)]
pub struct StoreCall {
    /// Id of the operation, to be passed back with the response.
    pub op: u64,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Timeout of the call.
    pub timeout: Micros,
}

/// Purpose of an outstanding call.
pub(super) enum Operation {
    /// A page of the full read.
    Page(ReadCall),
    /// The changes after a revision, while the full read is in progress.
    CatchUp { call: ReadCall, from: u64 },
    /// A long poll for changes after a revision.
    LongPoll { from: u64 },
    /// A read barrier.
    Barrier { sent_at: Micros, watch: Watch },
    /// A request for a lease.
    AcquireLease(LeaseRole),
    /// A renewal of a lease.
    RenewLease(LeaseRole),
    /// A commit of a transaction.
    Commit(Box<PendingCommit>),
}

/// Latest time of the next pump.
pub(super) struct WakeTime(Micros);

impl WakeTime {
    pub(super) fn new(at: Micros) -> Self {
        WakeTime(at)
    }

    /// Lowers the time to `at` if `at` is earlier.
    pub(super) fn no_later_than(&mut self, at: Micros) {
        self.0 = self.0.min(at);
    }

    pub(super) fn at(&self) -> Micros {
        self.0
    }
}

/// Outstanding calls, and calls that have not been passed to the network yet.
pub(super) struct Calls {
    outstanding: BTreeMap<u64, Operation>,
    next_id: u64,
    unsent: Vec<StoreCall>,
    requests: TokenBucket,
}

impl Calls {
    /// Returns an empty set of calls with a limit of `rate` calls per second. Callers that
    /// can wait check [`Calls::allows_request`] before they send.
    pub(super) fn new(rate: f64) -> Self {
        Calls {
            outstanding: BTreeMap::new(),
            next_id: 1,
            unsent: Vec::new(),
            requests: TokenBucket::new(rate),
        }
    }

    pub(super) fn refill(&mut self, now: Micros) {
        self.requests.refill(now);
    }

    /// Whether the rate limit allows another call now.
    pub(super) fn allows_request(&self) -> bool {
        self.requests.allows(1.0)
    }

    /// Time until the rate limit allows another call.
    pub(super) fn time_until_allowed(&self) -> Micros {
        self.requests.time_until_allowed(1.0)
    }

    /// Whether the rate limit allows another background request now. Background requests leave
    /// a part of the capacity to the others, which are therefore not delayed by them.
    pub(super) fn allows_background_request(&self) -> bool {
        self.requests.allows(self.background_level())
    }

    /// Time until the rate limit allows another background request.
    pub(super) fn time_until_background_allowed(&self) -> Micros {
        self.requests.time_until_allowed(self.background_level())
    }

    fn background_level(&self) -> f64 {
        1.0 + self.requests.capacity() * RESERVED_CAPACITY
    }

    /// Sends a read at once and counts it against the rate limit.
    pub(super) fn get(&mut self, operation: Operation, target: String, timeout: Micros) {
        self.send(operation, "GET", target, Vec::new(), timeout);
    }

    /// Sends a request with a body at once and counts it against the rate limit.
    pub(super) fn post(
        &mut self,
        operation: Operation,
        target: String,
        body: &Value,
        timeout: Micros,
    ) {
        self.send(operation, "POST", target, encode(body), timeout);
    }

    fn send(
        &mut self,
        operation: Operation,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        let op = self.next_id;
        self.next_id += 1;
        self.requests.take(1.0);
        self.outstanding.insert(op, operation);
        self.unsent.push(StoreCall {
            op,
            method,
            target,
            body,
            timeout,
        });
    }

    /// Takes the calls to pass to the network.
    #[must_use]
    pub(super) fn take_unsent(&mut self) -> Vec<StoreCall> {
        std::mem::take(&mut self.unsent)
    }

    /// Removes an outstanding call and returns its purpose. `None` if the call was
    /// abandoned or has ended before.
    #[must_use]
    pub(super) fn complete(&mut self, op: u64) -> Option<Operation> {
        self.outstanding.remove(&op)
    }

    /// Ignores the responses to all outstanding calls except commits.
    pub(super) fn abandon_all_but_commits(&mut self) {
        self.outstanding
            .retain(|_, operation| matches!(operation, Operation::Commit(_)));
    }
}
