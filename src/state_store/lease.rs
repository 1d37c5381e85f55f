//! State machine of a lease of the state service. This module sends nothing: the caller
//! executes the step that [`Lease::next_step`] returns and reports the response.
//!
//! | state     | event                | next state                                    |
//! |-----------|----------------------|-----------------------------------------------|
//! | Released  | `request`            | Requested, at once                            |
//! | Requested | `not_before` reached | Acquiring                                     |
//! | Acquiring | `granted`            | Held                                          |
//! | Acquiring | `acquisition_failed` | Requested, after [`ACQUIRE_RETRY_DELAY`]      |
//! | Held      | renewal due          | Renewing                                      |
//! | Renewing  | `renewed`            | Held                                          |
//! | Renewing  | `renewal_failed`     | Held, next try after [`RENEWAL_RETRY_DELAY`]  |
//! | Renewing  | `expired`            | owner: Requested, at once; leader: Released   |
//! | any       | `release`            | Released                                      |
//! | any       | `request_new`        | Requested, at once                            |
//!
//! A response is ignored if it arrives in a state that doesn't wait for it.

use salttiller_records::units::{subtract_drift, Micros, MILLISECOND};

/// Delay between a failed acquisition and the next attempt.
const ACQUIRE_RETRY_DELAY: Micros = 300 * MILLISECOND;
/// Delay between a failed renewal and the next attempt.
const RENEWAL_RETRY_DELAY: Micros = 400 * MILLISECOND;
/// Number of renewals within the time to live of a lease.
const RENEWALS_PER_TTL: u64 = 5;
/// Time by which authority under a lease ends before the lease can expire in the state
/// service.
pub(super) const SAFETY_MARGIN: Micros = 300 * MILLISECOND;

/// One of the two leases a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// Lease for the ownership of regions.
    Owner,
    /// Lease for leadership.
    Leader,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    /// The lease is neither held nor requested.
    Released,
    /// The lease is to be acquired at `not_before`.
    Requested { not_before: Micros },
    /// An acquisition is outstanding.
    Acquiring { sent_at: Micros },
    /// The lease is held. `renewed_at` is the send time of the last successful call, which is
    /// earlier than the time from which the state service counts the time to live.
    Held {
        id: u64,
        renewed_at: Micros,
        renewal_due: Micros,
    },
    /// The lease is held and a renewal is outstanding.
    Renewing {
        id: u64,
        renewed_at: Micros,
        sent_at: Micros,
    },
}

/// Next step for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseStep {
    /// Nothing to do until a response or a request arrives.
    Idle,
    /// Nothing to do before this time.
    WaitUntil(Micros),
    /// Acquire the lease.
    Acquire,
    /// Renew the lease with this id.
    Renew(u64),
}

/// A lease as this process knows it.
#[derive(Debug)]
pub(super) struct Lease {
    role: LeaseRole,
    time_to_live: Micros,
    state: LeaseState,
}

impl Lease {
    /// Returns a lease that is neither held nor requested.
    pub(super) fn new(role: LeaseRole, time_to_live: Micros) -> Self {
        Lease {
            role,
            time_to_live,
            state: LeaseState::Released,
        }
    }

    pub(super) fn time_to_live(&self) -> Micros {
        self.time_to_live
    }

    /// Id of the lease, if it is held.
    pub(super) fn id(&self) -> Option<u64> {
        match self.state {
            LeaseState::Held { id, .. } | LeaseState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Send time of the last successful acquisition or renewal, if the lease is held.
    pub(super) fn renewed_at(&self) -> Option<Micros> {
        match self.state {
            LeaseState::Held { renewed_at, .. } | LeaseState::Renewing { renewed_at, .. } => {
                Some(renewed_at)
            }
            _ => None,
        }
    }

    /// Returns the time until which a confirmation is valid that came from a call sent at
    /// `confirmed_at`. The state service may expire the lease after that time.
    pub(super) fn safe_until(&self, confirmed_at: Micros) -> Micros {
        (confirmed_at + subtract_drift(self.time_to_live)).saturating_sub(SAFETY_MARGIN)
    }

    /// Requests the lease unless it is held or requested already.
    pub(super) fn request(&mut self) {
        if self.state == LeaseState::Released {
            self.request_new();
        }
    }

    /// Requests a new lease in any state, even if one is held.
    pub(super) fn request_new(&mut self) {
        self.state = LeaseState::Requested { not_before: 0 };
    }

    /// Stops renewals and lets the lease expire.
    pub(super) fn release(&mut self) {
        self.state = LeaseState::Released;
    }

    /// Returns the step that is due, and assumes that the caller makes the call that the step
    /// names.
    #[must_use]
    pub(super) fn next_step(&mut self, now: Micros) -> LeaseStep {
        match self.state {
            LeaseState::Requested { not_before } if now < not_before => {
                LeaseStep::WaitUntil(not_before)
            }
            LeaseState::Requested { .. } => {
                self.state = LeaseState::Acquiring { sent_at: now };
                LeaseStep::Acquire
            }
            LeaseState::Held { renewal_due, .. } if now < renewal_due => {
                LeaseStep::WaitUntil(renewal_due)
            }
            LeaseState::Held { id, renewed_at, .. } => {
                self.state = LeaseState::Renewing {
                    id,
                    renewed_at,
                    sent_at: now,
                };
                LeaseStep::Renew(id)
            }
            LeaseState::Released | LeaseState::Acquiring { .. } | LeaseState::Renewing { .. } => {
                LeaseStep::Idle
            }
        }
    }

    /// Records that the state service granted the lease.
    pub(super) fn granted(&mut self, id: u64) {
        if let LeaseState::Acquiring { sent_at } = self.state {
            self.state = self.held_since(id, sent_at);
        }
    }

    /// Records that an acquisition failed or has an unknown outcome.
    pub(super) fn acquisition_failed(&mut self, now: Micros) {
        if let LeaseState::Acquiring { .. } = self.state {
            self.state = LeaseState::Requested {
                not_before: now + ACQUIRE_RETRY_DELAY,
            };
        }
    }

    /// Records that the state service renewed the lease.
    pub(super) fn renewed(&mut self) {
        if let LeaseState::Renewing { id, sent_at, .. } = self.state {
            self.state = self.held_since(id, sent_at);
        }
    }

    /// Records that a renewal failed or has an unknown outcome.
    pub(super) fn renewal_failed(&mut self, now: Micros) {
        if let LeaseState::Renewing { id, renewed_at, .. } = self.state {
            self.state = LeaseState::Held {
                id,
                renewed_at,
                renewal_due: now + RENEWAL_RETRY_DELAY,
            };
        }
    }

    /// Records that the lease no longer exists in the state service. Returns the id of the
    /// lease if this process still considered it held.
    #[must_use]
    pub(super) fn expired(&mut self, now: Micros) -> Option<u64> {
        let LeaseState::Renewing { id, .. } = self.state else {
            return None;
        };
        self.state = match self.role {
            LeaseRole::Owner => LeaseState::Requested { not_before: now },
            // The controller requests a new leader lease when it next stands for election.
            LeaseRole::Leader => LeaseState::Released,
        };
        Some(id)
    }

    fn held_since(&self, id: u64, sent_at: Micros) -> LeaseState {
        LeaseState::Held {
            id,
            renewed_at: sent_at,
            renewal_due: sent_at + self.time_to_live / RENEWALS_PER_TTL,
        }
    }
}

#[cfg(test)]
mod tests;
