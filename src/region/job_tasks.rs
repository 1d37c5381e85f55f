//! The tasks of a job that are bound to the region, by state.
//!
//! [`JobTasks`] belongs to a [`Job`](super::job::Job). `task_transition` moves single tasks;
//! `job_lifecycle`, `hand_over`, `commits` and `reconciliation` move whole sets.
//!
//! Invariants: a task is in one at most of pending, unreconciled, rebinding and on machines; a
//! result stays, wherever else the task is still running.

use std::collections::BTreeMap;
use std::rc::Rc;

use salttiller_records::model::RangeSet;
use salttiller_records::units::Micros;

/// The tasks of a job that are bound to the region.
#[derive(Debug)]
pub(super) struct JobTasks {
    bound: RangeSet,
    pending: RangeSet,
    /// Since when tasks are pending without a break.
    pending_since: Micros,
    unreconciled: RangeSet,
    rebinding: RangeSet,
    /// With a result, here or elsewhere.
    done: RangeSet,
    /// With a result that is not yet recorded.
    unrecorded_done: RangeSet,
    /// Assigned tasks, with their machines.
    on_machines: BTreeMap<u32, Rc<str>>,
}

/// Who may have started tasks that are bound to the region but not known to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BindingOrigin {
    /// Bound before we acquired the region: a former owner may have started them.
    Inherited,
    /// Bound since: nobody else can have started them under this region's name.
    New,
}

/// How the tasks that are bound to the region differ from those that were.
#[derive(Debug)]
pub(super) struct BindingChange {
    added: RangeSet,
    removed: RangeSet,
}

impl JobTasks {
    /// No tasks.
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

    /// Tasks bound to the region.
    pub(super) fn bound(&self) -> &RangeSet {
        &self.bound
    }

    /// Tasks on no machine, free to be started.
    pub(super) fn pending(&self) -> &RangeSet {
        &self.pending
    }

    /// Since when tasks are pending without a break.
    pub(super) fn pending_since(&self) -> Micros {
        self.pending_since
    }

    /// Tasks that a former owner may have started.
    pub(super) fn unreconciled(&self) -> &RangeSet {
        &self.unreconciled
    }

    /// Tasks with a result.
    pub(super) fn done(&self) -> &RangeSet {
        &self.done
    }

    /// Tasks with a result that is not yet recorded.
    pub(super) fn unrecorded_done(&self) -> &RangeSet {
        &self.unrecorded_done
    }

    /// Assigned tasks, with their machines.
    pub(super) fn on_machines(&self) -> &BTreeMap<u32, Rc<str>> {
        &self.on_machines
    }

    /// Whether all tasks that are bound here are pending.
    pub(super) fn are_all_pending(&self) -> bool {
        self.pending.len() == self.bound.len()
    }

    /// How other bound tasks differ from the present ones; `None` if they don't.
    pub(super) fn binding_change(&self, bound: &RangeSet) -> Option<BindingChange> {
        let mut added = bound.clone();
        added.subtract(&self.bound);
        let mut removed = self.bound.clone();
        removed.subtract(bound);
        let is_change = !added.is_empty() || !removed.is_empty();
        is_change.then_some(BindingChange { added, removed })
    }

    /// Other tasks are bound here than before; `recorded`: those with a recorded result.
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

    /// A task leaves its state, unless it is done. Returns the machine that it was on.
    pub(super) fn leave(&mut self, task: u32) -> Option<Rc<str>> {
        self.pending.remove(task);
        self.unreconciled.remove(task);
        self.rebinding.remove(task);
        self.on_machines.remove(&task)
    }

    /// A task is pending, if it is bound here and has no result. Returns whether it is.
    pub(super) fn enter_pending(&mut self, task: u32, now: Micros) -> bool {
        let is_open = self.is_open(task);
        if is_open {
            self.add_pending(&RangeSet::from_range(task, task + 1), now);
        }
        is_open
    }

    /// A former owner may have started a task.
    pub(super) fn enter_unreconciled(&mut self, task: u32) {
        self.unreconciled.insert(task);
    }

    /// A task is being handed over.
    pub(super) fn enter_rebinding(&mut self, task: u32) {
        self.rebinding.insert(task);
    }

    /// A task is assigned to a machine.
    pub(super) fn enter_machine(&mut self, task: u32, machine: Rc<str>) {
        self.on_machines.insert(task, machine);
    }

    /// A task has a result, which is not yet recorded.
    pub(super) fn add_result(&mut self, task: u32) {
        self.done.insert(task);
        self.unrecorded_done.insert(task);
    }

    /// Whether a task is bound here and has no result.
    pub(super) fn is_open(&self, task: u32) -> bool {
        self.bound.contains(task) && !self.done.contains(task)
    }

    /// An assignment that was withdrawn at once is no break of the time for which tasks are
    /// pending.
    pub(super) fn restore_pending_since(&mut self, since: Micros) {
        self.pending_since = since;
    }

    /// Pending tasks are being handed over to another region.
    pub(super) fn begin_hand_over(&mut self, tasks: RangeSet) {
        self.pending.subtract(&tasks);
        self.rebinding = tasks;
    }

    /// The hand-over is committed, or has failed: then the tasks are pending again.
    pub(super) fn end_hand_over(&mut self, committed: bool) {
        let tasks = std::mem::take(&mut self.rebinding);
        if !committed {
            self.pending.union_with(&tasks);
        }
    }

    /// Results were recorded.
    pub(super) fn results_recorded(&mut self, tasks: &RangeSet) {
        self.unrecorded_done.subtract(tasks);
    }

    /// All machines are reconciled: what none of them has reported was not started.
    pub(super) fn reconcile(&mut self, now: Micros) {
        let unstarted = std::mem::take(&mut self.unreconciled);
        self.add_pending(&unstarted, now);
    }

    /// Nothing is to be started or recorded any more.
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
