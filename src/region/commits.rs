//! Commits of the region: how they are handed to the controller, and what follows from each
//! commit's outcome.
//!
//! [`CommitTracker`] owns the actions that the controller has yet to take, the commits in
//! flight and those whose conflict the replica does not explain yet.

use std::collections::BTreeMap;

use salttiller_records::key::Key;
use salttiller_records::model::{JobId, RangeSet};

use super::action::{Action, CommitKind};
use super::{Region, SchedulingContext};
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};

/// Commits in flight, and the actions that the controller has yet to take.
#[derive(Debug, Default)]
pub(super) struct CommitTracker {
    /// By commit number.
    in_flight: BTreeMap<u64, CommitKind>,
    conflicts: Vec<ConflictedCommit>,
    actions: Vec<Action>,
}

/// A commit that failed on a condition. Nothing is concluded from it before the replica shows
/// why.
#[derive(Debug)]
struct ConflictedCommit {
    /// The revision that the replica must reach.
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

    /// Queues the return of machines to the cloud.
    pub(super) fn release(&mut self, machines: Vec<String>) {
        self.actions.push(Action::Release(machines));
    }

    /// Removes and returns the actions since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Removes and returns the conflicted commits that a replica at this revision explains.
    fn take_explained(&mut self, revision: u64) -> Vec<CommitKind> {
        let (explained, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.conflicts)
            .into_iter()
            .partition(|commit| commit.revision <= revision);
        self.conflicts = rest;
        explained.into_iter().map(|commit| commit.kind).collect()
    }
}

impl Region {
    /// What the controller is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.commits.take_actions()
    }

    /// Notes the number under which the controller has sent a commit.
    pub fn commit_sent(&mut self, number: u64, kind: CommitKind) {
        self.commits.in_flight.insert(number, kind);
    }

    /// Concludes a commit by its outcome. Returns whether it was a commit of this region.
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
            // May yet be carried out: what it would change stays set aside.
            CommitOutcome::Unknown => {
                log::error!("region={}: {kind:?}: outcome of commit unknown", self.name);
            }
        }
        true
    }

    /// Concludes the conflicted commits that the replica explains by now.
    pub(super) fn resolve_conflicts(&mut self, context: &SchedulingContext<'_>) {
        for kind in self.commits.take_explained(context.replica.revision) {
            log::debug!("region={}: {kind:?}: conflict resolved", self.name);
            self.conclude_commit(kind, false, context);
        }
    }

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
            job.tasks.results_recorded(tasks);
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
        self.after_tasks_left(id);
    }

    /// The condition of every commit: the region's record as it was when we became its owner.
    pub(super) fn ownership_condition(&self) -> Vec<(Key, u64)> {
        vec![(Key::Region(self.name.clone()), self.version)]
    }

    /// Submits changes that are committed only if the records still have these versions.
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
