//! Users' requests that wait for a read of the state service. However many wait, an event
//! that concerns none of them costs the same.

use std::collections::VecDeque;

use super::PendingRequest;
use crate::reactor::ConnectionId;
use salttiller_records::units::Micros;

/// Requests in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: VecDeque<PendingRequest>,
    /// No request is given up before this.
    next_expiry: Option<Micros>,
}

impl PendingRequests {
    /// Adds a request that has just come.
    pub fn push(&mut self, request: PendingRequest) {
        let expiry = self.next_expiry.unwrap_or(Micros::MAX);
        self.next_expiry = Some(expiry.min(request.give_up));
        self.requests.push_back(request);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// When the first may be given up.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.next_expiry
    }

    /// Takes those that came no later than a read was sent.
    pub fn take_until(&mut self, sent: Micros) -> VecDeque<PendingRequest> {
        let count = self.requests.partition_point(|r| r.came <= sent);
        let rest = self.requests.split_off(count);
        let taken = std::mem::replace(&mut self.requests, rest);
        if self.requests.is_empty() {
            self.next_expiry = None;
        }
        taken
    }

    /// Takes the connections of those whose time is up.
    pub fn take_expired(&mut self, now: Micros) -> Vec<ConnectionId> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.requests.retain(|r| {
            if now >= r.give_up {
                expired.push(r.conn);
            }
            now < r.give_up
        });
        self.next_expiry = self.requests.iter().map(|r| r.give_up).min();
        expired
    }
}

#[cfg(test)]
mod tests;
