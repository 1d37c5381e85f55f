//! A commit from its request to its end, and what responses say of it.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, Refused, Revision};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::reactor::CallError;
use crate::state_store::answer::read_body;
use crate::state_store::transaction::Transaction;
use crate::state_store::StateStoreEvent;

/// Most commits outstanding at once, for those of the highest priority.
const MAX_IN_FLIGHT: usize = 6;

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
    pub(super) const ALL: [CommitPriority; 3] = [
        CommitPriority::Urgent,
        CommitPriority::Normal,
        CommitPriority::Background,
    ];

    /// Most commits outstanding, of all priorities, for one of this priority to be sent.
    pub(super) fn max_in_flight(self) -> usize {
        match self {
            CommitPriority::Urgent => MAX_IN_FLIGHT,
            CommitPriority::Normal => MAX_IN_FLIGHT - 1,
            CommitPriority::Background => MAX_IN_FLIGHT - 2,
        }
    }

    /// Part of the capacity for changes that is left for commits of higher priority.
    pub(super) fn reserved_capacity(self) -> f64 {
        match self {
            CommitPriority::Urgent => 0.0,
            CommitPriority::Normal => 0.2,
            CommitPriority::Background => 0.5,
        }
    }

    /// Longest time a call may take.
    pub(super) fn timeout(self) -> Micros {
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

impl CommitOutcome {
    /// Whether the transaction is surely carried out.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        matches!(self, CommitOutcome::Committed(_))
    }
}

/// A commit that has not ended.
pub(crate) struct PendingCommit {
    pub(super) ticket: u64,
    pub(super) transaction: Transaction,
    pub(super) priority: CommitPriority,
    pub(super) requested_at: Micros,
    /// When it ends if it has no definite answer.
    pub(super) deadline: Option<Micros>,
    pub(super) not_before: Micros,
    /// When it was last sent.
    pub(super) sent_at: Micros,
    /// A sending of it is unanswered: it may yet be carried out.
    pub(super) may_be_committed: bool,
}

impl PendingCommit {
    /// Its outcome if it is not sent again and the last sending was surely not carried out.
    pub(super) fn outcome_if_dropped(&self) -> CommitOutcome {
        if self.may_be_committed {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::Refused
        }
    }

    /// What a response says of it; `None`: nothing definite.
    pub(super) fn outcome(&self, result: &Result<Response, CallError>) -> Option<CommitOutcome> {
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

    /// The event of its end.
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
        log::info!("key={first_key}: commit refused, the lease has expired");
    } else {
        log::error!("key={first_key}: commit refused: {reason}");
    }
}
