//! Dependencies between jobs: which jobs wait, which are cancelled along with a dependency,
//! and what a job inherits from its dependents (`propagation`).
//!
//! The index is derived from the jobs' records alone. Every controller therefore derives the
//! same state without a transaction, and a new leader derives what the previous one had. The
//! replica owns the index and passes in the records with every call, as [`JobRecords`].

mod pipeline_end;
mod propagation;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::record::{JobRecord, JobStage};

use crate::fault_injection::{is_disabled, Safeguard};

pub use pipeline_end::PipelineEnd;
pub use propagation::MAX_STEPS_PER_CHANGE;

/// Access to the jobs' records.
pub trait JobRecords {
    /// Returns the record of a job.
    fn record(&self, id: &str) -> Option<&JobRecord>;

    /// Replaces the effective spec of a job. Does nothing if the job has no record.
    fn set_spec(&mut self, id: &str, spec: Rc<JobSpec>);

    /// Returns the effective spec of a job that has not ended.
    fn open_spec(&self, id: &str) -> Option<&Rc<JobSpec>> {
        self.record(id)?.open_spec()
    }
}

/// State of a job with regard to its dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// All dependencies are done, or the job has none.
    Ready,
    /// A dependency has not ended, or has no record.
    Waiting,
    /// A dependency is cancelled, by its user or along with one of its own dependencies, so
    /// this job is cancelled too.
    CancelledUpstream,
}

/// Index over the jobs with dependencies.
#[derive(Debug, Default)]
pub struct Pipelines {
    /// Open jobs by the dependency that they name.
    dependents: BTreeMap<String, BTreeSet<String>>,
    /// Jobs whose record is open and that wait for dependencies.
    waiting: BTreeSet<String>,
    /// Jobs whose record is open although they are cancelled along with a dependency.
    cancelled_upstream: BTreeSet<String>,
    /// Jobs to which a change has not been propagated yet.
    unpropagated: BTreeSet<String>,
    /// Number of records read so far, for tests that bound the cost of a change.
    lookups: Cell<u64>,
}

impl Pipelines {
    /// Jobs that wait for dependencies.
    pub fn waiting(&self) -> &BTreeSet<String> {
        &self.waiting
    }

    /// Jobs that are cancelled along with a dependency and whose record is still open.
    pub fn cancelled_upstream(&self) -> &BTreeSet<String> {
        &self.cancelled_upstream
    }

    /// The open jobs that name `id` as a dependency.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = &String> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Number of records read so far.
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }

    fn record<'a>(&self, id: &str, jobs: &'a impl JobRecords) -> Option<&'a JobRecord> {
        self.lookups.set(self.lookups.get() + 1);
        jobs.record(id)
    }

    /// Returns the state of a job with regard to its dependencies.
    pub fn readiness(&self, spec: &JobSpec, jobs: &impl JobRecords) -> Readiness {
        if is_disabled(Safeguard::DependencyCheck) {
            return Readiness::Ready;
        }
        let mut readiness = Readiness::Ready;
        for dependency in &spec.dependencies {
            let stage = self.record(dependency, jobs).map(|record| record.stage);
            if is_disabled(Safeguard::UpstreamCancellation) && stage != Some(JobStage::Done) {
                return Readiness::Waiting;
            }
            match stage {
                Some(JobStage::Done) => {}
                Some(JobStage::Cancelled) => return Readiness::CancelledUpstream,
                Some(JobStage::Open) if self.cancelled_upstream.contains(dependency) => {
                    return Readiness::CancelledUpstream
                }
                Some(JobStage::Open) | None => readiness = Readiness::Waiting,
            }
        }
        readiness
    }

    /// Adds an open job to the index. Returns the job's readiness.
    pub fn insert(&mut self, id: &str, spec: &JobSpec, jobs: &impl JobRecords) -> Readiness {
        for dependency in &spec.dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.to_owned());
        }
        let readiness = self.readiness(spec, jobs);
        match readiness {
            Readiness::Ready => {}
            Readiness::Waiting => {
                self.waiting.insert(id.to_owned());
            }
            Readiness::CancelledUpstream => {
                self.cancelled_upstream.insert(id.to_owned());
            }
        }
        readiness
    }

    /// Removes an open job from the index. Returns the readiness under which the job was indexed.
    pub fn remove(&mut self, id: &str, spec: &JobSpec) -> Readiness {
        for dependency in &spec.dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
        if self.waiting.remove(id) {
            Readiness::Waiting
        } else if self.cancelled_upstream.remove(id) {
            Readiness::CancelledUpstream
        } else {
            Readiness::Ready
        }
    }
}

#[cfg(test)]
mod tests;
