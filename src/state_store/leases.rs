//! Grants (leases of the state service): asking for them and keeping them renewed.

use super::*;

impl StateStore {
    pub(super) fn lease(&mut self, name: LeaseRole) -> &mut Lease {
        match name {
            LeaseRole::Owner => &mut self.owner,
            LeaseRole::Leader => &mut self.leader,
        }
    }

    /// The lease's id, if it is held.
    pub fn lease_id(&self, name: LeaseRole) -> Option<u64> {
        let g = match name {
            LeaseRole::Owner => &self.owner,
            LeaseRole::Leader => &self.leader,
        };
        match g.state {
            LeaseState::Held { id, .. } | LeaseState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Asks for a lease and keeps it renewed from then on.
    pub fn want_lease(&mut self, name: LeaseRole) {
        let g = self.lease(name);
        if g.state == LeaseState::Unwanted {
            g.state = LeaseState::Wanted { not_before: 0 };
        }
    }

    /// Lets a lease run out.
    pub fn drop_lease(&mut self, name: LeaseRole) {
        self.lease(name).state = LeaseState::Unwanted;
    }

    pub(super) fn pump_lease(&mut self, name: LeaseRole, now: Micros, next: &mut Micros) {
        let life = self.lease(name).life;
        match self.lease(name).state {
            LeaseState::Wanted { not_before } if now >= not_before => {
                self.lease(name).state = LeaseState::Acquiring { sent: now };
                let body = encode(&json!({"lifeMs": life / MILLISECOND}));
                self.send(
                    Operation::AcquireLease(name),
                    "POST",
                    "/grants".into(),
                    body,
                    2 * SECOND,
                );
            }
            LeaseState::Wanted { not_before } => *next = (*next).min(not_before),
            LeaseState::Held {
                id,
                renewed,
                next: due,
            } if now >= due => {
                self.lease(name).state = LeaseState::Renewing {
                    id,
                    renewed,
                    sent: now,
                };
                let target = format!("/grants/{id}/renew");
                let timeout = (life / 4).min(2 * SECOND);
                self.send(
                    Operation::RenewLease(name),
                    "POST",
                    target,
                    encode(&json!({})),
                    timeout,
                );
            }
            LeaseState::Held { next: due, .. } => *next = (*next).min(due),
            _ => {}
        }
    }

    pub(super) fn on_ask(
        &mut self,
        name: LeaseRole,
        result: Result<Response, CallError>,
        now: Micros,
    ) {
        let LeaseState::Acquiring { sent } = self.lease(name).state else {
            return;
        };
        let id = match result {
            Ok(r) if r.status == 200 => decode::<Granted>(&r.body).map(|g| g.lease),
            _ => None,
        };
        let life = self.lease(name).life;
        self.lease(name).state = match id {
            Some(id) => LeaseState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            None => LeaseState::Wanted {
                not_before: now + 300 * MILLISECOND,
            },
        };
    }

    pub(super) fn on_renew(
        &mut self,
        name: LeaseRole,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let LeaseState::Renewing { id, renewed, sent } = self.lease(name).state else {
            return;
        };
        let life = self.lease(name).life;
        self.lease(name).state = match result {
            Ok(r) if r.status == 200 => LeaseState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            Ok(r) if r.status == 404 => {
                log::info!("registry: {name:?} lease {id}: ran out");
                self.compare_next = true;
                events.push(match name {
                    LeaseRole::Owner => StateStoreEvent::OwnerLeaseLost,
                    LeaseRole::Leader => StateStoreEvent::LeaderLeaseLost,
                });
                if name == LeaseRole::Owner {
                    LeaseState::Wanted { not_before: now }
                } else {
                    LeaseState::Unwanted
                }
            }
            _ => LeaseState::Held {
                id,
                renewed,
                next: now + 400 * MILLISECOND,
            },
        };
    }
}
