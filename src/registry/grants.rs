//! Grants (leases of the state service): asking for them and keeping them renewed.

use super::*;

impl Registry {
    pub(super) fn grant(&mut self, name: GrantName) -> &mut Grant {
        match name {
            GrantName::Owner => &mut self.owner,
            GrantName::Leader => &mut self.leader,
        }
    }

    /// The grant's id, if it is held.
    pub fn grant_id(&self, name: GrantName) -> Option<u64> {
        let g = match name {
            GrantName::Owner => &self.owner,
            GrantName::Leader => &self.leader,
        };
        match g.state {
            GrantState::Held { id, .. } | GrantState::Renewing { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Asks for a grant and keeps it renewed from then on.
    pub fn want_grant(&mut self, name: GrantName) {
        let g = self.grant(name);
        if g.state == GrantState::Unwanted {
            g.state = GrantState::Wanted { not_before: 0 };
        }
    }

    /// Lets a grant run out.
    pub fn drop_grant(&mut self, name: GrantName) {
        self.grant(name).state = GrantState::Unwanted;
    }

    pub(super) fn pump_grant(&mut self, name: GrantName, now: Micros, next: &mut Micros) {
        let life = self.grant(name).life;
        match self.grant(name).state {
            GrantState::Wanted { not_before } if now >= not_before => {
                self.grant(name).state = GrantState::Asking { sent: now };
                let body = encode(&json!({"lifeMs": life / MILLI}));
                self.send(Op::Ask(name), "POST", "/grants".into(), body, 2 * SECOND);
            }
            GrantState::Wanted { not_before } => *next = (*next).min(not_before),
            GrantState::Held {
                id,
                renewed,
                next: due,
            } if now >= due => {
                self.grant(name).state = GrantState::Renewing {
                    id,
                    renewed,
                    sent: now,
                };
                let target = format!("/grants/{id}/renew");
                let timeout = (life / 4).min(2 * SECOND);
                self.send(Op::Renew(name), "POST", target, encode(&json!({})), timeout);
            }
            GrantState::Held { next: due, .. } => *next = (*next).min(due),
            _ => {}
        }
    }

    pub(super) fn on_ask(
        &mut self,
        name: GrantName,
        result: Result<Response, CallError>,
        now: Micros,
    ) {
        let GrantState::Asking { sent } = self.grant(name).state else {
            return;
        };
        let id = match result {
            Ok(r) if r.status == 200 => decode::<Granted>(&r.body).map(|g| g.lease),
            _ => None,
        };
        let life = self.grant(name).life;
        self.grant(name).state = match id {
            Some(id) => GrantState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            None => GrantState::Wanted {
                not_before: now + 300 * MILLI,
            },
        };
    }

    pub(super) fn on_renew(
        &mut self,
        name: GrantName,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<RegistryEvent>,
    ) {
        let GrantState::Renewing { id, renewed, sent } = self.grant(name).state else {
            return;
        };
        let life = self.grant(name).life;
        self.grant(name).state = match result {
            Ok(r) if r.status == 200 => GrantState::Held {
                id,
                renewed: sent,
                next: sent + life / 5,
            },
            Ok(r) if r.status == 404 => {
                log::info!("registry: {name:?} grant {id}: ran out");
                self.compare_next = true;
                events.push(match name {
                    GrantName::Owner => RegistryEvent::OwnerGrantLost,
                    GrantName::Leader => RegistryEvent::LeaderGrantLost,
                });
                if name == GrantName::Owner {
                    GrantState::Wanted { not_before: now }
                } else {
                    GrantState::Unwanted
                }
            }
            _ => GrantState::Held {
                id,
                renewed,
                next: now + 400 * MILLI,
            },
        };
    }
}
