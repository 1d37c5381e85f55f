//! Effective specs: what a job inherits from the jobs that need it, and its times from the
//! moment at which it became ready. Changes are propagated against the direction of the
//! dependencies, by a bounded number of steps at a time.

use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::record::JobRecord;

use super::{JobRecords, Pipelines, Readiness};

/// Most jobs to which one change propagates priority and deadline; the rest follows with
/// the next calls of [`Pipelines::continue_propagation`].
pub const MAX_STEPS_PER_CHANGE: usize = 512;

impl Pipelines {
    /// The effective spec of a job: with the highest priority of all that need it, with
    /// the time that their deadlines leave it, and its times from the moment at which it
    /// became ready. `None` if that is the spec that it has.
    pub fn effective_spec(
        &self,
        id: &str,
        spec: &Rc<JobSpec>,
        jobs: &impl JobRecords,
    ) -> Option<Rc<JobSpec>> {
        let stored = spec.stored_spec.as_ref().unwrap_or(spec);
        if stored.dependencies.is_empty() && !self.dependents.contains_key(id) {
            // No job needs it any more: as on record.
            return spec.stored_spec.clone();
        }
        let mut effective = JobSpec::clone(stored);
        effective.stored_spec = Some(stored.clone());
        self.count_from_readiness(&mut effective, stored, jobs);
        self.inherit_from_dependents(&mut effective, id, jobs);
        (effective != **spec).then(|| Rc::new(effective))
    }

    /// Has the times of a ready job count from the end of the last job that it needed.
    fn count_from_readiness(
        &self,
        effective: &mut JobSpec,
        stored: &JobSpec,
        jobs: &impl JobRecords,
    ) {
        if self.readiness(stored, jobs) != Readiness::Ready {
            return;
        }
        let dependencies = stored.dependencies.iter();
        let ends = dependencies.filter_map(|needed| self.record(needed, jobs)?.ended_at);
        let ready_at = ends.max().unwrap_or(0).max(stored.submitted_at);
        let waited = ready_at - stored.submitted_at;
        // The deadline alone counts from the submission.
        effective.deadline = stored
            .deadline
            .map(|deadline| deadline.saturating_sub(waited));
        effective.submitted_at = ready_at;
    }

    /// Raises the priority of a job and brings its deadline forward as the jobs that need
    /// it require.
    fn inherit_from_dependents(&self, effective: &mut JobSpec, id: &str, jobs: &impl JobRecords) {
        for dependent in self.dependents(id) {
            let record = self.record(dependent, jobs);
            let Some(dependent) = record.and_then(JobRecord::open_spec) else {
                continue;
            };
            effective.priority = effective.priority.max(dependent.priority);
            if let Some(deadline) = dependent.deadline {
                let must_end_at = (dependent.submitted_at + deadline)
                    .saturating_sub(dependent.estimated_run_time);
                let left = must_end_at.saturating_sub(effective.submitted_at);
                effective.deadline = Some(effective.deadline.map_or(left, |own| own.min(left)));
            }
        }
    }

    /// Propagates what a job has to those that it needs, and so on. Returns the jobs whose
    /// effective spec changed. A long chain is not followed to its end at once: see
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

    /// Whether a chain longer than [`MAX_STEPS_PER_CHANGE`] is still to be followed.
    pub fn has_unpropagated(&self) -> bool {
        !self.unpropagated.is_empty()
    }

    /// Follows what earlier changes left, for as many steps as one change may take. Returns
    /// the jobs whose effective spec changed.
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

    /// Brings a job's effective spec up to date. Returns whether it changed.
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
