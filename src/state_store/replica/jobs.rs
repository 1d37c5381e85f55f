//! Indexes over the jobs' records: ready jobs by team and region, and what follows for a job
//! from the records of the jobs that it needs or that need it.

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
    /// Stage of a job: as on record, or cancelled along with one that it needs.
    pub fn stage(&self, id: &str) -> Option<JobStage> {
        let on_record = self.jobs.get(id)?.value.stage;
        if self.pipelines.cancelled_upstream().contains(id) {
            return Some(JobStage::Cancelled);
        }
        Some(on_record)
    }

    /// Whether all that a job needs is done.
    pub fn is_ready(&self, spec: &JobSpec) -> bool {
        spec.dependencies.is_empty()
            || self.pipelines.readiness(spec, &self.jobs) == Readiness::Ready
    }

    /// The specs of the ready jobs, by name.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord, &Rc<JobSpec>)> {
        self.ready_jobs.iter().filter_map(|id| {
            let record = &self.jobs.get(id)?.value;
            Some((id, record, record.open_spec()?))
        })
    }

    /// The job that ends a pipeline of which this one is a step.
    pub fn pipeline_end<'a>(&'a self, id: &'a str) -> Option<PipelineEnd<'a>> {
        self.pipelines.end_of(id, &self.jobs)
    }

    /// Jobs that wait for others of which there is no record.
    pub fn waiting_for_unknown(&self) -> Vec<&String> {
        let needs_unknown = |id: &&String| {
            self.open_spec(id).is_some_and(|spec| {
                let mut dependencies = spec.dependencies.iter();
                dependencies.any(|needed| !self.jobs.contains_key(needed))
            })
        };
        let waiting = self.pipelines.waiting().iter();
        waiting.filter(needs_unknown).collect()
    }

    /// Jobs whose effective spec changed because of another's record, since the last call.
    pub fn take_respecified(&mut self) -> Vec<String> {
        std::mem::take(&mut self.respecified).into_iter().collect()
    }

    /// Whether a change of priority or deadline is still to be propagated along a chain.
    pub fn has_unpropagated(&self) -> bool {
        self.pipelines.has_unpropagated()
    }

    /// Propagates such a change by a bounded number of steps.
    pub fn continue_propagation(&mut self) {
        let changed = self.pipelines.continue_propagation(&mut self.jobs);
        self.respecified.extend(changed);
    }

    /// The spec of a job that is not over.
    pub(super) fn open_spec(&self, id: &str) -> Option<&Rc<JobSpec>> {
        self.jobs.get(id)?.value.open_spec()
    }

    /// A job's record changed: those that need it may be ready, or cancelled along, and
    /// the effective specs of those that it needs may change.
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

    /// Brings the indexes up to date for a job that needs `ended`. Returns whether it is
    /// now cancelled along with it.
    fn update_dependent(&mut self, dependent: &str, ended: &str) -> bool {
        // Guards against a job that is reached by many paths being followed on as
        // often: with a few dozen steps two wide that would never end.
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

    /// Propagates what a job passes on to those that it needs.
    pub(super) fn propagate(&mut self, id: &str) {
        let changed = self.pipelines.propagate(id, &mut self.jobs);
        self.respecified.extend(changed);
    }

    /// Adds an open job to the indexes.
    pub(super) fn add_to_indexes(&mut self, id: &str) {
        let Some(spec) = self.open_spec(id) else {
            return;
        };
        let stored = spec.stored_spec.as_ref().unwrap_or(spec).clone();
        let readiness = self.pipelines.insert(id, &stored, &self.jobs);
        // From the first on with its effective spec: the indexes go by it.
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

/// The regions that tasks of a job are bound to, each once.
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
