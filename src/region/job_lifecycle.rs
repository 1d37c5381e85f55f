//! Lifecycle of a job in the region: its record is added, tasks are bound to the region or
//! moved away from it, tasks are lost, and the job ends.
//!
//! The controller calls this module with each change of a job's record. Other modules of the
//! region call it when they remove a task from its machine.

use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind, JobSpec, RangeSet};
use salttiller_records::record::JobRecord;

use super::constrained_types::only_fitting_type;
use super::gang_state::AttemptChange;
use super::job::Job;
use super::job_tasks::BindingOrigin;
use super::task::TaskState;
use super::{Region, SchedulingContext};

impl Region {
    /// Handles the addition, change or removal of a job's record.
    pub fn on_job(&mut self, id: &str, context: &SchedulingContext<'_>) {
        self.apply_job_record(id, BindingOrigin::New, context);
    }

    /// Adds a job whose record existed when the region was acquired.
    pub(super) fn inherit_job(&mut self, id: &str, context: &SchedulingContext<'_>) {
        self.apply_job_record(id, BindingOrigin::Inherited, context);
    }

    fn apply_job_record(
        &mut self,
        id: &str,
        origin: BindingOrigin,
        context: &SchedulingContext<'_>,
    ) {
        let Some(record) = context.replica.jobs.get(id).map(|record| &record.value) else {
            return;
        };
        let known_id = self.jobs.get_key_value(id).map(|(known, _)| known.clone());
        let known_spec = self.jobs.get(id).map(|job| &job.spec);
        if let Some(spec) = record.spec.as_ref().or(known_spec) {
            self.queue.team_changed(&spec.team);
        }
        if context.has_job_ended(id) {
            if let Some(id) = known_id {
                self.end_job(&id, context);
            }
            return;
        }
        let Some(spec) = record.spec.as_ref() else {
            return;
        };
        let bound = record.tasks_of(&self.name);
        // Only jobs whose dependencies are done are bound. Guards against contradicting records,
        // for example of a damaged store: no task of such a job may start.
        if known_id.is_none() && !context.replica.is_ready(spec) {
            if !bound.is_empty() {
                log::error!(
                    "region={} job={id}: bound before its dependencies are done, not started",
                    self.name
                );
            }
            return;
        }
        self.reserve_constrained_type(spec, context);
        if known_id.is_none() && bound.is_empty() {
            return;
        }
        let id = known_id.unwrap_or_else(|| Rc::from(id));
        self.update_spec(&id, spec, context);
        self.update_multi_region_attempt(&id, record, context);
        self.update_bound_tasks(&id, bound, origin, context);
        self.clean_up_if_inactive(&id);
    }

    /// Reserves capacity of a machine type if the job fits on no other type.
    fn reserve_constrained_type(&mut self, spec: &JobSpec, context: &SchedulingContext<'_>) {
        let changed = self
            .inventory
            .record_job(spec, context.replica, context.now);
        if changed {
            self.update_reserved_capacity(context);
        }
    }

    fn update_spec(&mut self, id: &JobId, spec: &Rc<JobSpec>, context: &SchedulingContext<'_>) {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            let only_type = only_fitting_type(spec, context.replica);
            Job::new(spec, only_type, context.now)
        });
        if job.spec != *spec {
            // The specification changes when a job that depends on this one is added or removed.
            job.spec = spec.clone();
            self.update_queue_position(id, context);
        }
    }

    /// Adopts the recorded attempt of a gang over several regions. If the part in this region
    /// is at the start barrier of another attempt, the part leaves that barrier.
    fn update_multi_region_attempt(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match job.gang.update_from_record(record) {
            AttemptChange::None => return,
            AttemptChange::Changed => {}
            AttemptChange::LeftBarrier => self.restart_gang(id, context),
        }
        self.triggers.job_changed(id);
    }

    /// Updates which tasks of a job are bound to the region.
    fn update_bound_tasks(
        &mut self,
        id: &JobId,
        bound: RangeSet,
        origin: BindingOrigin,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(change) = job.tasks.binding_change(&bound) else {
            return;
        };
        let recorded = context.replica.done_tasks(id);
        job.tasks
            .bind(bound, change, &recorded, origin, context.now);
        self.triggers.job_changed(id);
        self.update_queue_position(id, context);
    }

    /// Handles a cancellation that another controller has read from the state service before
    /// the local replica shows it.
    pub fn on_reported_cancelled(&mut self, id: &str, context: &SchedulingContext<'_>) {
        let known_id = self.jobs.get_key_value(id).map(|(known, _)| known.clone());
        if let Some(id) = known_id {
            log::info!(
                "region={} job={id}: reported cancelled by a peer",
                self.name
            );
            self.end_job(&id, context);
        }
    }

    fn end_job(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.end();
        for (task, machine) in job.tasks_on_machines() {
            match self.assignment_mut(id, task, &machine) {
                Some(assignment) if assignment.state != TaskState::Assigned => {
                    assignment.stop_grace = Some(0);
                }
                _ => self.transition(id, task, TaskState::Done, None, context.now),
            }
        }
        self.unrecorded_jobs.remove(id);
        self.update_queue_position(id, context);
        self.clean_up_if_inactive(id);
    }

    /// Returns a task that has left its machine without a result to the pending state. A gang
    /// with other tasks on machines is stopped, since it restarts as a whole.
    pub(super) fn return_to_pending(
        &mut self,
        id: &JobId,
        task: u32,
        reason: &str,
        context: &SchedulingContext<'_>,
    ) {
        log::debug!(
            "region={} job={id} task={task}: pending again, {reason}",
            self.name
        );
        self.transition(id, task, TaskState::Pending, None, context.now);
        self.update_queue_position(id, context);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && !job.has_ended && !job.tasks.on_machines().is_empty() {
            self.restart_gang(id, context);
        }
        self.clean_up_if_inactive(id);
    }

    /// Cleans up after a job of which no task is on a machine; does nothing for other jobs. A
    /// gang that was stopped may start again, and a job that has ended or has no task bound to
    /// this region is removed.
    pub(super) fn clean_up_if_inactive(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.tasks.on_machines().is_empty() {
            return;
        }
        job.gang.on_all_tasks_left();
        if !job.has_ended && !job.tasks.bound().is_empty() {
            return;
        }
        if let Some(key) = job.queue_key.take() {
            self.queue.remove(&key);
        }
        self.unrecorded_jobs.remove(id);
        self.jobs.remove(id);
    }
}
