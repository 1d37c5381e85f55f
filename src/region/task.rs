//! A task of a job that is bound to the region: its state, and its assignment to a machine.

use std::rc::Rc;

use salttiller_records::units::Micros;
use salttiller_records::{QuotaAmount, Resources};

use crate::worker_protocol::ReportedState;

/// The state of a task; `task_transition` lists what leads from one to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// On no machine, free to be started.
    Pending,
    /// A former owner may have started it: on a machine that is not yet reconciled.
    Unreconciled,
    /// On no machine; a commit that hands it over to another region is in flight.
    Rebinding,
    /// Assigned to a machine, the start not yet dispatched.
    Assigned,
    /// The start is in the answer to a heartbeat; the next heartbeat shows whether it was
    /// carried out.
    Dispatched,
    /// Reported by its machine.
    Reported(ReportedState),
    /// Done.
    Done,
}

/// The machine and the attempt with which a task enters a state on a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct AssignmentTarget<'a> {
    pub(super) machine: &'a str,
    pub(super) attempt: u64,
}

/// A task on a machine, or assigned to it.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) quota: QuotaAmount,
    /// In bytes.
    pub(super) memory: u64,
    pub(super) team: Rc<str>,
    /// Fits on no other machine type.
    pub(super) constrained: bool,
    /// Started under our own token.
    pub(super) started_by_us: bool,
    /// Of a gang over several regions: not to be started before all parts have their places.
    pub(super) awaits_start_barrier: bool,
    /// Its machine was not known to have the image.
    pub(super) image_missing: bool,
    /// It is to be stopped, with this grace period.
    pub(super) stop_grace: Option<Micros>,
    /// When it was assigned, dispatched, or found on its machine.
    pub(super) since: Micros,
    /// When it was first reported as running.
    pub(super) running_since: Option<Micros>,
}

impl Assignment {
    /// What it takes of its machine.
    pub(super) fn resources(&self) -> Resources {
        Resources {
            cpus: self.quota.cpus,
            gpus: self.quota.gpus,
            memory: self.memory,
        }
    }
}
