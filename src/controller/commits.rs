//! The controller's own commits. Each commit is registered with its purpose, and its outcome is
//! passed to the part that sent it. Regions track their own commits.

use std::collections::BTreeMap;

use salttiller_records::key::Key;
use salttiller_records::units::Micros;

use super::Controller;
use crate::reactor::{ConnectionId, Net};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

/// Purpose of one of the controller's own commits.
#[derive(Debug)]
pub(super) enum PendingCommit {
    /// The record of a new job.
    JobSubmission {
        conn: ConnectionId,
        job: String,
        received_at: Micros,
    },
    /// The cancellation of a job.
    JobCancellation {
        conn: ConnectionId,
        job: String,
        deadline: Micros,
    },
    /// The record of a region's owner.
    RegionAcquisition { region: String },
    /// The deletion of the record of a region's owner.
    RegionRelease { region: String },
    /// The leader's record.
    LeaderRecord,
    /// A decision of the leader. `keys` are the keys of the records that the decision changes.
    LeaderDecision { keys: Vec<Key> },
    /// The record of a data-loss hold.
    DataLossHoldRecord,
    /// The record of a region's owner, during a hold.
    RegionAcquisitionInHold { region: String, token: u64 },
}

/// Commits in progress by ticket.
pub(super) type PendingCommits = BTreeMap<u64, PendingCommit>;

impl<N: Net> Controller<N> {
    /// Sends one of the controller's own transactions, which is abandoned after `deadline`.
    pub(super) fn commit(
        &mut self,
        transaction: Transaction,
        priority: CommitPriority,
        deadline: Option<Micros>,
        pending: PendingCommit,
    ) {
        let state_store = &mut self.cluster.state_store;
        let ticket = state_store.commit(transaction, priority, deadline);
        self.pending_commits.insert(ticket, pending);
    }

    /// Handles the end of a commit, either a region's or the controller's own.
    pub(super) fn on_committed(&mut self, ticket: u64, outcome: &CommitOutcome) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let is_region_commit = self
            .ownership
            .regions_mut()
            .any(|region| region.on_committed(ticket, outcome, &context));
        if is_region_commit {
            return;
        }
        if let Some(pending) = self.pending_commits.remove(&ticket) {
            self.on_own_commit_ended(pending, outcome);
        }
    }

    /// Handles the end of one of the controller's own commits.
    fn on_own_commit_ended(&mut self, pending: PendingCommit, outcome: &CommitOutcome) {
        match pending {
            PendingCommit::JobSubmission {
                conn,
                job,
                received_at,
            } => self.on_submission_committed(conn, job, received_at, outcome),
            PendingCommit::JobCancellation {
                conn,
                job,
                deadline,
            } => self.on_cancellation_committed(conn, job, deadline, outcome),
            PendingCommit::RegionAcquisition { region } => {
                self.ownership.on_acquisition_committed(region, outcome);
            }
            PendingCommit::RegionRelease { region } => {
                self.ownership.on_release_committed(region, outcome);
            }
            PendingCommit::LeaderRecord => self.leadership.on_acquisition_committed(outcome),
            PendingCommit::LeaderDecision { keys } => {
                let now = self.cluster.now;
                self.leadership.on_decision_committed(&keys, outcome, now);
            }
            PendingCommit::DataLossHoldRecord => self.on_hold_record_committed(outcome),
            PendingCommit::RegionAcquisitionInHold { region, token } => {
                self.on_acquired_in_hold(region, token, outcome);
            }
        }
    }
}
