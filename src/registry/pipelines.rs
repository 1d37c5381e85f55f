//! Jobs that need others: which wait, which are cancelled along, and what a job has from
//! those that need it. All of it is derived from the jobs' records, so every controller
//! finds the same with no transaction of its own, and a new leader what the old one had.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::records::{JobRecord, Stage};
use super::replica::Versioned;
use crate::fault_injection::{is_left_out, Guard};
use crate::model::JobSpec;

/// Most jobs that one change of a record is followed through. A longer chain gets what
/// lies behind that with later changes; only rank and urgency hang on it.
const MOST_STEPS: usize = 512;

type Jobs = BTreeMap<String, Versioned<JobRecord>>;

/// How a job stands towards the jobs it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// All are done, or it needs none.
    Ready,
    /// Some are not over, or on no record.
    Waits,
    /// One is cancelled, itself or along with another: so is this one.
    CalledOff,
}

/// The index over jobs that need others.
#[derive(Debug, Default)]
pub struct Pipelines {
    /// By a needed job, the open jobs that name it.
    followers: BTreeMap<String, BTreeSet<String>>,
    /// Open on record, but waiting for others.
    waits: BTreeSet<String>,
    /// Open on record, but cancelled with one that they need.
    called_off: BTreeSet<String>,
}

impl Pipelines {
    /// Jobs that wait for others.
    pub fn waiting(&self) -> &BTreeSet<String> {
        &self.waits
    }

    /// Jobs that are cancelled with others and not yet so on record.
    pub fn called_off(&self) -> &BTreeSet<String> {
        &self.called_off
    }

    /// The open jobs that name this one.
    pub fn followers(&self, id: &str) -> impl Iterator<Item = &String> {
        self.followers.get(id).into_iter().flatten()
    }

    /// How a job stands towards those it needs.
    pub fn gate(&self, spec: &JobSpec, jobs: &Jobs) -> Gate {
        if is_left_out(Guard::DependencyCheck) {
            return Gate::Ready;
        }
        let mut gate = Gate::Ready;
        for n in &spec.needs {
            if is_left_out(Guard::UpstreamCancellation)
                && jobs.get(n).map(|r| r.value.stage) != Some(Stage::Done)
            {
                return Gate::Waits;
            }
            match jobs.get(n).map(|r| r.value.stage) {
                Some(Stage::Done) => {}
                Some(Stage::Cancelled) => return Gate::CalledOff,
                Some(Stage::Open) if self.called_off.contains(n) => return Gate::CalledOff,
                Some(Stage::Open) | None => gate = Gate::Waits,
            }
        }
        gate
    }

    /// Enters an open job under the jobs it needs. Returns how it stands.
    pub fn enter(&mut self, id: &str, spec: &JobSpec, jobs: &Jobs) -> Gate {
        for n in &spec.needs {
            let f = self.followers.entry(n.clone()).or_default();
            f.insert(id.to_owned());
        }
        let gate = self.gate(spec, jobs);
        match gate {
            Gate::Ready => {}
            Gate::Waits => {
                self.waits.insert(id.to_owned());
            }
            Gate::CalledOff => {
                self.called_off.insert(id.to_owned());
            }
        }
        gate
    }

    /// Takes an open job out. Returns how it stood when it was entered.
    pub fn leave(&mut self, id: &str, spec: &JobSpec) -> Gate {
        for n in &spec.needs {
            if let Some(f) = self.followers.get_mut(n) {
                f.remove(id);
                if f.is_empty() {
                    self.followers.remove(n);
                }
            }
        }
        if self.waits.remove(id) {
            Gate::Waits
        } else if self.called_off.remove(id) {
            Gate::CalledOff
        } else {
            Gate::Ready
        }
    }

    /// A job as it is to be served: with the highest rank of all that need it, with what
    /// their deadlines leave it, and its times from the moment at which it became ready.
    pub fn shaped(&self, id: &str, spec: &Rc<JobSpec>, jobs: &Jobs) -> Option<Rc<JobSpec>> {
        let base = spec.recorded.as_ref().unwrap_or(spec);
        if base.needs.is_empty() && !self.followers.contains_key(id) {
            // Nobody needs it any more: as on record.
            return spec.recorded.clone();
        }
        let mut s = JobSpec::clone(base);
        s.recorded = Some(base.clone());
        if self.gate(base, jobs) == Gate::Ready {
            let ended = base.needs.iter().filter_map(|n| jobs.get(n)?.value.ended);
            let ready = ended.max().unwrap_or(0).max(base.submitted);
            let waited = ready - base.submitted;
            // The deadline alone counts from the submission.
            s.deadline = base.deadline.map(|d| d.saturating_sub(waited));
            s.submitted = ready;
        }
        for f in self.followers(id) {
            let Some(f) = jobs.get(f).and_then(|r| r.value.open()) else {
                continue;
            };
            s.rank = s.rank.max(f.rank);
            if let Some(d) = f.deadline {
                let by = (f.submitted + d).saturating_sub(f.estimate);
                let left = by.saturating_sub(s.submitted);
                s.deadline = Some(s.deadline.map_or(left, |own| own.min(left)));
            }
        }
        (s != **spec).then(|| Rc::new(s))
    }

    /// Hands what a job has to those that it needs, and so on. Returns the jobs that
    /// are to be served otherwise from now on.
    pub fn reshape(&self, from: &str, jobs: &mut Jobs) -> Vec<String> {
        let mut changed = Vec::new();
        let mut todo = vec![from.to_owned()];
        let mut steps = 0;
        while let Some(id) = todo.pop() {
            steps += 1;
            if steps > MOST_STEPS {
                break;
            }
            let Some(spec) = jobs.get(&id).and_then(|r| r.value.open()).cloned() else {
                continue;
            };
            let new = self.shaped(&id, &spec, jobs);
            let differs = new.is_some();
            if let (Some(new), Some(r)) = (new, jobs.get_mut(&id)) {
                r.value.spec = Some(new);
            }
            if differs || id == from {
                todo.extend(spec.needs.iter().cloned());
            }
            if differs {
                changed.push(id);
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests;
