//! Users' requests: submissions, cancellations and polls of the state of jobs.
//!
//! No response shows an older state than an earlier response of any controller. A request about a
//! job in a final state is answered from the replica. Every other request waits for a read of the
//! state service that begins after the request was received (see `pending_requests`), and is
//! refused if that read is not complete in time. The modules `submissions` and `cancellations`
//! handle the requests that change a job.

mod cancellations;
mod submissions;

use salttiller_protocol::http::Request;
use salttiller_records::model::is_job_id;
use salttiller_records::record::JobStage;
use salttiller_records::units::{Micros, MILLISECOND};

use super::http_status::{METHOD_NOT_ALLOWED, NOT_FOUND, OK, UNPROCESSABLE};
use super::pending_requests::{ClientRequest, PendingRequest, PendingRequests};
use super::{Controller, MAX_STEP_INTERVAL};
use crate::admission::TaskCounts;
use crate::admission::{self, ConcurrencyLimiter};
use crate::peer_protocol::RegionReport;
use crate::reactor::{ConnectionId, Net};

/// Time after which a poll of a job's state is refused; clients time out after 2 s.
const POLL_TIMEOUT: Micros = 1500 * MILLISECOND;
/// Time after which a submission or a cancellation is refused; clients time out after 5 s.
const CHANGE_TIMEOUT: Micros = 3500 * MILLISECOND;

/// Users' requests in progress.
pub(super) struct ClientRequests {
    limiter: ConcurrencyLimiter,
    pending: PendingRequests,
    /// Number of submissions and cancellations that are being committed.
    committing: usize,
}

impl ClientRequests {
    /// Creates the state without any requests. At most `max_submissions` may be in progress at
    /// once.
    pub(super) fn new(max_submissions: usize) -> Self {
        ClientRequests {
            limiter: ConcurrencyLimiter::new(max_submissions),
            pending: PendingRequests::default(),
            committing: 0,
        }
    }

    /// Passes the latency of a request to the state service to the concurrency limiter.
    pub(super) fn record_latency(&mut self, latency: Micros, now: Micros) {
        self.limiter.record_latency(latency, now);
    }
}

impl<N: Net> Controller<N> {
    /// Handles a request of a user or a worker.
    pub(super) fn on_request(&mut self, conn: ConnectionId, request: &Request) {
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["ready"]) => self.on_readiness_request(conn),
            ("POST", ["v1", "report"]) => self.on_heartbeat(conn, &request.body),
            ("POST", ["work"]) => self.on_submission(conn, &request.body),
            ("GET", ["work", job]) => {
                self.monitoring.record_poll();
                let job = (*job).to_owned();
                let submitted = false;
                self.on_job_request(conn, ClientRequest::JobState { job, submitted });
            }
            ("POST", ["work", job, "abort"]) => {
                let job = (*job).to_owned();
                self.on_job_request(conn, ClientRequest::Cancel { job });
            }
            (_, ["ready" | "work"] | ["v1", "report"] | ["work", _] | ["work", _, "abort"]) => {
                self.respond(conn, METHOD_NOT_ALLOWED, Vec::new());
            }
            _ => self.respond(conn, NOT_FOUND, Vec::new()),
        }
    }

    fn on_readiness_request(&mut self, conn: ConnectionId) {
        if self.cluster.is_ready() {
            self.respond(conn, OK, Vec::new());
        } else {
            self.refuse_unavailable(conn);
        }
    }

    /// Returns whether the replica is loaded and the state service responds, so that requests can
    /// be answered; refuses the request if not. The concurrency limit doesn't apply to polls and
    /// cancellations: any number of them share one read of the state service, and a user whose
    /// polls were refused repeatedly would abandon the job.
    fn is_answerable(&mut self, conn: ConnectionId) -> bool {
        let state_store = &self.cluster.state_store;
        let is_answerable = state_store.is_loaded() && !state_store.is_failing();
        if !is_answerable {
            self.refuse_unavailable(conn);
        }
        is_answerable
    }

    /// Queues a request to be answered after a read of the state service that begins now or later.
    fn answer_after_read(&mut self, conn: ConnectionId, request: ClientRequest, deadline: Micros) {
        self.client_requests.pending.push(PendingRequest {
            conn,
            request,
            received_at: self.cluster.now,
            deadline,
        });
        self.cluster.state_store.request_barrier();
    }

    /// Handles a request about an existing job: answers from the replica if the job has ended,
    /// otherwise after a read.
    fn on_job_request(&mut self, conn: ConnectionId, request: ClientRequest) {
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
        let deadline = self.cluster.now + request_timeout(&request);
        self.answer_after_read(conn, request, deadline);
    }

    /// Returns the final stage of a job if the replica shows that the job has ended.
    pub(super) fn recorded_final_stage(&self, job: &str) -> Option<JobStage> {
        let stage = self.cluster.state_store.replica.stage(job);
        stage.filter(|stage| *stage != JobStage::Open)
    }

    /// Returns the response body for a job in this stage.
    fn job_state_body(&self, job: &str, stage: JobStage) -> Vec<u8> {
        if stage != JobStage::Open {
            return admission::encode_job_state(job, stage, None);
        }
        let reports = self.cluster.region_reports.iter();
        let running = reports.map(|(name, report)| match self.ownership.get(name) {
            Some(region) => region.running_tasks(job),
            None => reported_running_tasks(report, job),
        });
        let running = running.sum();
        let done = self.cluster.state_store.replica.done_count(job);
        admission::encode_job_state(job, stage, Some(TaskCounts { done, running }))
    }

    /// Refuses the requests that have expired. Returns the earliest time at which another may
    /// expire.
    pub(super) fn expire_pending_requests(&mut self) -> Micros {
        let now = self.cluster.now;
        for conn in self.client_requests.pending.take_expired(now) {
            self.refuse_unavailable(conn);
        }
        let next = self.client_requests.pending.next_expiry();
        next.unwrap_or(now + MAX_STEP_INTERVAL)
    }

    /// Handles the failure of a read that was sent at `sent`: refuses the requests that waited for
    /// the read.
    pub(super) fn refuse_pending_requests(&mut self, sent: Micros) {
        for pending in self.client_requests.pending.take_until(sent) {
            self.refuse_unavailable(pending.conn);
        }
        self.expire_pending_requests();
    }

    /// Handles the completion of a read that was sent at `sent`: answers the requests that were
    /// received before, with a state at least as recent as in all earlier responses.
    pub(super) fn answer_pending_requests(&mut self, sent: Micros) {
        let ready = self.client_requests.pending.take_until(sent);
        if self.client_requests.pending.len() > 0 {
            self.cluster.state_store.request_barrier();
        }
        for pending in ready {
            if self.is_hold_active() {
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
                // The replica shows all jobs that were accepted before the read was sent. A
                // dependency that is missing from the replica was never accepted.
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
}

/// Returns the time after which a request about a job is refused.
fn request_timeout(request: &ClientRequest) -> Micros {
    match request {
        ClientRequest::JobState {
            submitted: false, ..
        } => POLL_TIMEOUT,
        _ => CHANGE_TIMEOUT,
    }
}

/// Returns the number of running tasks of a job according to another owner's report. Reports list
/// jobs sorted by name.
fn reported_running_tasks(report: &RegionReport, job: &str) -> u32 {
    let tasks = &report.running_tasks;
    let found = tasks.binary_search_by(|tasks| tasks.job.as_str().cmp(job));
    let found = found.ok().and_then(|index| tasks.get(index));
    found.map_or(0, |tasks| tasks.running)
}
