//! Users' requests.

use super::*;

impl<N: Net> Controller<N> {
    pub(super) fn refuse(&mut self, conn: ConnectionId, status: u16, after: u32) {
        self.reactor.respond(conn, Response::refusal(status, after));
    }

    pub(super) fn on_request(&mut self, conn: ConnectionId, req: Request) {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), path.as_slice()) {
            ("GET", ["ready"]) => {
                let r = if self.ready() {
                    Response::new(200, Vec::new())
                } else {
                    Response::refusal(503, 1)
                };
                self.reactor.respond(conn, r);
            }
            ("POST", ["v1", "report"]) => self.on_heartbeat(conn, &req.body),
            ("POST", ["work"]) => self.on_submit(conn, &req.body),
            ("GET", ["work", id]) => {
                self.question_rate.record();
                let id = (*id).to_owned();
                let submitted = false;
                self.on_ask(conn, ClientRequest::JobState { id, submitted });
            }
            ("POST", ["work", id, "abort"]) => self.on_ask(
                conn,
                ClientRequest::Cancel {
                    id: (*id).to_owned(),
                },
            ),
            (_, ["ready"] | ["v1", "report"] | ["work"] | ["work", _] | ["work", _, "abort"]) => {
                self.reactor.respond(conn, Response::new(405, Vec::new()))
            }
            _ => self.reactor.respond(conn, Response::new(404, Vec::new())),
        }
    }

    pub(super) fn in_progress(&self) -> usize {
        self.users_busy
    }

    /// Whether a question can be answered just now; if not it is refused at once.
    /// Questions and cancellations share one read of the state service, however
    /// many there are, so the limit on requests in progress is not for them: a job
    /// whose polls it refused again and again would be forgotten.
    pub(super) fn answers(&mut self, conn: ConnectionId) -> bool {
        let able = self.registry.loaded() && !self.registry.failing();
        if !able {
            self.refuse(conn, 503, 1);
        }
        able
    }

    /// Whether a submission may come in; if not it is refused at once.
    pub(super) fn admit(&mut self, conn: ConnectionId) -> bool {
        let n = self.in_progress();
        if !self.answers(conn) {
            return false;
        }
        if !self.limiter.admits(n) {
            log::info!("intake: refused, {n} in progress");
            self.refuse(conn, 429, 1);
            return false;
        }
        true
    }

    pub(super) fn on_submit(&mut self, conn: ConnectionId, body: &[u8]) {
        let (id, spec) = match admission::parse_submission(body, self.reactor.wall()) {
            Ok(submission) => submission,
            Err(error) => {
                log::debug!("submission rejected: {error}");
                return self.reactor.respond(conn, Response::new(400, Vec::new()));
            }
        };
        if self.withholds(conn, &id) {
            return;
        }
        // A job that is known stays what it is, whatever the repeat says.
        if self.registry.replica.jobs.contains_key(&id) {
            return self.on_ask(
                conn,
                ClientRequest::JobState {
                    id,
                    submitted: true,
                },
            );
        }
        if !self.admit(conn) {
            return;
        }
        match admission::check_satisfiable(&spec, &self.registry.replica, &self.settings) {
            Ok(()) => {}
            Err(AdmissionError::Undecided(why)) => {
                log::info!("intake: {id}: {why}");
                return self.refuse(conn, 503, 1);
            }
            Err(e @ AdmissionError::TooManyDependencies { .. }) => {
                log::info!("intake: {id}: {e}");
                let body = e.to_string().into_bytes();
                return self.reactor.respond(conn, Response::new(400, body));
            }
            Err(e) => {
                // It may have been accepted elsewhere a moment ago, before we
                // heard: only the records can say.
                log::info!("intake: {id}: {e}");
                self.waiting.push(PendingRequest {
                    conn,
                    ask: ClientRequest::JobState {
                        id,
                        submitted: true,
                    },
                    came: self.now,
                    give_up: self.now + ASK_PATIENCE,
                });
                self.registry.want_barrier();
                return;
            }
        }
        // A record once seen stays; that one is missing can only be said after a read.
        let jobs = &self.registry.replica.jobs;
        if !spec.dependencies.iter().all(|n| jobs.contains_key(n)) {
            self.waiting.push(PendingRequest {
                conn,
                ask: ClientRequest::Submit {
                    id,
                    spec: Box::new(spec),
                },
                came: self.now,
                give_up: self.now + ASK_PATIENCE,
            });
            self.registry.want_barrier();
            return;
        }
        let came = self.now;
        self.accept(conn, id, spec, came);
    }

    /// Puts a new job on record; the answer goes out when it is.
    pub(super) fn accept(&mut self, conn: ConnectionId, id: String, spec: JobSpec, came: Micros) {
        let key = Key::Job(id.clone());
        let rec = JobRecord {
            stage: JobStage::Open,
            spec: Some(std::rc::Rc::new(spec)),
            task_ranges: Vec::new(),
            multi_region: None,
            ended_at: None,
        };
        let txn = Transaction {
            conditions: vec![(key.clone(), 0)],
            changes: vec![(key, Some(value(&rec)))],
            lease: None,
        };
        let t = self
            .registry
            .commit(txn, CommitPriority::Urgent, Some(came + ASK_PATIENCE));
        self.users_busy += 1;
        self.tickets
            .insert(t, PendingCommit::Submit { conn, id, came });
    }

    pub(super) fn on_ask(&mut self, conn: ConnectionId, ask: ClientRequest) {
        let id = match &ask {
            ClientRequest::JobState { id, .. }
            | ClientRequest::Cancel { id }
            | ClientRequest::Submit { id, .. } => id,
        };
        if !is_job_id(id) {
            return self.reactor.respond(conn, Response::new(404, Vec::new()));
        }
        if self.withholds(conn, id) {
            return;
        }
        // What is final needs no asking round.
        if let Some(stage) = self.registry.replica.stage(id) {
            if stage != JobStage::Open {
                let body = self.state(id, stage);
                return self.reactor.respond(conn, Response::new(200, body));
            }
        }
        if !self.answers(conn) {
            return;
        }
        let patience = match ask {
            ClientRequest::JobState {
                submitted: false, ..
            } => POLL_PATIENCE,
            _ => ASK_PATIENCE,
        };
        self.waiting.push(PendingRequest {
            conn,
            ask,
            came: self.now,
            give_up: self.now + patience,
        });
        self.registry.want_barrier();
    }

    pub(super) fn state(&self, id: &str, stage: JobStage) -> Vec<u8> {
        if stage != JobStage::Open {
            return admission::encode_job_state(id, stage, None);
        }
        let mut running = 0;
        for (name, (r, _)) in &self.reports {
            running += match self.regions.get(name) {
                Some(own) => own.running(id),
                // Owners list their jobs by name.
                None => r
                    .running_tasks
                    .binary_search_by(|c| c.job.as_str().cmp(id))
                    .map_or(0, |at| r.running_tasks[at].running),
            };
        }
        let done = self.registry.replica.done_count(id);
        let counts = admission::TaskCounts { done, running };
        admission::encode_job_state(id, stage, Some(counts))
    }

    pub(super) fn expire_waiting(&mut self) {
        for conn in self.waiting.take_expired(self.now) {
            self.refuse(conn, 503, 1);
        }
    }

    /// A read sent at `sent` is complete: whoever came before it gets an answer
    /// that is no older than anything said before.
    pub(super) fn answer_waiting(&mut self, sent: Micros) {
        let ready = self.waiting.take_until(sent);
        if self.waiting.len() > 0 {
            self.registry.want_barrier();
        }
        for w in ready {
            if self.held.is_some() {
                let (ClientRequest::JobState { id, .. }
                | ClientRequest::Cancel { id }
                | ClientRequest::Submit { id, .. }) = &w.ask;
                self.withholds(w.conn, id);
                continue;
            }
            match w.ask {
                ClientRequest::JobState { id, submitted } => {
                    let r = match self.registry.replica.stage(&id) {
                        Some(stage) => Response::new(200, self.state(&id, stage)),
                        None if submitted => Response::new(422, Vec::new()),
                        None => Response::new(404, Vec::new()),
                    };
                    self.reactor.respond(w.conn, r);
                }
                ClientRequest::Cancel { id } => self.cancel(w.conn, id, w.give_up),
                ClientRequest::Submit { id, spec } => {
                    // All that came before the read was sent is in the replica: what is
                    // not there now was never accepted.
                    let jobs = &self.registry.replica.jobs;
                    if let Some(n) = spec.dependencies.iter().find(|n| !jobs.contains_key(*n)) {
                        log::info!("intake: {id}: needs {n}, which was never accepted");
                        self.reactor.respond(w.conn, Response::new(422, Vec::new()));
                    } else {
                        self.accept(w.conn, id, *spec, w.came);
                    }
                }
            }
        }
    }

    pub(super) fn cancel(&mut self, conn: ConnectionId, id: String, give_up: Micros) {
        let Some(r) = self.registry.replica.jobs.get(&id) else {
            return self.reactor.respond(conn, Response::new(404, Vec::new()));
        };
        let stage = self.registry.replica.stage(&id).unwrap_or(r.value.stage);
        if stage != JobStage::Open {
            let body = self.state(&id, stage);
            return self.reactor.respond(conn, Response::new(200, body));
        }
        let key = Key::Job(id.clone());
        let rec = r.value.cancelled();
        let txn = Transaction {
            conditions: vec![(key.clone(), r.version)],
            changes: vec![(key, Some(value(&rec)))],
            lease: None,
        };
        let t = self
            .registry
            .commit(txn, CommitPriority::Urgent, Some(give_up));
        self.users_busy += 1;
        self.tickets
            .insert(t, PendingCommit::Cancel { conn, id, give_up });
    }
}
