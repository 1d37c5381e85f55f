//! The rule by which pending tasks of a job may leave their region.
//!
//! The leader applies the rule to what it knows from records and reports, to decide what to
//! request. The region's owner applies it to its exact state, to decide what to hand over.

use std::fmt;

use salttiller_records::model::JobSpec;

use crate::fault_injection::{is_disabled, Safeguard};

/// Numbers of tasks that decide whether tasks of a job may leave their region.
///
/// A task with a result is no part of what remains of a job: the region to which it is bound has no
/// meaning any more, and no place needs capacity for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingTasks {
    /// Tasks without a result.
    pub open: u32,
    /// Open tasks of the region that are on no machine and may be started.
    pub pending: u32,
    /// Tasks on machines of the region, whether or not they have a result.
    pub on_machines: u32,
}

impl RemainingTasks {
    /// Whether pending tasks may move to another region.
    ///
    /// Pending tasks of a divisible job may always move. An indivisible job moves as a whole: every
    /// open task must be pending. Guards against a job that must stay in one zone and starts in
    /// another zone while one of its tasks, even one with a result, is still on a machine.
    pub fn may_leave_region(self, spec: &JobSpec) -> bool {
        let are_all_pending = self.pending == self.open || is_disabled(Safeguard::WholeJobMoves);
        let are_off_machines = self.on_machines == 0 || is_disabled(Safeguard::EmptyMachinesLeft);
        self.pending > 0 && (!spec.is_indivisible() || (are_all_pending && are_off_machines))
    }

    /// Minimum number of tasks that must fit in a region for any to move there: all open tasks of an
    /// indivisible job, else one.
    pub fn min_fitting(self, spec: &JobSpec) -> u32 {
        if spec.is_indivisible() {
            self.open
        } else {
            1
        }
    }
}

impl fmt::Display for RemainingTasks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RemainingTasks {
            open,
            pending,
            on_machines,
        } = self;
        write!(
            f,
            "{pending} of {open} open tasks pending, {on_machines} on machines"
        )
    }
}

#[cfg(test)]
mod tests;
