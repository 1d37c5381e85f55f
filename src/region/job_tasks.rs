//! Tasks of a job that are bound to the region, by state.
//!
//! [`JobTasks`] belongs to a [`Job`](super::job::Job). `task_transition` moves single tasks;
//! `job_lifecycle`, `hand_over`, `commits` and `reconciliation` move whole sets.
//!
//! Invariants: a task is in at most one of the sets pending, unreconciled, rebinding and on
//! machines. A task with a result keeps it, even if the task is still running on a machine.

use std::collections::BTreeMap;
use std::rc::Rc;

use salttiller_records::model::RangeSet;
use salttiller_records::units::Micros;

/// Tasks of a job that are bound to the region.
#[derive(Debug)]
pub(super) struct JobTasks {
    bound: RangeSet,
    pending: RangeSet,
    /// Time since which the job has had pending tasks without interruption.
    pending_since: Micros,
    unreconciled: RangeSet,
    rebinding: RangeSet,
    /// Tasks with a result, from this region or another.
    done: RangeSet,
    /// Tasks with a result that is not yet committed.
    unrecorded_done: RangeSet,
    /// Assigned tasks with their machines.
    on_machines: BTreeMap<u32, Rc<str>>,
}

/// Whether a former owner may have started tasks that are newly added to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BindingOrigin {
    /// The tasks were bound before the current owner acquired the region, so a former owner may
    /// have started them.
    Inherited,
    /// The tasks were bound after the acquisition, so no other owner of this region can have
    /// started them.
    New,
}

/// Difference between the tasks bound to the region before and after a change.
#[derive(Debug)]
pub(super) struct BindingChange {
    added: RangeSet,
    removed: RangeSet,
}

impl JobTasks {
    /// Creates an empty set of tasks.
    pub(super) fn new(now: Micros) -> Self {
        JobTasks {
            bound: RangeSet::default(),
            pending: RangeSet::default(),
            pending_since: now,
            unreconciled: RangeSet::default(),
            rebinding: RangeSet::default(),
            done: RangeSet::default(),
            unrecorded_done: RangeSet::default(),
            on_machines: BTreeMap::new(),
        }
    }

    /// Returns the tasks bound to the region.
    pub(super) fn bound(&self) -> &RangeSet {
        &self.bound
    }

    /// Returns the tasks that are on no machine and may be started.
    pub(super) fn pending(&self) -> &RangeSet {
        &self.pending
    }

    /// Time since which the job has had pending tasks without interruption.
    pub(super) fn pending_since(&self) -> Micros {
        self.pending_since
    }

    /// Returns the tasks that a former owner may have started.
    pub(super) fn unreconciled(&self) -> &RangeSet {
        &self.unreconciled
    }

    /// Returns the tasks with a result.
    pub(super) fn done(&self) -> &RangeSet {
        &self.done
    }

    /// Returns the tasks with a result that is not yet committed.
    pub(super) fn unrecorded_done(&self) -> &RangeSet {
        &self.unrecorded_done
    }

    /// Returns the assigned tasks with their machines.
    pub(super) fn on_machines(&self) -> &BTreeMap<u32, Rc<str>> {
        &self.on_machines
    }

    /// Whether all tasks bound to the region are pending.
    pub(super) fn are_all_pending(&self) -> bool {
        self.pending.len() == self.bound.len()
    }

    /// Returns how `bound` differs from the currently bound tasks; `None` if it does not.
    pub(super) fn binding_change(&self, bound: &RangeSet) -> Option<BindingChange> {
        let mut added = bound.clone();
        added.subtract(&self.bound);
        let mut removed = self.bound.clone();
        removed.subtract(bound);
        let is_change = !added.is_empty() || !removed.is_empty();
        is_change.then_some(BindingChange { added, removed })
    }

