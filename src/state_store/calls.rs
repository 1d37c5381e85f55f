//! Calls to the state service: their pace, their ids, and which are outstanding.
//!
//! Every part of the client sends through [`Calls`]; it knows nothing of what the answers
//! mean.

use std::collections::BTreeMap;

use salttiller_protocol::state_service::encode;
use salttiller_records::units::Micros;
use serde_json::Value;

use super::changes::Watch;
use super::commits::PendingCommit;
use super::lease::LeaseRole;
use super::rate_limiter::TokenBucket;

/// A call to the state service.
#[derive(Debug)]
pub struct StoreCall {
    /// Id of the operation, to be handed back with the response.
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

/// What an outstanding call is for.
pub(super) enum Operation {
    /// A page of the full read.
    Page,
    /// A long poll for changes after a revision.
    LongPoll { from: u64 },
    /// A read barrier.
    Barrier { sent_at: Micros, watch: Watch },
    /// A lease is to be granted.
    AcquireLease(LeaseRole),
    /// A lease is to be renewed.
    RenewLease(LeaseRole),
    /// A transaction is to be committed.
    Commit(Box<PendingCommit>),
}

/// When the client must be pumped again at the latest.
pub(super) struct WakeTime(Micros);

impl WakeTime {
    pub(super) fn new(at: Micros) -> Self {
        WakeTime(at)
    }

    /// Brings the time forward to `at` if it is later.
    pub(super) fn no_later_than(&mut self, at: Micros) {
        self.0 = self.0.min(at);
    }

    pub(super) fn at(&self) -> Micros {
        self.0
    }
}

/// Outstanding calls and those that wait to be handed to the network.
pub(super) struct Calls {
    outstanding: BTreeMap<u64, Operation>,
    next_id: u64,
    unsent: Vec<StoreCall>,
    requests: TokenBucket,
}

impl Calls {
    /// Calls of which at most `rate` a second are made where they can wait.
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

    /// Whether the rate of requests allows another call.
    pub(super) fn allow_another(&self) -> bool {
        self.requests.allows(1.0)
    }

    /// Time until the rate of requests allows another call.
    pub(super) fn time_until_allowed(&self) -> Micros {
        self.requests.time_until_allowed(1.0)
    }

    /// Sends a read. It counts against the rate of requests, but doesn't wait for it.
    pub(super) fn get(&mut self, operation: Operation, target: String, timeout: Micros) {
        self.send(operation, "GET", target, Vec::new(), timeout);
    }

    /// Sends a request with a body. It counts against the rate of requests, but doesn't
    /// wait for it.
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

    /// The calls to hand to the network.
    #[must_use]
    pub(super) fn take_unsent(&mut self) -> Vec<StoreCall> {
        std::mem::take(&mut self.unsent)
    }

    /// Ends a call. `None` if its answer isn't waited for any more.
    #[must_use]
    pub(super) fn complete(&mut self, op: u64) -> Option<Operation> {
        self.outstanding.remove(&op)
    }

    /// Ignores the answers to all outstanding calls but commits.
    pub(super) fn abandon_all_but_commits(&mut self) {
        self.outstanding
            .retain(|_, operation| matches!(operation, Operation::Commit(_)));
    }
}
