//! Commits of the region: submission to the controller and handling of their outcomes.
//!
//! [`CommitTracker`] owns the actions that the controller has not taken yet, the commits in
//! flight, and the conflicted commits whose cause the replica does not show yet.

use std::collections::BTreeMap;

use salttiller_records::key::Key;
use salttiller_records::model::{JobId, RangeSet};

use super::action::{Action, CommitKind};
use super::{Region, SchedulingContext};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

/// Commits in flight, conflicted commits, and actions that the controller has not taken yet.
#[derive(Debug, Default)]
pub(super) struct CommitTracker {
    /// Commits in flight, by commit number.
    in_flight: BTreeMap<u64, CommitKind>,
    conflicts: Vec<ConflictedCommit>,
    actions: Vec<Action>,
}

/// A commit that failed because one of its conditions did not hold. The commit is concluded
/// only once the replica has reached the revision of the conflicting change.
#[derive(Debug)]
struct ConflictedCommit {
    /// Revision that the replica must reach before the commit is concluded.
    revision: u64,
    kind: CommitKind,
}

impl CommitTracker {
    /// Queues a transaction for commit.
    pub(super) fn submit(
        &mut self,
        transaction: Transaction,
        priority: CommitPriority,
        kind: CommitKind,
    ) {
        self.actions
            .push(Action::Commit(transaction, priority, kind));
    }

    /// Queues the release of machines to the cloud provider.
    pub(super) fn release(&mut self, machines: Vec<String>) {
        self.actions.push(Action::Release(machines));
    }

    /// Removes and returns the actions queued since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Removes and returns the conflicted commits whose conflicting change is visible in a
    /// replica at this revision.
    fn take_resolvable(&mut self, revision: u64) -> Vec<CommitKind> {
        let (resolvable, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.conflicts)
            .into_iter()
            .partition(|commit| commit.revision <= revision);
        self.conflicts = rest;
        resolvable.into_iter().map(|commit| commit.kind).collect()
    }
}

impl Region {
    /// Removes and returns the actions that the region has requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.commits.take_actions()
    }

    /// Registers a commit that the controller has sent under this commit number.
    pub fn commit_sent(&mut self, number: u64, kind: CommitKind) {
        self.commits.in_flight.insert(number, kind);
    }

    /// Handles the outcome of a commit. Returns whether the commit belongs to this region.
    pub fn on_committed(
        &mut self,
        number: u64,
        outcome: &CommitOutcome,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let Some(kind) = self.commits.in_flight.remove(&number) else {
            return false;
        };
        match *outcome {
            CommitOutcome::Committed(_) => self.conclude_commit(kind, true, context),
            CommitOutcome::Conflict(revision) => self
                .commits
                .conflicts
                .push(ConflictedCommit { revision, kind }),
            CommitOutcome::Refused => self.conclude_commit(kind, false, context),
            // The state service may still apply the commit, so everything that it would change
            // stays marked as in flight.
            CommitOutcome::Unknown => {
                log::error!("region={}: {kind:?}: commit outcome unknown", self.name);
            }
        }
        true
    }

    /// Concludes the conflicted commits whose conflicting change the replica shows by now.
    pub(super) fn resolve_conflicts(&mut self, context: &SchedulingContext<'_>) {
        for kind in self.commits.take_resolvable(context.replica.revision) {
            log::debug!("region={}: {kind:?}: conflict resolved", self.name);
            self.conclude_commit(kind, false, context);
        }
    }

    /// Applies the result of a commit to the region's state.
    pub(super) fn conclude_commit(
        &mut self,
        kind: CommitKind,
        committed: bool,
        context: &SchedulingContext<'_>,
    ) {
        match kind {
            CommitKind::Progress(id, tasks) => {
                self.on_progress_committed(&id, &tasks, committed, context);
            }
            CommitKind::JobDone(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.commit_in_flight = false;
                }
                if !committed {
                    self.on_progress(&id, context);
                }
            }
            CommitKind::QuotaShare(team) => {
                self.quotas.commit_ended(&team);
                self.triggers.team_changed(&team);
            }
            CommitKind::Rebind(id) => self.on_hand_over_committed(&id, committed, context),
            CommitKind::ActivateMachines(names) => {
                self.machine_records
                    .activation_commit_ended(&names, committed);
            }
            CommitKind::RemoveMachines(names) => {
                self.machine_records.removal_commit_ended(&names, committed);
            }
        }
    }

    fn on_progress_committed(
        &mut self,
        id: &JobId,
        tasks: &RangeSet,
        committed: bool,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.commit_in_flight = false;
        if committed {
            job.tasks.mark_results_recorded(tasks);
            if job.tasks.unrecorded_done().is_empty() {
                self.unrecorded_jobs.remove(id);
            }
        }
        self.record_progress(id, context);
    }

    fn on_hand_over_committed(
        &mut self,
        id: &JobId,
        committed: bool,
        context: &SchedulingContext<'_>,
    ) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_in_flight = false;
            job.tasks.end_hand_over(committed);
        }
        self.triggers.job_changed(id);
        self.update_queue_position(id, context);
        self.clean_up_if_inactive(id);
    }

    /// Returns the condition of every commit: the region's record still has the revision at
    /// which this controller became the owner.
    pub(super) fn ownership_condition(&self) -> Vec<(Key, u64)> {
        vec![(Key::Region(self.name.clone()), self.version)]
    }

    /// Submits changes that are committed only if the records still have the versions in
    /// `conditions`.
    pub(super) fn commit(
        &mut self,
        conditions: Vec<(Key, u64)>,
        changes: Vec<(Key, Option<serde_json::Value>)>,
        priority: CommitPriority,
        kind: CommitKind,
    ) {
        let transaction = Transaction {
            conditions,
            changes,
            lease: None,
        };
        self.commits.submit(transaction, priority, kind);
    }
}