    /// Replaces the bound tasks. `recorded`: tasks with a recorded result. Added tasks without
    /// a result become pending or, with [`BindingOrigin::Inherited`], unreconciled.
    pub(super) fn bind(
        &mut self,
        bound: RangeSet,
        change: BindingChange,
        recorded: &RangeSet,
        origin: BindingOrigin,
        now: Micros,
    ) {
        let BindingChange { mut added, removed } = change;
        self.bound = bound;
        self.done.union_with(recorded);
        added.subtract(&self.done);
        match origin {
            BindingOrigin::Inherited => self.unreconciled.union_with(&added),
            BindingOrigin::New => self.add_pending(&added, now),
        }
        self.pending.subtract(&removed);
        self.rebinding.subtract(&removed);
        self.unreconciled.subtract(&removed);
    }

    /// Removes a task from its current state; a result is kept. Returns the machine that the
    /// task was on.
    pub(super) fn leave(&mut self, task: u32) -> Option<Rc<str>> {
        self.pending.remove(task);
        self.unreconciled.remove(task);
        self.rebinding.remove(task);
        self.on_machines.remove(&task)
    }

    /// Makes a task pending if it is bound to the region and has no result. Returns whether it
    /// is pending now.
    pub(super) fn enter_pending(&mut self, task: u32, now: Micros) -> bool {
        let is_open = self.is_open(task);
        if is_open {
            self.add_pending(&RangeSet::from_range(task, task + 1), now);
        }
        is_open
    }

    /// Makes a task unreconciled: a former owner may have started it.
    pub(super) fn enter_unreconciled(&mut self, task: u32) {
        self.unreconciled.insert(task);
    }

    /// Marks a task as being handed over to another region.
    pub(super) fn enter_rebinding(&mut self, task: u32) {
        self.rebinding.insert(task);
    }

    /// Marks a task as assigned to a machine.
    pub(super) fn enter_machine(&mut self, task: u32, machine: Rc<str>) {
        self.on_machines.insert(task, machine);
    }

    /// Adds the result of a task, which is not yet committed.
    pub(super) fn add_result(&mut self, task: u32) {
        self.done.insert(task);
        self.unrecorded_done.insert(task);
    }

    /// Whether a task is bound to the region and has no result.
    pub(super) fn is_open(&self, task: u32) -> bool {
        self.bound.contains(task) && !self.done.contains(task)
    }

    /// Restores the start of the pending time after an assignment was withdrawn immediately:
    /// such an assignment does not interrupt the time for which the job has been pending.
    pub(super) fn restore_pending_since(&mut self, since: Micros) {
        self.pending_since = since;
    }

    /// Marks pending tasks as being handed over to another region.
    pub(super) fn begin_hand_over(&mut self, tasks: RangeSet) {
        self.pending.subtract(&tasks);
        self.rebinding = tasks;
    }

    /// Ends the handover of tasks. If it was not committed, the tasks become pending again.
    pub(super) fn end_hand_over(&mut self, committed: bool) {
        let tasks = std::mem::take(&mut self.rebinding);
        if !committed {
            self.pending.union_with(&tasks);
        }
    }

    /// Marks the results of tasks as committed.
    pub(super) fn mark_results_recorded(&mut self, tasks: &RangeSet) {
        self.unrecorded_done.subtract(tasks);
    }

    /// Makes the unreconciled tasks pending. All machines are reconciled, so a task that none
    /// of them has reported was not started.
    pub(super) fn reconcile(&mut self, now: Micros) {
        let unstarted = std::mem::take(&mut self.unreconciled);
        self.add_pending(&unstarted, now);
    }

    /// Clears all sets of tasks that are yet to be started or recorded.
    pub(super) fn end(&mut self) {
        self.pending = RangeSet::default();
        self.unreconciled = RangeSet::default();
        self.rebinding = RangeSet::default();
        self.unrecorded_done = RangeSet::default();
    }

    fn add_pending(&mut self, tasks: &RangeSet, now: Micros) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.union_with(tasks);
    }
}

#[cfg(test)]
mod tests;
