//! Users' requests: submissions, cancellations and questions about the state of jobs.
//!
//! An answer is never older than what any controller has answered before. Final states are
//! answered from the replica; all else waits for a read that begins after the request was
//! received (see `pending_requests`), and is refused if that can't be had in time.

use std::collections::VecDeque;
use std::rc::Rc;

use salttiller_protocol::http::Request;
use salttiller_records::key::Key;
use salttiller_records::model::{is_job_id, JobSpec};
use salttiller_records::record::{value, JobRecord, JobStage};
use salttiller_records::units::{Micros, MILLISECOND};

use super::commits::PendingCommit;
use super::http_status::{
    BAD_REQUEST, CREATED, METHOD_NOT_ALLOWED, NOT_FOUND, OK, RETRY_AFTER_S, TOO_MANY_REQUESTS,
    UNPROCESSABLE,
};
use super::pending_requests::{ClientRequest, PendingRequest, PendingRequests};
use super::{Controller, MAX_STEP_INTERVAL};
use crate::admission::{self, Limiter, Refusal};
use crate::peer_protocol::RegionReport;
use crate::reactor::{ConnId, Net};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

/// A question about a job is refused after this; users wait 2 s for its answer.
const POLL_TIMEOUT: Micros = 1500 * MILLISECOND;
/// A submission or a cancellation is refused after this; users wait 5 s for its answer.
const CHANGE_TIMEOUT: Micros = 3500 * MILLISECOND;

/// Users' requests in progress.
pub(super) struct ClientRequests {
    limiter: Limiter,
    pending: PendingRequests,
    /// Submissions and cancellations that are being committed.
    committing: usize,
}

impl ClientRequests {
    /// No requests yet; at most `max_submissions` are to be in progress at once.
    pub fn new(max_submissions: usize) -> Self {
        ClientRequests {
            limiter: Limiter::new(max_submissions),
            pending: PendingRequests::default(),
            committing: 0,
        }
    }

    /// Tells the limiter how long the state service took for a request.
    pub fn record_latency(&mut self, latency: Micros, now: Micros) {
        self.limiter.measured(latency, now);
    }
}

