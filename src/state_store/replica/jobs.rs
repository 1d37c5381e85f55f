//! Indexes over the jobs' records: ready jobs by team and region, and the effects of a job's
//! record on its dependents and dependencies.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::record::{JobRecord, JobStage};

use super::{Replica, SubmissionKey, Versioned};
use crate::state_store::pipelines::{JobRecords, PipelineEnd, Readiness};

impl JobRecords for BTreeMap<String, Versioned<JobRecord>> {
    fn record(&self, id: &str) -> Option<&JobRecord> {
        self.get(id).map(|job| &job.value)
    }

    fn set_spec(&mut self, id: &str, spec: Rc<JobSpec>) {
        if let Some(job) = self.get_mut(id) {
            job.value.spec = Some(spec);
        }
    }
}

impl Replica {
    /// Stage of a job: cancelled if the job is cancelled along with a dependency, otherwise the
    /// stage in its record.
    pub fn stage(&self, id: &str) -> Option<JobStage> {
        let recorded_stage = self.jobs.get(id)?.value.stage;
        if self.pipelines.cancelled_upstream().contains(id) {
            return Some(JobStage::Cancelled);
        }
        Some(recorded_stage)
    }

    /// Whether all dependencies of a job are done.
    pub fn is_ready(&self, spec: &JobSpec) -> bool {
        spec.dependencies.is_empty()
            || self.pipelines.readiness(spec, &self.jobs) == Readiness::Ready
    }

    /// Names, records and specs of the ready jobs, ordered by name.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord, &Rc<JobSpec>)> {
        self.ready_jobs.iter().filter_map(|id| {
            let record = &self.jobs.get(id)?.value;
            Some((id, record, record.open_spec()?))
        })
    }

    /// The job that ends the pipeline of which `id` is a step.
    pub fn pipeline_end<'a>(&'a self, id: &'a str) -> Option<PipelineEnd<'a>> {
        self.pipelines.end_of(id, &self.jobs)
    }

    /// Jobs that wait for a dependency without a record.
    pub fn waiting_for_missing_dependency(&self) -> Vec<&String> {
        let lacks_dependency = |id: &&String| {
            self.open_spec(id).is_some_and(|spec| {
                let mut dependencies = spec.dependencies.iter();
                dependencies.any(|dependency| !self.jobs.contains_key(dependency))
            })
        };
        let waiting = self.pipelines.waiting().iter();
        waiting.filter(lacks_dependency).collect()
    }

    /// Jobs whose effective spec changed because of another job's record, since the last call.
    pub fn take_changed_specs(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed_specs)
            .into_iter()
            .collect()
    }

    /// Whether a change of priority or deadline is not fully propagated yet.
    pub fn has_unpropagated(&self) -> bool {
        self.pipelines.has_unpropagated()
    }

    /// Continues the propagation of priority and deadline for a bounded number of steps.
    pub fn continue_propagation(&mut self) {
        let changed = self.pipelines.continue_propagation(&mut self.jobs);
        self.changed_specs.extend(changed);
    }

    /// The effective spec of a job that has not ended.
    pub(super) fn open_spec(&self, id: &str) -> Option<&Rc<JobSpec>> {
        self.jobs.get(id)?.value.open_spec()
    }

    /// Updates other jobs after a change of a job's record: its dependents may become ready or
    /// be cancelled along with it, and the effective specs of its dependencies may change.
    pub(super) fn update_dependents(&mut self, id: &str) {
        let mut ended = vec![id.to_owned()];
        while let Some(id) = ended.pop() {
            if self.stage(&id).is_none_or(|stage| stage == JobStage::Open) {
                continue;
            }
            let dependents: Vec<String> = self.pipelines.dependents(&id).cloned().collect();
            for dependent in dependents {
                if self.update_dependent(&dependent, &id) {
                    ended.push(dependent);
                }
            }
        }
        self.propagate(id);
    }

    /// Updates the indexes for a dependent of the job `ended`. Returns whether the dependent is
    /// now cancelled along with that job.
    fn update_dependent(&mut self, dependent: &str, ended: &str) -> bool {
        // Guards against visiting a job once for each path that leads to it. With a few dozen
        // steps of two jobs each, following every path would never finish.
        if self.pipelines.cancelled_upstream().contains(dependent) {
            return false;
        }
        self.remove_from_indexes(dependent);
        self.add_to_indexes(dependent);
        if self.stage(dependent) != Some(JobStage::Open) {
            log::debug!("job={dependent}: cancelled along with {ended}");
            return true;
        }
        if self.ready_jobs.contains(dependent) {
            log::debug!("job={dependent}: ready, {ended} was the last job that it needs");
            self.propagate(dependent);
        }
        false
    }

    /// Propagates priority and deadline of a job to its dependencies.
    pub(super) fn propagate(&mut self, id: &str) {
        let changed = self.pipelines.propagate(id, &mut self.jobs);
        self.changed_specs.extend(changed);
    }

    /// Adds an open job to the indexes.
    pub(super) fn add_to_indexes(&mut self, id: &str) {
        let Some(spec) = self.open_spec(id) else {
            return;
        };
        let stored = spec.stored_spec.as_ref().unwrap_or(spec).clone();
        let readiness = self.pipelines.insert(id, &stored, &self.jobs);
        // The indexes below use the effective spec, so it is updated first.
        self.pipelines.update(id, &mut self.jobs);
        if readiness == Readiness::Ready {
            self.add_ready_job(id);
        }
    }

    /// Removes an open job from the indexes.
    pub(super) fn remove_from_indexes(&mut self, id: &str) {
        let Some(spec) = self.jobs.get(id).and_then(|job| job.value.open_spec()) else {
            return;
        };
        if self.pipelines.remove(id, spec) == Readiness::Ready {
            self.remove_ready_job(id);
        }
    }

    fn add_ready_job(&mut self, id: &str) {
        let Some(record) = self.jobs.get(id).map(|job| &job.value) else {
            return;
        };
        let Some(spec) = record.open_spec() else {
            return;
        };
        for region in bound_regions(record) {
            *self.jobs_per_region.entry(region.to_owned()).or_default() += 1;
        }
        let quota = spec.quota_per_task().times(u64::from(spec.task_count));
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.insert(submission_key(id, spec), quota);
        self.ready_jobs.insert(id.to_owned());
        if record.task_ranges.is_empty() {
            self.unbound_jobs.insert(id.to_owned());
        }
        if record.multi_region.is_some() {
            self.multi_region_gangs.insert(id.to_owned());
        }
    }

    fn remove_ready_job(&mut self, id: &str) {
        let Some(record) = self.jobs.get(id).map(|job| &job.value) else {
            return;
        };
        let Some(spec) = record.open_spec() else {
            return;
        };
        for region in bound_regions(record) {
            let jobs = self.jobs_per_region.entry(region.to_owned()).or_default();
            *jobs = jobs.saturating_sub(1);
        }
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.remove(&submission_key(id, spec));
        self.ready_jobs.remove(id);
        self.unbound_jobs.remove(id);
        self.multi_region_gangs.remove(id);
    }
}

/// Returns the regions to which tasks of a job are bound.
fn bound_regions(record: &JobRecord) -> BTreeSet<&str> {
    let ranges = record.task_ranges.iter();
    ranges.map(|range| &*range.region).collect()
}

fn submission_key(id: &str, spec: &JobSpec) -> SubmissionKey {
    SubmissionKey {
        submitted_at: spec.submitted_at,
        job: id.to_owned(),
    }
}
