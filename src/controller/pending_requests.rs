//! Users' requests that wait for a read of the state service that begins after they were
//! received. However many wait, an event that concerns none of them costs the same.

use std::collections::VecDeque;

use salttiller_records::model::JobSpec;
use salttiller_records::units::Micros;

use crate::reactor::ConnectionId;

/// What a user requests.
#[derive(Debug)]
pub(super) enum ClientRequest {
    /// The state of a job; `submitted` if it is the repeat of a submission.
    JobState { job: String, submitted: bool },
    /// Cancel a job.
    Cancel { job: String },
    /// Accept a job, if all its dependencies were accepted.
    Submit { job: String, spec: Box<JobSpec> },
}

impl ClientRequest {
    /// The job that it is about.
    pub(super) fn job(&self) -> &str {
        match self {
            ClientRequest::JobState { job, .. }
            | ClientRequest::Cancel { job }
            | ClientRequest::Submit { job, .. } => job,
        }
    }
}

/// A request that waits for a read.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub conn: ConnectionId,
    pub request: ClientRequest,
    pub received_at: Micros,
    /// When it is refused.
    pub deadline: Micros,
}

/// Requests in the order in which they were received.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: VecDeque<PendingRequest>,
    /// No request expires before this.
    next_expiry: Option<Micros>,
}

impl PendingRequests {
    /// Adds a request that was just received.
    pub(super) fn push(&mut self, request: PendingRequest) {
        let expiry = self.next_expiry.unwrap_or(Micros::MAX);
        self.next_expiry = Some(expiry.min(request.deadline));
        self.requests.push_back(request);
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// When the first may expire.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.next_expiry
    }

    /// Takes those that were received no later than a read was sent.
    pub(super) fn take_until(&mut self, sent: Micros) -> VecDeque<PendingRequest> {
        let count = self.requests.partition_point(|r| r.received_at <= sent);
        let rest = self.requests.split_off(count);
        let taken = std::mem::replace(&mut self.requests, rest);
        if self.requests.is_empty() {
            self.next_expiry = None;
        }
        taken
    }

    /// Takes the connections of those that have expired.
    pub(super) fn take_expired(&mut self, now: Micros) -> Vec<ConnectionId> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.requests.retain(|request| {
            if now >= request.deadline {
                expired.push(request.conn);
            }
            now < request.deadline
        });
        self.next_expiry = self.requests.iter().map(|r| r.deadline).min();
        expired
    }
}

#[cfg(test)]
mod tests;