impl<N: Net> Controller<N> {
    /// A request of a user or a worker.
    pub(super) fn on_request(&mut self, conn: ConnId, request: &Request) {
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["ready"]) => self.on_readiness_request(conn),
            ("POST", ["v1", "report"]) => self.on_heartbeat(conn, &request.body),
            ("POST", ["work"]) => self.on_submission(conn, &request.body),
            ("GET", ["work", job]) => {
                self.monitoring.record_question();
                let job = (*job).to_owned();
                let submitted = false;
                self.on_job_request(conn, ClientRequest::JobState { job, submitted });
            }
            ("POST", ["work", job, "abort"]) => {
                let job = (*job).to_owned();
                self.on_job_request(conn, ClientRequest::Cancel { job });
            }
            (_, ["ready"] | ["v1", "report"] | ["work"] | ["work", _] | ["work", _, "abort"]) => {
                self.respond(conn, METHOD_NOT_ALLOWED, Vec::new());
            }
            _ => self.respond(conn, NOT_FOUND, Vec::new()),
        }
    }

    fn on_readiness_request(&mut self, conn: ConnId) {
        if self.cluster.is_ready() {
            self.respond(conn, OK, Vec::new());
        } else {
            self.refuse_unavailable(conn);
        }
    }

    /// Whether a request can be answered just now; if not it is refused at once. Questions and
    /// cancellations share one read of the state service, however many there are, so the limit
    /// on requests in progress is not for them: a job whose polls it refused again and again
    /// would be forgotten.
    fn is_answerable(&mut self, conn: ConnId) -> bool {
        let state_store = &self.cluster.state_store;
        let is_answerable = state_store.loaded() && !state_store.failing();
        if !is_answerable {
            self.refuse_unavailable(conn);
        }
        is_answerable
    }

    /// Whether a submission is admitted; if not it is refused at once.
    fn is_admitted(&mut self, conn: ConnId) -> bool {
        if !self.is_answerable(conn) {
            return false;
        }
        let in_progress = self.client_requests.committing;
        let is_admitted = self.client_requests.limiter.admits(in_progress);
        if !is_admitted {
            log::info!("submission refused, {in_progress} requests in progress");
            self.refuse(conn, TOO_MANY_REQUESTS, RETRY_AFTER_S);
        }
        is_admitted
    }

    /// Has a request answered after a read that begins now or later.
    fn answer_after_read(&mut self, conn: ConnId, request: ClientRequest, deadline: Micros) {
        self.client_requests.pending.push(PendingRequest {
            conn,
            request,
            received_at: self.cluster.now,
            deadline,
        });
        self.cluster.state_store.want_barrier();
    }

    fn on_submission(&mut self, conn: ConnId, body: &[u8]) {
        let Ok((job, spec)) = admission::parse_submission(body, self.net.wall()) else {
            return self.respond(conn, BAD_REQUEST, Vec::new());
        };
        if self.answer_from_records_only(conn, &job) {
            return;
        }
        // A job that is known stays what it is, whatever the repeat says.
        if self.cluster.state_store.replica.jobs.contains_key(&job) {
            let submitted = true;
            return self.on_job_request(conn, ClientRequest::JobState { job, submitted });
        }
        if !self.is_admitted(conn) {
            return;
        }
        let replica = &self.cluster.state_store.replica;
        if let Err(refusal) = admission::check(&spec, replica, &self.cluster.settings) {
            return self.refuse_submission(conn, job, &refusal);
        }
        let now = self.cluster.now;
        let jobs = &self.cluster.state_store.replica.jobs;
        if spec.dependencies.iter().all(|id| jobs.contains_key(id)) {
            return self.commit_submission(conn, job, spec, now);
        }
        // A record once seen stays; that one is missing can only be said after a read.
        let spec = Box::new(spec);
        let request = ClientRequest::Submit { job, spec };
        self.answer_after_read(conn, request, now + CHANGE_TIMEOUT);
    }

    fn refuse_submission(&mut self, conn: ConnId, job: String, refusal: &Refusal) {
        match refusal {
            Refusal::NotYet(reason) => {
                log::info!("job={job}: submission refused for now: {reason}");
                self.refuse_unavailable(conn);
            }
            Refusal::Needs(_) => {
                log::info!("job={job}: submission refused: {refusal}");
                self.respond(conn, BAD_REQUEST, refusal.to_string().into_bytes());
            }
            _ => {
                // Another controller may have accepted it a moment ago: only the records can
                // tell.
                log::info!("job={job}: submission refused unless it is on record: {refusal}");
                let submitted = true;
                let request = ClientRequest::JobState { job, submitted };
                self.answer_after_read(conn, request, self.cluster.now + CHANGE_TIMEOUT);
            }
        }
    }

    /// Commits the record of a new job; the answer is sent when it is committed.
    fn commit_submission(&mut self, conn: ConnId, job: String, spec: JobSpec, received_at: Micros) {
        let key = Key::Job(job.clone());
        let record = JobRecord {
            stage: JobStage::Open,
            spec: Some(Rc::new(spec)),
            task_ranges: Vec::new(),
            multi_region: None,
            ended_at: None,
        };
        let transaction = Transaction {
            conditions: vec![(key.clone(), 0)],
            changes: vec![(key, Some(value(&record)))],
            lease: None,
        };
        let deadline = Some(received_at + CHANGE_TIMEOUT);
        let pending = PendingCommit::JobSubmission {
            conn,
            job,
            received_at,
        };
        self.client_requests.committing += 1;
        self.commit(transaction, CommitPriority::Urgent, deadline, pending);
    }

    /// The commit of a new job ended.
    pub(super) fn on_submission_committed(
        &mut self,
        conn: ConnId,
        job: String,
        received_at: Micros,
        outcome: &CommitOutcome,
    ) {
        self.client_requests.committing -= 1;
        match outcome {
            CommitOutcome::Committed(_) => {
                log::debug!("job={job}: accepted");
                // Cancelled at once, if one of its dependencies is.
                let stage = self.cluster.state_store.replica.stage(&job);
                let stage = stage.unwrap_or(JobStage::Open);
                let body = admission::state_body(&job, stage, None);
                self.respond(conn, CREATED, body);
            }
            CommitOutcome::Conflict(_) => {
                // Known already, or an unanswered sending of this commit was carried out.
                let submitted = false;
                let request = ClientRequest::JobState { job, submitted };
                self.answer_after_read(conn, request, received_at + CHANGE_TIMEOUT);
            }
            CommitOutcome::Refused | CommitOutcome::Unknown => self.refuse_unavailable(conn),
        }
    }

    /// A request about a job that may be on record.
    fn on_job_request(&mut self, conn: ConnId, request: ClientRequest) {
        let job = request.job();
        if !is_job_id(job) {
            return self.respond(conn, NOT_FOUND, Vec::new());
        }
        if self.answer_from_records_only(conn, job) {
            return;
        }
        if let Some(stage) = self.recorded_final_stage(job) {
            let body = self.job_state_body(job, stage);
            return self.respond(conn, OK, body);
        }
        if !self.is_answerable(conn) {
            return;
        }
        let is_poll = matches!(
            request,
            ClientRequest::JobState {
                submitted: false,
                ..
            }
        );
        let timeout = if is_poll {
            POLL_TIMEOUT
        } else {
            CHANGE_TIMEOUT
        };
        self.answer_after_read(conn, request, self.cluster.now + timeout);
    }

    /// The final stage of a job on record, if it has come to an end.
    pub(super) fn recorded_final_stage(&self, job: &str) -> Option<JobStage> {
        let stage = self.cluster.state_store.replica.stage(job);
        stage.filter(|stage| *stage != JobStage::Open)
    }

    /// The body of the answer about a job in this stage.
    fn job_state_body(&self, job: &str, stage: JobStage) -> Vec<u8> {
        if stage != JobStage::Open {
            return admission::state_body(job, stage, None);
        }
        let reports = self.cluster.region_reports.iter();
        let running = reports.map(|(name, report)| match self.ownership.get(name) {
            Some(region) => region.running(job),
            None => reported_running_tasks(report, job),
        });
        let running = running.sum();
        let done = self.cluster.state_store.replica.done_count(job);
        admission::state_body(job, stage, Some((done, running)))
    }

    /// Refuses the requests whose time is up; returns when to look again.
    pub(super) fn expire_pending_requests(&mut self) -> Micros {
        let now = self.cluster.now;
        for conn in self.client_requests.pending.take_expired(now) {
            self.refuse_unavailable(conn);
        }
        let next = self.client_requests.pending.next_expiry();
        next.unwrap_or(now + MAX_STEP_INTERVAL)
    }

    /// A read that was sent at `sent` failed: the requests that waited for it are refused.
    pub(super) fn refuse_pending_requests(&mut self, sent: Micros) {
        for pending in self.client_requests.pending.take_until(sent) {
            self.refuse_unavailable(pending.conn);
        }
        self.expire_pending_requests();
    }

    /// A read that was sent at `sent` is complete: the requests that were received before are
    /// answered, with nothing older than what was answered before.
    pub(super) fn answer_pending_requests(&mut self, sent: Micros) {
        let ready: VecDeque<PendingRequest> = self.client_requests.pending.take_until(sent);
        if self.client_requests.pending.len() > 0 {
            self.cluster.state_store.want_barrier();
        }
        for pending in ready {
            if self.is_held() {
                self.answer_from_records_only(pending.conn, pending.request.job());
            } else {
                self.answer_pending_request(pending);
            }
        }
    }

    fn answer_pending_request(&mut self, pending: PendingRequest) {
        let conn = pending.conn;
        match pending.request {
            ClientRequest::JobState { job, submitted } => {
                match self.cluster.state_store.replica.stage(&job) {
                    Some(stage) => {
                        let body = self.job_state_body(&job, stage);
                        self.respond(conn, OK, body);
                    }
                    None if submitted => self.respond(conn, UNPROCESSABLE, Vec::new()),
                    None => self.respond(conn, NOT_FOUND, Vec::new()),
                }
            }
            ClientRequest::Cancel { job } => self.commit_cancellation(conn, job, pending.deadline),
            ClientRequest::Submit { job, spec } => {
                // All that was accepted before the read was sent is in the replica: what is not
                // there now was never accepted.
                let jobs = &self.cluster.state_store.replica.jobs;
                let mut dependencies = spec.dependencies.iter();
                if let Some(missing) = dependencies.find(|id| !jobs.contains_key(*id)) {
                    log::info!("job={job}: dependency {missing} was never accepted");
                    self.respond(conn, UNPROCESSABLE, Vec::new());
                } else {
                    self.commit_submission(conn, job, *spec, pending.received_at);
                }
            }
        }
    }

    /// Commits the cancellation of a job, unless it has come to an end.
    fn commit_cancellation(&mut self, conn: ConnId, job: String, deadline: Micros) {
        let replica = &self.cluster.state_store.replica;
        let Some(recorded) = replica.jobs.get(&job) else {
            return self.respond(conn, NOT_FOUND, Vec::new());
        };
        let stage = replica.stage(&job).unwrap_or(recorded.value.stage);
        if stage != JobStage::Open {
            let body = self.job_state_body(&job, stage);
            return self.respond(conn, OK, body);
        }
        let key = Key::Job(job.clone());
        let transaction = Transaction {
            conditions: vec![(key.clone(), recorded.version)],
            changes: vec![(key, Some(value(&recorded.value.cancelled())))],
            lease: None,
        };
        let pending = PendingCommit::JobCancellation {
            conn,
            job,
            deadline,
        };
        self.client_requests.committing += 1;
        self.commit(transaction, CommitPriority::Urgent, Some(deadline), pending);
    }

    /// The commit of a cancellation ended.
    pub(super) fn on_cancellation_committed(
        &mut self,
        conn: ConnId,
        job: String,
        deadline: Micros,
        outcome: &CommitOutcome,
    ) {
        self.client_requests.committing -= 1;
        match outcome {
            CommitOutcome::Committed(_) => {
                log::debug!("job={job}: cancelled");
                let body = admission::state_body(&job, JobStage::Cancelled, None);
                self.broadcasts.announce_cancellation(job);
                self.respond(conn, OK, body);
            }
            CommitOutcome::Conflict(_) if self.cluster.now < deadline => {
                self.answer_after_read(conn, ClientRequest::Cancel { job }, deadline);
            }
            _ => self.refuse_unavailable(conn),
        }
    }
}

/// How many tasks of a job run in another owner's region. Owners list their jobs by name.
fn reported_running_tasks(report: &RegionReport, job: &str) -> u32 {
    let tasks = &report.running_tasks;
    let found = tasks.binary_search_by(|tasks| tasks.job.as_str().cmp(job));
    let found = found.ok().and_then(|index| tasks.get(index));
    found.map_or(0, |tasks| tasks.running)
}
