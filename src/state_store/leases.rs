//! Grants (leases of the state service): asking for them and keeping them renewed.

use super::*;

impl Registry {
    pub(super) fn lease(&mut self, name: LeaseName) -> &mut Lease {
        match name {
            LeaseName::Owner => &mut self.owner,
            LeaseName::Leader => &mut self.leader,
        }
    }

    /// The lease's id, if it is held.
    pub fn lease_id(&self, name: LeaseName) -> Option<u64> {
        let g = match name {
            LeaseName::Owner => &self.owner,
            LeaseName::Leader => &self.leader,
        };
        match g.state {
            LeaseState::Held { id, .. } | LeaseState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Asks for a lease and keeps it renewed from then on.
    pub fn want_lease(&mut self, name: LeaseName) {
        let g = self.lease(name);
        if g.state == LeaseState::Unwanted {
            g.state = LeaseState::Wanted { not_before: 0 };
        }
    }

    /// Lets a lease run out.
    pub fn drop_lease(&mut self, name: LeaseName) {
        self.lease(name).state = LeaseState::Unwanted;
    }

    pub(super) fn pump_lease(&mut self, name: LeaseName, now: Micros, next: &mut Micros) {
        let life = self.lease(name).life;
        match self.lease(name).state {
            LeaseState::Wanted { not_before } if now >= not_before => {
                self.lease(name).state = LeaseState::Asking { sent: now };
                let body = encode(&json!({"lifeMs": life / MILLI}));
                self.send(Op::Ask(name), "POST", "/grants".into(), body, 2 * SECOND);
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
                self.send(Op::Renew(name), "POST", target, encode(&json!({})), timeout);
            }
            LeaseState::Held { next: due, .. } => *next = (*next).min(due),
            _ => {}
        }
    }

    pub(super) fn on_ask(
        &mut self,
        name: LeaseName,
        result: Result<Response, CallError>,
        now: Micros,
    ) {
        let LeaseState::Asking { sent } = self.lease(name).state else {
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
                not_before: now + 300 * MILLI,
            },
        };
    }

    pub(super) fn on_renew(
        &mut self,
        name: LeaseName,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
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
                    LeaseName::Owner => RegistryEvent::OwnerLeaseLost,
                    LeaseName::Leader => RegistryEvent::LeaderLeaseLost,
                });
                if name == LeaseName::Owner {
                    LeaseState::Wanted { not_before: now }
                } else {
                    LeaseState::Unwanted
                }
            }
            _ => LeaseState::Held {
                id,
                renewed,
                next: now + 400 * MILLI,
            },
        };
    }
}
