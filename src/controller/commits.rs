//! Ends of the controller's own commits.

use super::*;

impl<N: Net> Node<N> {
    pub(super) fn on_committed(&mut self, ticket: u64, outcome: Outcome) {
        let view = view!(self);
        for r in self.regions.values_mut() {
            if r.on_committed(ticket, &outcome, &view) {
                return;
            }
        }
        let looking = match outcome {
            Outcome::Conflict(rev) => Claim::Looking(rev),
            _ => Claim::Looking(0),
        };
        match self.tickets.remove(&ticket) {
            Some(Ticket::Submit { conn, id, came }) => {
                self.users_busy -= 1;
                match outcome {
                    Outcome::Done(_) => {
                        log::debug!("intake: {id}: accepted");
                        // Cancelled at once, if one that it needs is.
                        let stage = self.registry.replica.stage(&id).unwrap_or(Stage::Open);
                        let body = admission::state_body(&id, stage, None);
                        self.reactor.respond(conn, Response::new(201, body));
                    }
                    Outcome::Conflict(_) => {
                        // Known already, or our own unanswered sending did it.
                        self.waiting.push(Waiting {
                            conn,
                            ask: Ask::State {
                                id,
                                submitted: false,
                            },
                            came: self.now,
                            give_up: came + ASK_PATIENCE,
                        });
                        self.registry.want_barrier();
                    }
                    Outcome::Refused | Outcome::Unknown => self.refuse(conn, 503, 1),
                }
            }
            Some(Ticket::Cancel { conn, id, give_up }) => {
                self.users_busy -= 1;
                match outcome {
                    Outcome::Done(_) => {
                        log::debug!("intake: {id}: cancelled");
                        self.to_tell.push(id.clone());
                        let body = admission::state_body(&id, Stage::Cancelled, None);
                        self.reactor.respond(conn, Response::new(200, body));
                    }
                    Outcome::Conflict(_) if self.now < give_up => {
                        self.waiting.push(Waiting {
                            conn,
                            ask: Ask::Cancel { id },
                            came: self.now,
                            give_up,
                        });
                        self.registry.want_barrier();
                    }
                    _ => self.refuse(conn, 503, 1),
                }
            }
            Some(Ticket::Take { region }) => {
                self.claims.insert(region, looking);
            }
            Some(Ticket::Lead) => self.lead_claim = Some(looking),
            Some(Ticket::Leader(keys)) => {
                let done = matches!(outcome, Outcome::Done(_));
                if let Some(l) = &mut self.leader {
                    l.concluded(&keys, done, self.now);
                }
            }
            Some(Ticket::Hand { region }) => {
                if !matches!(outcome, Outcome::Done(_)) {
                    // Should it still be ours, then only under another token.
                    self.retake.insert(region.clone());
                }
                self.claims.insert(region, looking);
            }
            Some(Ticket::HoldRecord) => self.on_hold_record_committed(looking),
            Some(Ticket::HoldRegion { region, token }) => {
                self.on_hold_region_committed(region, token, &outcome, looking);
            }
            None => {}
        }
    }
}
