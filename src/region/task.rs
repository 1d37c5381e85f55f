//! A task of a job bound to the region: where it is, and what it takes there.

use super::*;

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// On no machine, free to be started.
    Pending,
    /// A former owner may have started it: on a machine not yet accounted for.
    Unreconciled,
    /// On no machine; a commit that gives it to another region is under way.
    Rebinding,
    /// Meant for a machine, the start not yet sent.
    Assigned,
    /// The start is in an answer; the next report tells.
    Dispatched,
    /// Reported by its machine.
    Reported(ReportedState),
    /// Done.
    Done,
}

/// A task on (or meant for) a machine.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) quota: QuotaAmount,
    pub(super) memory: u64,
    pub(super) team: Rc<str>,
    /// Fits no other type of machine.
    pub(super) constrained: bool,
    /// Started under our own token.
    pub(super) started_by_us: bool,
    /// Of a gang over several regions: not before all parts have room.
    pub(super) awaits_start_barrier: bool,
    /// Its machine was not known to have the image.
    pub(super) image_missing: bool,
    /// Must go: with this grace.
    pub(super) stop_grace: Option<Micros>,
    /// When it was meant for the machine, sent, or found.
    pub(super) since: Micros,
    /// When it was first reported as running.
    pub(super) running_since: Option<Micros>,
}

impl Assignment {
    pub(super) fn resources(&self) -> Resources {
        Resources {
            cpus: self.quota.cpus,
            gpus: self.quota.gpus,
            memory: self.memory,
        }
    }
}
