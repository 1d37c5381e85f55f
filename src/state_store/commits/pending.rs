//! A commit from its request to its outcome, and how responses determine the outcome.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, ErrorBody, Revision};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::reactor::CallError;
use crate::state_store::answer::read_body;
use crate::state_store::transaction::Transaction;
use crate::state_store::StateStoreEvent;

/// Maximum number of outstanding commits; lower priorities have lower limits.
const MAX_IN_FLIGHT: usize = 6;

/// Priority of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPriority {
    /// A user waits for the commit, or authority depends on it.
    Urgent,
    /// Scheduling waits for the commit.
    Normal,
    /// Nothing waits for the commit.
    Background,
}

impl CommitPriority {
    pub(super) const ALL: [CommitPriority; 3] = [
        CommitPriority::Urgent,
        CommitPriority::Normal,
        CommitPriority::Background,
    ];

    /// Number of outstanding commits, of all priorities, below which a commit of this priority
    /// may be sent.
    pub(super) fn max_in_flight(self) -> usize {
        match self {
            CommitPriority::Urgent => MAX_IN_FLIGHT,
            CommitPriority::Normal => MAX_IN_FLIGHT - 1,
            CommitPriority::Background => MAX_IN_FLIGHT - 2,
        }
    }

    /// Fraction of the write capacity that is reserved for commits of higher priority.
    pub(super) fn reserved_capacity(self) -> f64 {
        match self {
            CommitPriority::Urgent => 0.0,
            CommitPriority::Normal => 0.2,
            CommitPriority::Background => 0.5,
        }
    }

    /// Timeout of the call.
    pub(super) fn timeout(self) -> Micros {
        match self {
            CommitPriority::Urgent => 1200 * MILLISECOND,
            CommitPriority::Normal | CommitPriority::Background => 2 * SECOND,
        }
    }
}

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit was executed at this revision.
    Committed(u64),
    /// A condition failed at this revision. The last attempt was not executed, but an
    /// earlier attempt without a response may have been. The replica must reach the
    /// revision before the caller draws a conclusion.
    Conflict(u64),
    /// The commit was definitely not executed.
    Refused,
    /// The deadline passed without a definite response.
    Unknown,
}

impl CommitOutcome {
    /// Whether the transaction was definitely executed.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        matches!(self, CommitOutcome::Committed(_))
    }
}

/// A commit without an outcome yet.
pub(crate) struct PendingCommit {
    pub(super) ticket: u64,
    pub(super) transaction: Transaction,
    pub(super) priority: CommitPriority,
    pub(super) requested_at: Micros,
    /// Time at which the commit ends without a definite response.
    pub(super) deadline: Option<Micros>,
    /// Earliest time of the next attempt.
    pub(super) not_before: Micros,
    /// Send time of the last attempt.
    pub(super) sent_at: Micros,
    /// Whether an attempt got no response and may still be executed.
    pub(super) may_be_committed: bool,
}

impl PendingCommit {
    /// Outcome if the commit is not retried and the last attempt was definitely not executed.
    pub(super) fn outcome_if_dropped(&self) -> CommitOutcome {
        if self.may_be_committed {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::Refused
        }
    }

    /// Outcome according to a response, or `None` if the response isn't definite.
    pub(super) fn outcome(&self, result: &Result<Response, CallError>) -> Option<CommitOutcome> {
        let response = result.as_ref().ok()?;
        match response.status {
            200 => revision_in(response).map(CommitOutcome::Committed),
            409 => revision_in(response).map(CommitOutcome::Conflict),
            400 => {
                log_refusal(&self.transaction, &response.body);
                Some(self.outcome_if_dropped())
            }
            // Commits with a deadline end at once, so that users get an error immediately
            // when the state service is unavailable.
            503 if self.deadline.is_some() => Some(self.outcome_if_dropped()),
            _ => None,
        }
    }

    /// Returns the event that reports the outcome.
    pub(super) fn ended(&self, outcome: CommitOutcome) -> StateStoreEvent {
        StateStoreEvent::CommitEnded {
            ticket: self.ticket,
            outcome,
        }
    }

    pub(super) fn log_committed(&self, now: Micros, backlog: usize) {
        log::debug!(
            "key={}: {} changes committed {} ms after the request, {backlog} commits queued",
            self.transaction.first_key(),
            self.transaction.changes.len(),
            (now - self.requested_at) / MILLISECOND,
        );
    }
}

/// Returns the revision in the response to a commit.
fn revision_in(response: &Response) -> Option<u64> {
    match read_body::<Revision>(response) {
        Ok(answer) => Some(answer.revision),
        Err(error) => {
            error.log("commit");
            None
        }
    }
}

/// Logs a permanent refusal, which is not retried. An expired lease is expected when a region
/// is lost, which is logged separately. Any other permanent refusal is a fault of this
/// process.
fn log_refusal(transaction: &Transaction, body: &[u8]) {
    let reason = decode::<ErrorBody>(body).map(|body| body.error);
    let reason = reason.unwrap_or_default();
    let first_key = transaction.first_key();
    if reason.contains("lease") {
        log::info!("key={first_key}: commit refused, the lease has expired");
    } else {
        log::error!("key={first_key}: commit refused: {reason}");
    }
}
