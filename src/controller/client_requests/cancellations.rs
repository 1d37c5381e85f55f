//! Cancellations: committing the job's record as cancelled and responding after the commit.

use salttiller_records::key::Key;
use salttiller_records::record::{value, JobStage};
use salttiller_records::units::Micros;

use crate::admission;
use crate::controller::commits::PendingCommit;
use crate::controller::http_status::{NOT_FOUND, OK};
use crate::controller::pending_requests::ClientRequest;
use crate::controller::Controller;
use crate::reactor::{ConnectionId, Net};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

impl<N: Net> Controller<N> {
    /// Commits the cancellation of a job, unless the job has ended.
    pub(super) fn commit_cancellation(
        &mut self,
        conn: ConnectionId,
        job: String,
        deadline: Micros,
    ) {
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

    /// Handles the end of a cancellation's commit. Retries after a conflict until `deadline`.
    pub(in crate::controller) fn on_cancellation_committed(
        &mut self,
        conn: ConnectionId,
        job: String,
        deadline: Micros,
        outcome: &CommitOutcome,
    ) {
        self.client_requests.committing -= 1;
        match outcome {
            CommitOutcome::Committed(_) => {
                log::debug!("job={job}: cancelled");
                let body = admission::encode_job_state(&job, JobStage::Cancelled, None);
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
