//! Dependencies between jobs: which jobs wait, which are cancelled along with one that
//! they need, and what a job inherits from those that need it. All of it is derived from
//! the jobs' records, so every controller finds the same without a transaction of its own,
//! and a new leader finds what the old one had.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::replica::Versioned;
use crate::fault_injection::{is_disabled, Safeguard};
use salttiller_records::model::JobSpec;
use salttiller_records::record::{JobRecord, JobStage};
use salttiller_records::units::Micros;

/// Most jobs to which one change hands priority and deadline on; the rest follows with
/// the next calls of [`Pipelines::continue_propagation`].
pub const MAX_STEPS_PER_CHANGE: usize = 512;

type Jobs = BTreeMap<String, Versioned<JobRecord>>;

/// How a job stands towards the jobs it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// All are done, or it needs none.
    Ready,
    /// Some are not over, or on no record.
    Waiting,
    /// One is cancelled, by its user or along with another: so is this one.
    CancelledUpstream,
}

/// The job that ends a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineEnd<'a> {
    /// Name.
    pub id: &'a str,
    /// Class.
    pub class: &'a str,
    /// Its own deadline, from its submission.
    pub deadline: Micros,
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
    /// Jobs to which a change is still to be handed on.
    unpropagated: BTreeSet<String>,
    /// Records looked at so far, for tests that bound the work of a change.
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

    /// Records looked at so far.
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }

    fn record<'a>(&self, id: &str, jobs: &'a Jobs) -> Option<&'a JobRecord> {
        self.lookups.set(self.lookups.get() + 1);
        jobs.get(id).map(|r| &r.value)
    }

    /// How a job stands towards those it needs.
    pub fn readiness(&self, spec: &JobSpec, jobs: &Jobs) -> Readiness {
        if is_disabled(Safeguard::DependencyCheck) {
            return Readiness::Ready;
        }
        let mut readiness = Readiness::Ready;
        for needed in &spec.dependencies {
            let stage = self.record(needed, jobs).map(|r| r.stage);
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

    /// Enters an open job under the jobs it needs. Returns how it stands.
    pub fn insert(&mut self, id: &str, spec: &JobSpec, jobs: &Jobs) -> Readiness {
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

    /// Takes an open job out. Returns how it stood when it was entered.
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

    /// A job as it is to be served: with the highest priority of all that need it, with
    /// what their deadlines leave it, and its times from the moment at which it became
    /// ready. `None` if that is what it has.
    pub fn effective_spec(&self, id: &str, spec: &Rc<JobSpec>, jobs: &Jobs) -> Option<Rc<JobSpec>> {
        let base = spec.stored_spec.as_ref().unwrap_or(spec);
        if base.dependencies.is_empty() && !self.dependents.contains_key(id) {
            // Nobody needs it any more: as on record.
            return spec.stored_spec.clone();
        }
        let mut served = JobSpec::clone(base);
        served.stored_spec = Some(base.clone());
        if self.readiness(base, jobs) == Readiness::Ready {
            let ends = base.dependencies.iter();
            let ends = ends.filter_map(|needed| self.record(needed, jobs)?.ended_at);
            let ready_at = ends.max().unwrap_or(0).max(base.submitted_at);
            let waited = ready_at - base.submitted_at;
            // The deadline alone counts from the submission.
            served.deadline = base.deadline.map(|d| d.saturating_sub(waited));
            served.submitted_at = ready_at;
        }
        for dependent in self.dependents(id) {
            let Some(dependent) = self.record(dependent, jobs).and_then(JobRecord::open_spec)
            else {
                continue;
            };
            served.priority = served.priority.max(dependent.priority);
            if let Some(deadline) = dependent.deadline {
                let due = (dependent.submitted_at + deadline)
                    .saturating_sub(dependent.estimated_run_time);
                let left = due.saturating_sub(served.submitted_at);
                served.deadline = Some(served.deadline.map_or(left, |own| own.min(left)));
            }
        }
        (served != **spec).then(|| Rc::new(served))
    }

    /// Hands what a job has to those that it needs, and so on. Returns the jobs that are
    /// to be served otherwise from now on. A long chain is not followed to its end in one
    /// go: see [`Pipelines::continue_propagation`].
    pub fn propagate(&mut self, from: &str, jobs: &mut Jobs) -> Vec<String> {
        let Some(spec) = jobs.get(from).and_then(|r| r.value.open_spec()) else {
            return Vec::new();
        };
        let needs = spec.dependencies.clone();
        let mut changed = Vec::new();
        if self.update(from, jobs) {
            changed.push(from.to_owned());
        }
        self.propagate_from(needs, jobs, &mut changed);
        changed
    }

    /// Whether a chain longer than [`MAX_STEPS_PER_CHANGE`] is still to be followed.
    pub fn has_unpropagated(&self) -> bool {
        !self.unpropagated.is_empty()
    }

    /// Follows what earlier changes left, for as many steps as one change may take.
    pub fn continue_propagation(&mut self, jobs: &mut Jobs) -> Vec<String> {
        let rest = std::mem::take(&mut self.unpropagated);
        let mut changed = Vec::new();
        self.propagate_from(rest.into_iter().collect(), jobs, &mut changed);
        changed
    }

    fn propagate_from(&mut self, mut todo: Vec<String>, jobs: &mut Jobs, out: &mut Vec<String>) {
        let mut steps = 0;
        while let Some(id) = todo.pop() {
            if steps == MAX_STEPS_PER_CHANGE {
                self.unpropagated.insert(id);
                self.unpropagated.extend(todo);
                return;
            }
            steps += 1;
            if self.update(&id, jobs) {
                let spec = jobs.get(&id).and_then(|r| r.value.open_spec());
                todo.extend(
                    spec.into_iter()
                        .flat_map(|s| s.dependencies.iter().cloned()),
                );
                out.push(id);
            }
        }
    }

    /// Brings a job's effective description up to date. Returns whether it changed.
    fn update(&self, id: &str, jobs: &mut Jobs) -> bool {
        let Some(spec) = jobs.get(id).and_then(|r| r.value.open_spec()).cloned() else {
            return false;
        };
        let Some(served) = self.effective_spec(id, &spec, jobs) else {
            return false;
        };
        if let Some(record) = jobs.get_mut(id) {
            record.value.spec = Some(served);
        }
        true
    }
}

#[cfg(test)]
mod tests;
