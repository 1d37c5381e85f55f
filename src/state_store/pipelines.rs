//! Dependencies between jobs: which jobs wait, which are cancelled along with one that
//! they need, and what a job inherits from those that need it (`propagation`).
//!
//! All of it is derived from the jobs' records, so every controller finds the same without
//! a transaction of its own, and a new leader finds what the old one had. The replica owns
//! the index and passes in the records with every call, as [`JobRecords`].

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

/// The jobs' records, as the index needs them.
pub trait JobRecords {
    /// The record of a job.
    fn record(&self, id: &str) -> Option<&JobRecord>;

    /// Replaces the effective spec of a job; nothing happens if there is no record of it.
    fn set_spec(&mut self, id: &str, spec: Rc<JobSpec>);

    /// The effective spec of a job that is not over.
    fn open_spec(&self, id: &str) -> Option<&Rc<JobSpec>> {
        self.record(id)?.open_spec()
    }
}

/// State of a job with regard to the jobs that it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// All are done, or it needs none.
    Ready,
    /// Some are not over, or on no record.
    Waiting,
    /// One is cancelled, by its user or along with another: so is this one.
    CancelledUpstream,
}

/// The index over jobs that need others.
#[derive(Debug, Default)]
pub struct Pipelines {
    /// By a needed job, the open jobs that name it.
    dependents: BTreeMap<String, BTreeSet<String>>,
    /// Open on record, but waiting for others.
    waiting: BTreeSet<String>,
    /// Open on record, but cancelled with one that they need.
    cancelled_upstream: BTreeSet<String>,
    /// Jobs to which a change is still to be propagated.
    unpropagated: BTreeSet<String>,
    /// Records read so far, for tests that bound the work of a change.
    lookups: Cell<u64>,
}

impl Pipelines {
    /// Jobs that wait for others.
    pub fn waiting(&self) -> &BTreeSet<String> {
        &self.waiting
    }

    /// Jobs that are cancelled with others and not yet so on record.
    pub fn cancelled_upstream(&self) -> &BTreeSet<String> {
        &self.cancelled_upstream
    }

    /// The open jobs that name this one.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = &String> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Records read so far.
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }

    fn record<'a>(&self, id: &str, jobs: &'a impl JobRecords) -> Option<&'a JobRecord> {
        self.lookups.set(self.lookups.get() + 1);
        jobs.record(id)
    }

    /// State of a job with regard to those that it needs.
    pub fn readiness(&self, spec: &JobSpec, jobs: &impl JobRecords) -> Readiness {
        if is_disabled(Safeguard::DependencyCheck) {
            return Readiness::Ready;
        }
        let mut readiness = Readiness::Ready;
        for needed in &spec.dependencies {
            let stage = self.record(needed, jobs).map(|record| record.stage);
            if is_disabled(Safeguard::UpstreamCancellation) && stage != Some(JobStage::Done) {
                return Readiness::Waiting;
            }
            match stage {
                Some(JobStage::Done) => {}
                Some(JobStage::Cancelled) => return Readiness::CancelledUpstream,
                Some(JobStage::Open) if self.cancelled_upstream.contains(needed) => {
                    return Readiness::CancelledUpstream
                }
                Some(JobStage::Open) | None => readiness = Readiness::Waiting,
            }
        }
        readiness
    }

    /// Adds an open job under the jobs that it needs. Returns its state.
    pub fn insert(&mut self, id: &str, spec: &JobSpec, jobs: &impl JobRecords) -> Readiness {
        for needed in &spec.dependencies {
            let dependents = self.dependents.entry(needed.clone()).or_default();
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

    /// Removes an open job. Returns its state when it was added.
    pub fn remove(&mut self, id: &str, spec: &JobSpec) -> Readiness {
        for needed in &spec.dependencies {
            if let Some(dependents) = self.dependents.get_mut(needed) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(needed);
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
