//! Gang coordination state: the restart of a gang as a whole and, for a gang over several
//! regions, the attempt shared by its parts and the start barrier.
//!
//! Each [`Job`](super::job::Job) owns a [`GangState`], which `gangs` and `job_lifecycle` update.
//! The state of a job that is not a gang stays empty.

use salttiller_records::record::{JobRecord, MultiRegionAttempt, TaskRange};
use salttiller_records::units::Micros;

/// Coordination state of the part of a gang in this region.
#[derive(Debug, Default)]
pub(super) struct GangState {
    /// The attempt shared by all parts; `None` unless the gang is bound to several regions.
    attempt: Option<MultiRegionAttempt>,
    /// Whether a part of the gang is bound to no region and waits for the leader to bind it.
    has_unbound_part: bool,
    /// The multi-region attempt that was started last; 0 if none.
    last_started_attempt: u64,
    /// Time at which the local part reached the start barrier; `None` unless all tasks of the part
    /// are assigned and wait for the other parts.
    barrier_since: Option<Micros>,
    /// Whether the gang is restarting because it lost a task or left the start barrier. The gang is
    /// placed again once no task of it is on a machine.
    is_restarting: bool,
}

/// Effect of a changed job record on the gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptChange {
    /// The record changes nothing for the gang.
    None,
    /// The attempt or the unbound parts changed.
    Changed,
    /// The attempt or the unbound parts changed while the local part was at the start barrier,
    /// which it left.
    LeftBarrier,
}

impl GangState {
    /// Whether the gang is bound to several regions.
    pub(super) fn is_multi_region(&self) -> bool {
        self.attempt.is_some()
    }

    /// Returns the number of the multi-region attempt.
    pub(super) fn attempt(&self) -> Option<u64> {
        self.attempt.as_ref().map(|attempt| attempt.attempt)
    }

    /// Returns the zone that all parts of a multi-region gang must be in, if there is one.
    pub(super) fn zone(&self) -> Option<&str> {
        self.attempt.as_ref()?.zone.as_deref()
    }

    /// Whether the current multi-region attempt was already started.
    pub(super) fn is_attempt_already_started(&self) -> bool {
        self.attempt() == Some(self.last_started_attempt)
    }

    /// Whether the local part may be placed: the gang is not restarting, and all of its parts
    /// are bound.
    pub(super) fn may_be_placed(&self) -> bool {
        !self.is_restarting && !self.has_unbound_part
    }

    /// Updates the attempt and whether a part is unbound from the job's record. If either has
    /// changed, the local part leaves the start barrier.
    pub(super) fn update_from_record(&mut self, record: &JobRecord) -> AttemptChange {
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

    /// Marks the local part as being at the start barrier, after all its tasks were assigned.
    pub(super) fn reach_barrier(&mut self, now: Micros) {
        self.barrier_since = Some(now);
    }

    /// Returns the attempt at whose start barrier the local part is, if any.
    pub(super) fn attempt_at_barrier(&self) -> Option<u64> {
        self.barrier_since.and(self.attempt())
    }

    /// Leaves the start barrier if the local part has been at it for `timeout`. Returns whether the
    /// local part left the barrier.
    pub(super) fn leave_expired_barrier(&mut self, now: Micros, timeout: Micros) -> bool {
        let is_expired = self
            .barrier_since
            .is_some_and(|since| now >= since + timeout);
        if is_expired {
            self.barrier_since = None;
        }
        is_expired
    }

    /// Leaves the start barrier and marks the attempt as started, after all parts reached the
    /// barrier.
    pub(super) fn start_attempt(&mut self, attempt: u64) {
        self.barrier_since = None;
        self.last_started_attempt = attempt;
    }

    /// Marks the gang as restarting.
    pub(super) fn begin_restart(&mut self) {
        self.is_restarting = true;
    }

    /// Ends a restart and leaves the start barrier, once no task of the gang is on a machine.
    pub(super) fn on_all_tasks_left(&mut self) {
        self.is_restarting = false;
        self.barrier_since = None;
    }
}

#[cfg(test)]
mod tests;
