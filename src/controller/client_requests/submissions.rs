//! Submissions: admission, committing the job's record and responding after the commit.

use std::rc::Rc;

use salttiller_records::key::Key;
use salttiller_records::model::JobSpec;
use salttiller_records::record::{value, JobRecord, JobStage};
use salttiller_records::units::Micros;

use super::CHANGE_TIMEOUT;
use crate::admission::{self, AdmissionError};
use crate::controller::commits::PendingCommit;
use crate::controller::http_status::{BAD_REQUEST, CREATED, RETRY_AFTER_S, TOO_MANY_REQUESTS};
use crate::controller::pending_requests::ClientRequest;
use crate::controller::Controller;
use crate::reactor::{ConnectionId, Net};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

impl<N: Net> Controller<N> {
    /// Handles a submission: validates, admits and commits the job.
    pub(super) fn on_submission(&mut self, conn: ConnectionId, body: &[u8]) {
        let (job, spec) = match admission::parse_submission(body, self.net.wall_clock_now()) {
            Ok(submission) => submission,
            Err(error) => {
                log::debug!("submission rejected: {error}");
                return self.respond(conn, BAD_REQUEST, Vec::new());
            }
        };
        if self.answer_from_records_only(conn, &job) {
            return;
        }
        // A repeated submission doesn't change the recorded job.
        if self.cluster.state_store.replica.jobs.contains_key(&job) {
            let submitted = true;
            return self.on_job_request(conn, ClientRequest::JobState { job, submitted });
        }
        if !self.is_admitted(conn) {
            return;
        }
        let replica = &self.cluster.state_store.replica;
        if let Err(refusal) = admission::check_satisfiable(&spec, replica, &self.cluster.settings) {
            return self.refuse_submission(conn, job, &refusal);
        }
        let now = self.cluster.now;
        let jobs = &self.cluster.state_store.replica.jobs;
        if spec.dependencies.iter().all(|id| jobs.contains_key(id)) {
            return self.commit_submission(conn, job, spec, now);
        }
        // A missing dependency is certain only after a read, because the replica may lag. A
        // dependency that the replica shows needs no read: job records are never deleted.
        let spec = Box::new(spec);
        let request = ClientRequest::Submit { job, spec };
        self.answer_after_read(conn, request, now + CHANGE_TIMEOUT);
    }

    fn refuse_submission(&mut self, conn: ConnectionId, job: String, refusal: &AdmissionError) {
        match refusal {
            AdmissionError::Undecided(reason) => {
                log::info!("job={job}: submission cannot be decided yet, the client should retry: {reason}");
                self.refuse_unavailable(conn);
            }
            AdmissionError::TooManyDependencies { .. } => {
                log::info!("job={job}: submission refused: {refusal}");
                self.respond(conn, BAD_REQUEST, refusal.to_string().into_bytes());
            }
            AdmissionError::Unsatisfiable(_) => {
                // Another controller may just have accepted the job, so the response depends on
                // whether the job's record exists.
                log::info!("job={job}: submission refused unless the job is on record: {refusal}");
                let submitted = true;
                let request = ClientRequest::JobState { job, submitted };
                self.answer_after_read(conn, request, self.cluster.now + CHANGE_TIMEOUT);
            }
        }
    }

    /// Commits the record of a new job. The response is sent after the commit.
    pub(super) fn commit_submission(
        &mut self,
        conn: ConnectionId,
        job: String,
        spec: JobSpec,
        received_at: Micros,
    ) {
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

    /// Handles the end of a new job's commit.
    pub(in crate::controller) fn on_submission_committed(
        &mut self,
        conn: ConnectionId,
        job: String,
        received_at: Micros,
        outcome: &CommitOutcome,
    ) {
        self.client_requests.committing -= 1;
        match outcome {
            CommitOutcome::Committed(_) => {
                log::debug!("job={job}: accepted");
                // A new job is already cancelled if one of its dependencies is cancelled.
                let stage = self.cluster.state_store.replica.stage(&job);
                let stage = stage.unwrap_or(JobStage::Open);
                let body = admission::encode_job_state(&job, stage, None);
                self.respond(conn, CREATED, body);
            }
            CommitOutcome::Conflict(_) => {
                // The job was recorded before, or an earlier attempt of this commit succeeded
                // without a response.
                let submitted = false;
                let request = ClientRequest::JobState { job, submitted };
                self.answer_after_read(conn, request, received_at + CHANGE_TIMEOUT);
            }
            CommitOutcome::Refused | CommitOutcome::Unknown => self.refuse_unavailable(conn),
        }
    }

    /// Returns whether a submission is admitted; refuses the submission if not.
    fn is_admitted(&mut self, conn: ConnectionId) -> bool {
        if !self.is_answerable(conn) {
            return false;
        }
        let in_progress = self.client_requests.committing;
        let is_admitted = self.client_requests.limiter.admits(in_progress);
        if !is_admitted {
            log::info!(
                "submission refused, concurrency limit reached: {in_progress} requests in progress"
            );
            self.refuse(conn, TOO_MANY_REQUESTS, RETRY_AFTER_S);
        }
        is_admitted
    }
}
