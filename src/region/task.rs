//! State of a task that is bound to the region, and its assignment to a machine.

use std::rc::Rc;

use salttiller_records::units::Micros;
use salttiller_records::{QuotaAmount, Resources};

use crate::worker_protocol::ReportedState;

/// State of a task; `task_transition` lists the transitions between states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// The task is on no machine and may be started.
    Pending,
    /// A former owner may have started the task on a machine that is not yet reconciled.
    Unreconciled,
    /// The task is on no machine; a commit that hands it over to another region is in flight.
    Rebinding,
    /// The task is assigned to a machine; its start is not yet dispatched.
    Assigned,
    /// The start command was sent in the answer to a heartbeat; the next heartbeat shows
    /// whether the worker executed it.
    Dispatched,
    /// The machine reports the task, in this state.
    Reported(ReportedState),
    /// The task has a result, or its job has ended.
    Done,
}

/// Machine and attempt of a task that enters a state on a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct AssignmentTarget<'a> {
    pub(super) machine: &'a str,
    pub(super) attempt: u64,
}

/// Assignment of a task to a machine, whether or not the task has been started there.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) quota: QuotaAmount,
    /// Memory of the task in bytes.
    pub(super) memory: u64,
    pub(super) team: Rc<str>,
    /// Whether the task fits on no other machine type.
    pub(super) constrained: bool,
    /// Whether the task was started under the current fencing token.
    pub(super) started_under_own_token: bool,
    /// Whether the task belongs to a gang over several regions and must not start before all
    /// parts of the gang are assigned.
    pub(super) awaits_start_barrier: bool,
    /// Whether the machine was not known to have the image when the task was assigned.
    pub(super) image_missing: bool,
    /// Grace period with which the task is to be stopped; `None` if it is to keep running.
    pub(super) stop_grace: Option<Micros>,
    /// Time at which the task was assigned, left the start barrier, was dispatched, or was adopted
    /// from a former owner, whichever was last.
    pub(super) since: Micros,
    /// Time at which the task was first reported as running.
    pub(super) running_since: Option<Micros>,
}

impl Assignment {
    /// Returns the machine resources that the task uses.
    pub(super) fn resources(&self) -> Resources {
        Resources {
            cpus: self.quota.cpus,
            gpus: self.quota.gpus,
            memory: self.memory,
        }
    }
}
