//! Inputs of a region's scheduling steps apart from the region's own state.

use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::record::JobStage;
use salttiller_records::units::Micros;

use crate::settings::Settings;
use crate::state_store::replica::Replica;

/// Everything that a scheduling step may read apart from the region's own state. The controller
/// builds a new context for each step.
pub struct SchedulingContext<'a> {
    /// Local replica of the state service's records.
    pub replica: &'a Replica,
    /// Settings of the controller.
    pub settings: &'a Settings,
    /// Monotonic time.
    pub now: Micros,
    /// Wall-clock time.
    pub wall: Micros,
    /// Teams whose quota blocks jobs in other regions, with the scheduling rank of the first
    /// blocked job.
    pub quota_blocked_teams: &'a BTreeMap<String, u64>,
    /// Whether new tasks may be started; otherwise running tasks are only kept running.
    pub may_start: bool,
    /// Whether workers have had time since the controller's start to contradict the records.
    /// Otherwise records may be lost, so tasks that the records don't expect are neither stopped nor
    /// reaped.
    pub are_records_verified: bool,
    /// Jobs that peers reported as cancelled; the replica may not show the cancellation yet.
    pub reported_cancelled: &'a BTreeSet<String>,
}

impl SchedulingContext<'_> {
    /// Whether a job is known to be cancelled, from its record or from a peer.
    pub(super) fn is_job_cancelled(&self, id: &str) -> bool {
        self.replica.stage(id) == Some(JobStage::Cancelled) || self.reported_cancelled.contains(id)
    }

    /// Whether no task of a job may run any more: the job has ended, has been reported
    /// cancelled, or has no record.
    pub(super) fn has_job_ended(&self, id: &str) -> bool {
        let stage = self.replica.stage(id);
        stage != Some(JobStage::Open) || self.reported_cancelled.contains(id)
    }
}
