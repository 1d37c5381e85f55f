//! Assigned tasks whose start is not yet dispatched, by the time of their assignment.
//!
//! Filled and emptied by the transitions of tasks; read when a machine reports, since it may
//! start a task sooner than the machine that the task is assigned to.

use std::collections::BTreeSet;

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;

/// An assigned task, ordered by the time of its assignment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UndispatchedTask {
    /// When it was assigned.
    pub(super) since: Micros,
    /// Its job.
    pub(super) job: JobId,
    /// Its number.
    pub(super) task: u32,
}

/// Assigned tasks whose start is not yet dispatched, oldest first.
#[derive(Debug, Default)]
pub(super) struct UndispatchedTasks(BTreeSet<UndispatchedTask>);

impl UndispatchedTasks {
    /// A task was assigned.
    pub(super) fn insert(&mut self, since: Micros, job: JobId, task: u32) {
        self.0.insert(UndispatchedTask { since, job, task });
    }

    /// The start of a task was dispatched, or the task was taken off its machine.
    pub(super) fn remove(&mut self, since: Micros, job: JobId, task: u32) {
        self.0.remove(&UndispatchedTask { since, job, task });
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The oldest `count` tasks.
    pub(super) fn oldest(&self, count: usize) -> impl Iterator<Item = &UndispatchedTask> {
        self.0.iter().take(count)
    }
}
