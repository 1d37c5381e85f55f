//! The state machine of a lease of the state service. Nothing here sends: the caller acts
//! on what [`Lease::next_step`] returns and reports the answers.
//!
//! | state     | event                     | next state                                 |
//! |-----------|---------------------------|--------------------------------------------|
//! | Released  | `request`                 | Requested, at once                         |
//! | Requested | its time has come         | Acquiring                                  |
//! | Acquiring | `granted`                 | Held                                       |
//! | Acquiring | `acquisition_failed`      | Requested, after [`ACQUIRE_RETRY`]         |
//! | Held      | its renewal is due        | Renewing                                   |
//! | Renewing  | `renewed`                 | Held                                       |
//! | Renewing  | `renewal_failed`          | Held, next try after [`RENEWAL_RETRY`]     |
//! | Renewing  | `expired`                 | owner: Requested, at once; leader: Released |
//! | any       | `release`                 | Released                                   |
//! | any       | `request_anew`            | Requested, at once                         |
//!
//! An answer that finds the lease in another state than the one that waits for it changes
//! nothing.

use salttiller_records::units::{subtract_drift, Micros, MILLISECOND};

/// Time after a failed acquisition until the next.
const ACQUIRE_RETRY: Micros = 300 * MILLISECOND;
/// Time after a failed renewal until the next.
const RENEWAL_RETRY: Micros = 400 * MILLISECOND;
/// A lease is renewed this many times in its time to live.
const RENEWALS_PER_TTL: u64 = 5;
/// Authority under a lease ends this long before the lease may end in the state service.
pub(super) const SAFETY_MARGIN: Micros = 300 * MILLISECOND;

/// One of the two leases a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// For regions.
    Owner,
    /// For leading.
    Leader,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    /// Neither held nor asked for.
    Released,
    /// To be asked for.
    Requested { not_before: Micros },
    /// Asked for.
    Acquiring { sent_at: Micros },
    /// Granted. `renewed_at` is the time at which the last successful call was sent, which
    /// is earlier than the time from which the state service counts.
    Held {
        id: u64,
        renewed_at: Micros,
        renewal_due: Micros,
    },
    /// Granted, and a renewal is outstanding.
    Renewing {
        id: u64,
        renewed_at: Micros,
        sent_at: Micros,
    },
}

/// What is to be done for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseStep {
    /// Nothing until an answer or a request comes.
    Idle,
    /// Nothing before this time.
    WaitUntil(Micros),
    /// Ask for the lease.
    Acquire,
    /// Renew the lease with this id.
    Renew(u64),
}

/// A lease: what the process knows of it and when it must act.
#[derive(Debug)]
pub(super) struct Lease {
    role: LeaseRole,
    time_to_live: Micros,
    state: LeaseState,
}

impl Lease {
    /// A lease that is neither held nor asked for.
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

    /// Its id, if it is held.
    pub(super) fn id(&self) -> Option<u64> {
        match self.state {
            LeaseState::Held { id, .. } | LeaseState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Send time of the last successful acquisition or renewal, if it is held.
    pub(super) fn renewed_at(&self) -> Option<Micros> {
        match self.state {
            LeaseState::Held { renewed_at, .. } | LeaseState::Renewing { renewed_at, .. } => {
                Some(renewed_at)
            }
            _ => None,
        }
    }

    /// Until when something may be relied on that was confirmed by a call sent at
    /// `confirmed_at`: the state service may end the lease from then on.
    pub(super) fn safe_until(&self, confirmed_at: Micros) -> Micros {
        (confirmed_at + subtract_drift(self.time_to_live)).saturating_sub(SAFETY_MARGIN)
    }

    /// Asks for the lease unless it is held or asked for already.
    pub(super) fn request(&mut self) {
        if self.state == LeaseState::Released {
            self.request_anew();
        }
    }

    /// Asks for a new lease, whatever is known of the present one.
    pub(super) fn request_anew(&mut self) {
        self.state = LeaseState::Requested { not_before: 0 };
    }

    /// Lets the lease run out.
    pub(super) fn release(&mut self) {
        self.state = LeaseState::Released;
    }

    /// What is to be done now; the state moves on to the call that the caller makes.
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

    /// The state service granted the lease.
    pub(super) fn granted(&mut self, id: u64) {
        if let LeaseState::Acquiring { sent_at } = self.state {
            self.state = self.held_since(id, sent_at);
        }
    }

    /// The lease wasn't granted, or it isn't known whether it was.
    pub(super) fn acquisition_failed(&mut self, now: Micros) {
        if let LeaseState::Acquiring { .. } = self.state {
            self.state = LeaseState::Requested {
                not_before: now + ACQUIRE_RETRY,
            };
        }
    }

    /// The state service renewed the lease.
    pub(super) fn renewed(&mut self) {
        if let LeaseState::Renewing { id, sent_at, .. } = self.state {
            self.state = self.held_since(id, sent_at);
        }
    }

    /// The lease wasn't renewed, or it isn't known whether it was.
    pub(super) fn renewal_failed(&mut self, now: Micros) {
        if let LeaseState::Renewing { id, renewed_at, .. } = self.state {
            self.state = LeaseState::Held {
                id,
                renewed_at,
                renewal_due: now + RENEWAL_RETRY,
            };
        }
    }

    /// The state service has no such lease any more. Returns the id of the lease that was
    /// lost, if this process still took it for held.
    #[must_use]
    pub(super) fn expired(&mut self, now: Micros) -> Option<u64> {
        let LeaseState::Renewing { id, .. } = self.state else {
            return None;
        };
        self.state = match self.role {
            LeaseRole::Owner => LeaseState::Requested { not_before: now },
            // The leader asks for a new one when it stands for election again.
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
