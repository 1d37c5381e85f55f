//! A job with tasks bound to the region: its specification, its tasks by state, and the
//! conditions that delay or drive its placement.
//!
//! [`JobTasks`] and [`GangState`] own the state of the tasks and of the gang's coordination. The
//! remaining fields of [`Job`] are read and set by the methods of `Region`.

use std::rc::Rc;

use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::units::Micros;

use super::failure_attribution::{JobFailures, SUSPECT_RETRY_DELAY};
use super::gang_state::GangState;
use super::job_tasks::JobTasks;
use super::queue::QueueKey;
use super::RemainingTasks;
use crate::fault_injection::{is_disabled, Safeguard};

/// A job with tasks bound to the region.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Rc<JobSpec>,
    pub(super) tasks: JobTasks,
    /// Whether the job has ended: no task of it may run and no result needs to be recorded.
    pub(super) has_ended: bool,
    /// Time at which a task of the job was last assigned to a machine, or the job was bound to
    /// the region.
    pub(super) last_assigned_at: Micros,
    /// End of the job's backoff.
    pub(super) not_before: Micros,
    pub(super) failures: JobFailures,
    pub(super) commit_in_flight: bool,
    pub(super) last_progress_commit_at: Micros,
    /// The machine type on which the job fits, if there is exactly one.
    pub(super) only_type: Option<String>,
    /// Position in the queue while tasks of the job are pending.
    pub(super) queue_key: Option<QueueKey>,
    /// Whether the team's quota share was too small at the last attempt to place the job.
    pub(super) quota_blocked: bool,
    pub(super) gang: GangState,
}

impl Job {
    /// Creates a job without tasks. `only_type`: the machine type on which the job fits, if
    /// there is exactly one.
    pub(super) fn new(spec: &Rc<JobSpec>, only_type: Option<String>, now: Micros) -> Self {
        Job {
            spec: spec.clone(),
            tasks: JobTasks::new(now),
            has_ended: false,
            last_assigned_at: now,
            not_before: 0,
            failures: JobFailures::default(),
            commit_in_flight: false,
            last_progress_commit_at: 0,
            only_type,
            queue_key: None,
            quota_blocked: false,
            gang: GangState::default(),
        }
    }

    /// Whether the job fits on more than one machine type.
    pub(super) fn is_flexible(&self) -> bool {
        self.only_type.is_none()
    }

    /// Returns what remains of the job or, for a gang over several regions, of the part in this
    /// region.
    pub(super) fn remaining_tasks(&self) -> RemainingTasks {
        let mut open = self.tasks.bound().clone();
        open.subtract(self.tasks.done());
        RemainingTasks {
            open: open.len(),
            pending: self.tasks.pending().len(),
            on_machines: self.tasks.on_machines().len() as u32,
        }
    }

    /// Whether all tasks of the job are bound to this region or, for a gang over several
    /// regions, all tasks of this region's part.
    pub(super) fn is_fully_bound(&self) -> bool {
        self.tasks.bound().len() == self.spec.task_count || self.gang.is_multi_region()
    }

    /// Ends the job: no task is started and no result is recorded any more.
    pub(super) fn end(&mut self) {
        self.has_ended = true;
        self.tasks.end();
    }

    /// Returns the assigned tasks of the job with their machines.
    pub(super) fn tasks_on_machines(&self) -> Vec<(u32, Rc<str>)> {
        self.tasks
            .on_machines()
            .iter()
            .map(|(task, machine)| (*task, machine.clone()))
            .collect()
    }

    /// Whether the job is complete with this number of results. The tasks of a gang complete
    /// together, so one result is enough. Guards against a gang over several regions of which
    /// one part's result is known and a machine of another part is lost: the tasks of the lost
    /// part would be pending forever, waiting for peers that are done.
    pub(super) fn is_complete_with(&self, results: u32) -> bool {
        let any = is_disabled(Safeguard::CompleteResults) && results > 0;
        any || results >= self.spec.task_count || (self.spec.kind == JobKind::Gang && results > 0)
    }

    /// Number of pending tasks that may be started or moved now. A suspect job array gets one
    /// task at a time, so that it takes neither machines nor quota shares from other jobs. The job
    /// gets another one [`SUSPECT_RETRY_DELAY`] after the last assignment, since a retry may
    /// run for long.
    pub(super) fn tasks_to_schedule(&self, now: Micros) -> u32 {
        let pending = self.tasks.pending().len();
        if !self.failures.is_suspect() || self.spec.kind == JobKind::Gang {
            pending
        } else if self.tasks.on_machines().is_empty()
            || now > self.last_assigned_at + SUSPECT_RETRY_DELAY
        {
            pending.min(1)
        } else {
            0
        }
    }

    /// Whether the gang needs a new attempt over several regions to start: all its tasks in
    /// this region are pending, and the current attempt has been started before.
    pub(super) fn needs_new_attempt(&self) -> bool {
        self.gang.is_attempt_already_started()
            && self.tasks.on_machines().is_empty()
            && self.tasks.are_all_pending()
    }
}
