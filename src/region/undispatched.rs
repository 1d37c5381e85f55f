//! Assigned tasks whose start is not yet dispatched, ordered by the time of their assignment.
//!
//! Task transitions insert and remove the tasks. Reassignment reads them when a machine sends a
//! heartbeat, since that machine may start a task earlier than the machine that the task is
//! assigned to.

use std::collections::BTreeSet;

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;

/// Assigned task, ordered by the time of its assignment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UndispatchedTask {
    /// Time of the assignment.
    pub(super) assigned_at: Micros,
    /// Job of the task.
    pub(super) job: JobId,
    /// Number of the task in its job.
    pub(super) task: u32,
}

/// Assigned tasks whose start is not yet dispatched, oldest first.
#[derive(Debug, Default)]
pub(super) struct UndispatchedTasks(BTreeSet<UndispatchedTask>);

impl UndispatchedTasks {
    /// Adds an assigned task.
    pub(super) fn insert(&mut self, assigned_at: Micros, job: JobId, task: u32) {
        self.0.insert(UndispatchedTask {
            assigned_at,
            job,
            task,
        });
    }

    /// Removes a task whose start was dispatched or whose assignment was withdrawn.
    pub(super) fn remove(&mut self, assigned_at: Micros, job: JobId, task: u32) {
        self.0.remove(&UndispatchedTask {
            assigned_at,
            job,
            task,
        });
    }

    /// Whether there are no undispatched tasks.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the `count` tasks that were assigned first.
    pub(super) fn oldest(&self, count: usize) -> impl Iterator<Item = &UndispatchedTask> {
        self.0.iter().take(count)
    }
}
