//! Changes since the last placement, so that placement considers only the jobs that a change may
//! affect.
//!
//! Every change that may let a pending task start is recorded here; placement consumes all
//! recorded changes.

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::JobId;

/// Number of changed machines above which all pending jobs are considered, since comparing each
/// job with each changed machine would cost more.
const MAX_CHANGED_MACHINES: usize = 16;

/// Changes since the last placement.
#[derive(Debug, Default)]
pub(super) struct PlacementTriggers {
    jobs: BTreeSet<JobId>,
    machines: BTreeSet<Rc<str>>,
    teams: BTreeSet<String>,
    everything: bool,
}

impl PlacementTriggers {
    /// Records that the pending tasks of a job have changed or that the job may be placed again.
    pub(super) fn job_changed(&mut self, id: &JobId) {
        self.jobs.insert(id.clone());
    }

    /// Removes the recorded changes of a job that could not be placed, so that the attempt to
    /// place it does not trigger another one.
    pub(super) fn forget_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    /// Records that a machine has more free capacity.
    pub(super) fn machine_changed(&mut self, name: &Rc<str>) {
        self.machines.insert(name.clone());
    }

    /// Records that a team's quota share has grown or that less of it is in use.
    pub(super) fn team_changed(&mut self, team: &str) {
        self.teams.insert(team.to_owned());
    }

    /// Records a change that may affect all pending jobs.
    pub(super) fn everything_changed(&mut self) {
        self.everything = true;
    }

    /// Removes and returns the recorded changes.
    pub(super) fn take(&mut self) -> PlacementTriggers {
        std::mem::take(self)
    }

    /// Whether no change is recorded.
    pub(super) fn is_empty(&self) -> bool {
        !self.everything
            && self.jobs.is_empty()
            && self.machines.is_empty()
            && self.teams.is_empty()
    }

    /// Whether placement must consider all pending jobs.
    pub(super) fn affects_all(&self) -> bool {
        self.everything || self.machines.len() > MAX_CHANGED_MACHINES
    }

    /// Whether a change of this job itself is recorded.
    pub(super) fn affects_job(&self, id: &JobId) -> bool {
        self.jobs.contains(id)
    }

    /// Whether a change of a team's quota share is recorded.
    pub(super) fn affects_team(&self, team: &str) -> bool {
        self.teams.contains(team)
    }

    /// Returns the machines that have changed.
    pub(super) fn machines(&self) -> impl Iterator<Item = &Rc<str>> {
        self.machines.iter()
    }
}
