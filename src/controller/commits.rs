//! Ends of the controller's own commits.

use super::*;

impl<N: Net> Controller<N> {
    pub(super) fn on_committed(&mut self, ticket: u64, outcome: CommitOutcome) {
        let context = context!(self);
        for r in self.regions.values_mut() {
            if r.on_committed(ticket, &outcome, &context) {
                return;
            }
        }
        let looking = match outcome {
            CommitOutcome::Conflict(rev) => Acquisition::CatchingUp(rev),
            _ => Acquisition::CatchingUp(0),
        };
        match self.tickets.remove(&ticket) {
            Some(PendingCommit::Submit { conn, id, came }) => {
                self.users_busy -= 1;
                match outcome {
                    CommitOutcome::Committed(_) => {
                        log::debug!("intake: {id}: accepted");
                        // Cancelled at once, if one that it needs is.
                        let stage = self.registry.replica.stage(&id).unwrap_or(JobStage::Open);
                        let body = admission::encode_job_state(&id, stage, None);
                        self.reactor.respond(conn, Response::new(201, body));
                    }
                    CommitOutcome::Conflict(_) => {
                        // Known already, or our own unanswered sending did it.
                        self.waiting.push(PendingRequest {
                            conn,
                            ask: ClientRequest::JobState {
                                id,
                                submitted: false,
                            },
                            came: self.now,
                            give_up: came + ASK_PATIENCE,
                        });
                        self.registry.want_barrier();
                    }
                    CommitOutcome::Refused | CommitOutcome::Unknown => self.refuse(conn, 503, 1),
                }
            }
            Some(PendingCommit::Cancel { conn, id, give_up }) => {
                self.users_busy -= 1;
                match outcome {
                    CommitOutcome::Committed(_) => {
                        log::debug!("intake: {id}: cancelled");
                        self.to_tell.push(id.clone());
                        let body = admission::encode_job_state(&id, JobStage::Cancelled, None);
                        self.reactor.respond(conn, Response::new(200, body));
                    }
                    CommitOutcome::Conflict(_) if self.now < give_up => {
                        self.waiting.push(PendingRequest {
                            conn,
                            ask: ClientRequest::Cancel { id },
                            came: self.now,
                            give_up,
                        });
                        self.registry.want_barrier();
                    }
                    _ => self.refuse(conn, 503, 1),
                }
            }
            Some(PendingCommit::Take { region }) => {
                self.claims.insert(region, looking);
            }
            Some(PendingCommit::Lead) => self.lead_claim = Some(looking),
            Some(PendingCommit::Leader(keys)) => {
                let done = matches!(outcome, CommitOutcome::Committed(_));
                if let Some(l) = &mut self.leader {
                    l.concluded(&keys, done, self.now);
                }
            }
            Some(PendingCommit::Hand { region }) => {
                if !matches!(outcome, CommitOutcome::Committed(_)) {
                    // Should it still be ours, then only under another token.
                    self.retake.insert(region.clone());
                }
                self.claims.insert(region, looking);
            }
            Some(PendingCommit::DataLossHoldRecord) => self.on_hold_record_committed(looking),
            Some(PendingCommit::HoldRegion { region, token }) => {
                self.on_hold_region_committed(region, token, &outcome, looking);
            }
            None => {}
        }
    }
}
