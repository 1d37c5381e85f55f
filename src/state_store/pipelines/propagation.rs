//! Effective specs: a job inherits priority and deadline from its dependents, and its times
//! count from the time at which it became ready. Changes propagate from a job to its
//! dependencies, in a bounded number of steps at a time.

use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::record::JobRecord;

use super::{JobRecords, Pipelines, Readiness};

/// Maximum number of jobs to which one change propagates priority and deadline. Later calls of
/// [`Pipelines::continue_propagation`] update the rest.
pub const MAX_STEPS_PER_CHANGE: usize = 512;

impl Pipelines {
    /// Returns the effective spec of a job: the stored spec with the highest priority of its
    /// dependents, the time that their deadlines leave for the job, and times that count from
    /// the time at which the job became ready. `None` if the job already has this spec.
    pub fn effective_spec(
        &self,
        id: &str,
        spec: &Rc<JobSpec>,
        jobs: &impl JobRecords,
    ) -> Option<Rc<JobSpec>> {
        let stored = spec.stored_spec.as_ref().unwrap_or(spec);
        if stored.dependencies.is_empty() && !self.dependents.contains_key(id) {
            // The job has neither dependencies nor dependents, so the stored spec applies.
            return spec.stored_spec.clone();
        }
        let mut effective = JobSpec::clone(stored);
        effective.stored_spec = Some(stored.clone());
        self.count_times_from_readiness(&mut effective, stored, jobs);
        self.inherit_from_dependents(&mut effective, id, jobs);
        (effective != **spec).then(|| Rc::new(effective))
    }

    /// Makes the times of a ready job count from the end of its last dependency.
    fn count_times_from_readiness(
        &self,
        effective: &mut JobSpec,
        stored: &JobSpec,
        jobs: &impl JobRecords,
    ) {
        if self.readiness(stored, jobs) != Readiness::Ready {
            return;
        }
        let dependencies = stored.dependencies.iter();
        let ends = dependencies.filter_map(|dependency| self.record(dependency, jobs)?.ended_at);
        let ready_at = ends.max().unwrap_or(0).max(stored.submitted_at);
        let waited = ready_at - stored.submitted_at;
        // The stored deadline counts from the submission, so the waiting time is subtracted.
        effective.deadline = stored
            .deadline
            .map(|deadline| deadline.saturating_sub(waited));
        effective.submitted_at = ready_at;
    }

    /// Raises the priority of a job and shortens its deadline as its dependents require.
    fn inherit_from_dependents(&self, effective: &mut JobSpec, id: &str, jobs: &impl JobRecords) {
        for dependent in self.dependents(id) {
            let record = self.record(dependent, jobs);
            let Some(dependent) = record.and_then(JobRecord::open_spec) else {
                continue;
            };
            effective.priority = effective.priority.max(dependent.priority);
            if let Some(deadline) = dependent.deadline {
                let latest_end = (dependent.submitted_at + deadline)
                    .saturating_sub(dependent.estimated_run_time);
                let time_left = latest_end.saturating_sub(effective.submitted_at);
                effective.deadline = Some(
                    effective
                        .deadline
                        .map_or(time_left, |own| own.min(time_left)),
                );
            }
        }
    }

    /// Propagates priority and deadline of a job to its direct and indirect dependencies.
    /// Returns the jobs whose effective spec changed. A long chain takes several calls: see
    /// [`Pipelines::continue_propagation`].
    pub fn propagate(&mut self, from: &str, jobs: &mut impl JobRecords) -> Vec<String> {
        let Some(spec) = jobs.open_spec(from) else {
            return Vec::new();
        };
        let dependencies = spec.dependencies.clone();
        let mut changed = Vec::new();
        if self.update(from, jobs) {
            changed.push(from.to_owned());
        }
        self.propagate_to(dependencies, jobs, &mut changed);
        changed
    }

    /// Whether a change that needs more than [`MAX_STEPS_PER_CHANGE`] steps is not fully
    /// propagated yet.
    pub fn has_unpropagated(&self) -> bool {
        !self.unpropagated.is_empty()
    }

    /// Continues the propagation of earlier changes for up to [`MAX_STEPS_PER_CHANGE`] steps.
    /// Returns the jobs whose effective spec changed.
    pub fn continue_propagation(&mut self, jobs: &mut impl JobRecords) -> Vec<String> {
        let unpropagated = std::mem::take(&mut self.unpropagated);
        let mut changed = Vec::new();
        self.propagate_to(unpropagated.into_iter().collect(), jobs, &mut changed);
        changed
    }

    fn propagate_to(
        &mut self,
        mut pending: Vec<String>,
        jobs: &mut impl JobRecords,
        changed: &mut Vec<String>,
    ) {
        let mut steps = 0;
        while let Some(id) = pending.pop() {
            if steps == MAX_STEPS_PER_CHANGE {
                self.unpropagated.insert(id);
                self.unpropagated.extend(pending);
                return;
            }
            steps += 1;
            if self.update(&id, jobs) {
                let spec = jobs.open_spec(&id).into_iter();
                pending.extend(spec.flat_map(|spec| spec.dependencies.iter().cloned()));
                changed.push(id);
            }
        }
    }

    /// Updates a job's effective spec. Returns whether the spec changed.
    pub fn update(&self, id: &str, jobs: &mut impl JobRecords) -> bool {
        let Some(spec) = jobs.open_spec(id).cloned() else {
            return false;
        };
        let Some(effective) = self.effective_spec(id, &spec, jobs) else {
            return false;
        };
        jobs.set_spec(id, effective);
        true
    }
}
