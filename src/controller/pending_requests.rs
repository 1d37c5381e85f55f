//! Users' requests that wait for a read of the state service that begins after they were
//! received. The cost of an event that concerns no pending request doesn't depend on the number of
//! pending requests.

use std::collections::VecDeque;

use salttiller_records::model::JobSpec;
use salttiller_records::units::Micros;

use crate::reactor::ConnectionId;

/// A user's request about a job.
#[derive(Debug)]
pub(super) enum ClientRequest {
    /// Return the state of a job. `submitted` is set for a submission that may repeat an earlier
    /// one: if the job has no record, such a request is refused as unprocessable instead of as not
    /// found.
    JobState { job: String, submitted: bool },
    /// Cancel a job.
    Cancel { job: String },
    /// Accept a job if all its dependencies were accepted.
    Submit { job: String, spec: Box<JobSpec> },
}

impl ClientRequest {
    /// Returns the job that the request is about.
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
    /// Time at which the request is refused.
    pub deadline: Micros,
}

/// Pending requests in the order in which they were received.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: VecDeque<PendingRequest>,
    /// Time before which no request expires.
    next_expiry: Option<Micros>,
}

impl PendingRequests {
    /// Adds a request that was just received.
    pub(super) fn push(&mut self, request: PendingRequest) {
        let expiry = self.next_expiry.unwrap_or(Micros::MAX);
        self.next_expiry = Some(expiry.min(request.deadline));
        self.requests.push_back(request);
    }

    /// Returns the number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the earliest time at which a request may expire.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.next_expiry
    }

    /// Removes and returns the requests that were received no later than `sent`, the time at which
    /// a read was sent.
    pub(super) fn take_until(&mut self, sent: Micros) -> VecDeque<PendingRequest> {
        let count = self.requests.partition_point(|r| r.received_at <= sent);
        let rest = self.requests.split_off(count);
        let taken = std::mem::replace(&mut self.requests, rest);
        if self.requests.is_empty() {
            self.next_expiry = None;
        }
        taken
    }

    /// Removes the requests that have expired and returns their connections.
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
