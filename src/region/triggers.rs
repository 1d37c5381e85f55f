//! What has changed since the last placement, so that only jobs that it may concern are
//! considered.
//!
//! Whatever may let a pending task start is noted here; placement consumes all of it.

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::JobId;

/// With more changed machines than this all pending jobs are considered: to compare each job
/// with each of these machines would cost more.
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
    /// A job has other tasks to place, or may be placed again.
    pub(super) fn job_changed(&mut self, id: &JobId) {
        self.jobs.insert(id.clone());
    }

    /// A job turned out not to be placeable: what was noted of it meanwhile is no reason to
    /// consider it again.
    pub(super) fn forget_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    /// A machine has more free capacity.
    pub(super) fn machine_changed(&mut self, name: &Rc<str>) {
        self.machines.insert(name.clone());
    }

    /// A team's share has grown, or less of it is in use.
    pub(super) fn team_changed(&mut self, team: &str) {
        self.teams.insert(team.to_owned());
    }

    /// All pending jobs are to be considered.
    pub(super) fn everything_changed(&mut self) {
        self.everything = true;
    }

    /// Removes and returns what has changed.
    pub(super) fn take(&mut self) -> PlacementTriggers {
        std::mem::take(self)
    }

    /// Whether nothing has changed.
    pub(super) fn is_empty(&self) -> bool {
        !self.everything
            && self.jobs.is_empty()
            && self.machines.is_empty()
            && self.teams.is_empty()
    }

    /// Whether all pending jobs are to be considered.
    pub(super) fn concerns_all(&self) -> bool {
        self.everything || self.machines.len() > MAX_CHANGED_MACHINES
    }

    /// Whether something has changed about this job itself.
    pub(super) fn concerns_job(&self, id: &JobId) -> bool {
        self.jobs.contains(id)
    }

    /// Whether a team's share has changed.
    pub(super) fn concerns_team(&self, team: &str) -> bool {
        self.teams.contains(team)
    }

    /// The machines that have changed.
    pub(super) fn machines(&self) -> impl Iterator<Item = &Rc<str>> {
        self.machines.iter()
    }
}
