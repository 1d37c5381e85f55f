//! The coordination of a gang: its restart as a whole and, over several regions, the attempt
//! that its parts have in common and the start barrier.
//!
//! [`GangState`] belongs to a [`Job`](super::job::Job); `gangs` and `job_lifecycle` drive it.
//! For jobs other than gangs it stays empty.

use salttiller_records::record::{JobRecord, MultiRegionAttempt, TaskRange};
use salttiller_records::units::Micros;

/// How far a gang's part in this region has come.
#[derive(Debug, Default)]
pub(super) struct GangState {
    /// Of a gang over several regions: the attempt that its parts have in common.
    attempt: Option<MultiRegionAttempt>,
    /// A part of the gang is bound to no region: it is to be bound anew.
    has_unbound_part: bool,
    /// The attempt over several regions that was started last.
    last_started_attempt: u64,
    /// Since when the part here is at the start barrier: all its tasks are assigned, and the
    /// other parts are not known to be.
    barrier_since: Option<Micros>,
    /// It lost a task: it starts again once its last task has left its machine.
    is_restarting: bool,
}

/// What a change of the job's record means for the gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptChange {
    /// Nothing.
    None,
    /// Another attempt, or other unbound parts.
    Changed,
    /// The same, and the part here was at the start barrier of the former attempt.
    LeftBarrier,
}

impl GangState {
    /// Whether the gang is bound to several regions.
    pub(super) fn is_multi_region(&self) -> bool {
        self.attempt.is_some()
    }

    /// The number of the attempt over several regions.
    pub(super) fn attempt(&self) -> Option<u64> {
        self.attempt.as_ref().map(|attempt| attempt.attempt)
    }

    /// The zone that all parts of a gang over several regions must be in.
    pub(super) fn zone(&self) -> Option<&str> {
        self.attempt.as_ref()?.zone.as_deref()
    }

    /// Whether the current attempt over several regions was started before.
    pub(super) fn is_attempt_used_up(&self) -> bool {
        self.attempt() == Some(self.last_started_attempt)
    }

    /// Whether nothing but the lack of machines keeps the part here from being placed.
    pub(super) fn may_be_placed(&self) -> bool {
        !self.is_restarting && !self.has_unbound_part
    }

    /// Follows the job's record. The part here leaves the start barrier of another attempt.
    pub(super) fn follow_record(&mut self, record: &JobRecord) -> AttemptChange {
        let has_unbound_part = record.task_ranges.iter().any(TaskRange::is_unbound);
        if self.attempt == record.multi_region && self.has_unbound_part == has_unbound_part {
            return AttemptChange::None;
        }
        self.attempt.clone_from(&record.multi_region);
        self.has_unbound_part = has_unbound_part;
        match self.barrier_since.take() {
            Some(_) => AttemptChange::LeftBarrier,
            None => AttemptChange::Changed,
        }
    }

    /// All tasks of the part here are assigned.
    pub(super) fn reach_barrier(&mut self, now: Micros) {
        self.barrier_since = Some(now);
    }

    /// The attempt at whose start barrier the part here is.
    pub(super) fn attempt_at_barrier(&self) -> Option<u64> {
        self.barrier_since.and(self.attempt())
    }

    /// Leaves the start barrier if that lasts for longer than `timeout`. Returns whether it did.
    pub(super) fn leave_expired_barrier(&mut self, now: Micros, timeout: Micros) -> bool {
        let is_expired = self
            .barrier_since
            .is_some_and(|since| now >= since + timeout);
        if is_expired {
            self.barrier_since = None;
        }
        is_expired
    }

    /// All parts are at the start barrier of this attempt: it starts.
    pub(super) fn start(&mut self, attempt: u64) {
        self.barrier_since = None;
        self.last_started_attempt = attempt;
    }

    /// The gang lost a task.
    pub(super) fn restart(&mut self) {
        self.is_restarting = true;
    }

    /// No task of the gang is on a machine any more.
    pub(super) fn all_tasks_left(&mut self) {
        self.is_restarting = false;
        self.barrier_since = None;
    }
}

#[cfg(test)]
mod tests;
