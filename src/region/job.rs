//! A job with tasks bound to the region: its specification, its tasks by state, and what
//! delays or drives its placement.
//!
//! The methods of `Region` read and set the flags; the tasks and the coordination of a gang
//! own their state.

use std::rc::Rc;

use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::units::Micros;

use super::failure_attribution::{JobFailures, TRY_AGAIN_AFTER};
use super::gang_state::GangState;
use super::job_tasks::JobTasks;
use super::queue::QueueKey;
use crate::fault_injection::{is_disabled, Safeguard};

/// A job with tasks bound to the region.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Rc<JobSpec>,
    pub(super) tasks: JobTasks,
    pub(super) is_over: bool,
    /// When a task of it was last assigned to a machine, or when it was bound here.
    pub(super) last_assigned: Micros,
    /// The end of its back-off.
    pub(super) not_before: Micros,
    pub(super) failures: JobFailures,
    pub(super) commit_in_flight: bool,
    pub(super) last_progress_commit_at: Micros,
    /// The one machine type on which it fits, if there is just one.
    pub(super) only_type: Option<String>,
    /// Its position in the queue while tasks of it are pending.
    pub(super) queue_key: Option<QueueKey>,
    /// Its team's share was too small when it was last placed.
    pub(super) quota_blocked: bool,
    pub(super) gang: GangState,
}

impl Job {
    /// A job without tasks. `only_type`: the one machine type on which it fits, if there is
    /// just one.
    pub(super) fn new(spec: &Rc<JobSpec>, only_type: Option<String>, now: Micros) -> Self {
        Job {
            spec: spec.clone(),
            tasks: JobTasks::new(now),
            is_over: false,
            last_assigned: now,
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

    /// Whether it fits on several machine types.
    pub(super) fn is_flexible(&self) -> bool {
        self.only_type.is_none()
    }

    /// Whether the places of its tasks depend on each other, so that they are chosen together.
    pub(super) fn has_dependent_places(&self) -> bool {
        self.spec.kind == JobKind::Gang || self.spec.single_zone || self.spec.spread_zones
    }

    /// Whether all of its tasks are bound here, or all of the part that is this region's of a
    /// gang over several regions.
    pub(super) fn is_bound_as_a_whole(&self) -> bool {
        self.tasks.bound().len() == self.spec.task_count || self.gang.is_multi_region()
    }

    /// Nothing of it is to run or to be recorded any more.
    pub(super) fn end(&mut self) {
        self.is_over = true;
        self.tasks.end();
    }

    /// Its assigned tasks, with their machines.
    pub(super) fn tasks_on_machines(&self) -> Vec<(u32, Rc<str>)> {
        self.tasks
            .on_machines()
            .iter()
            .map(|(task, machine)| (*task, machine.clone()))
            .collect()
    }

    /// Whether so many results are all that there will be. A gang's tasks complete
    /// together: one is enough. Guards against a gang over several regions of which
    /// one part's result is known and the other's machine is gone: that part would
    /// be pending for ever for others that are done.
    pub(super) fn is_complete_with(&self, results: u32) -> bool {
        let any = is_disabled(Safeguard::CompleteResults) && results > 0;
        any || results >= self.spec.task_count || (self.spec.kind == JobKind::Gang && results > 0)
    }

    /// How many of its tasks are to be started or moved now: of a suspect array one at a
    /// time, so that it takes neither machines nor shares from others; one more after a
    /// while, since a try may take long.
    pub(super) fn tasks_to_schedule(&self, now: Micros) -> u32 {
        let pending = self.tasks.pending().len();
        if !self.failures.is_suspect() || self.spec.kind == JobKind::Gang {
            pending
        } else if self.tasks.on_machines().is_empty() || now > self.last_assigned + TRY_AGAIN_AFTER
        {
            pending.min(1)
        } else {
            0
        }
    }

    /// Whether all of a gang's tasks here are pending, under an attempt over several regions
    /// that was started before: only another attempt lets it start.
    pub(super) fn needs_new_attempt(&self) -> bool {
        self.gang.is_attempt_already_started()
            && self.tasks.on_machines().is_empty()
            && self.tasks.are_all_pending()
    }
}
