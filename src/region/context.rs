//! What a step of a region may read beside the region's own state.

use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::record::JobStage;
use salttiller_records::units::Micros;

use crate::settings::Settings;
use crate::state_store::replica::Replica;

/// All that a step of the region may read beside its own state; built by the controller for
/// each step.
pub struct SchedulingContext<'a> {
    /// The replica of the records.
    pub replica: &'a Replica,
    /// The settings.
    pub settings: &'a Settings,
    /// Steady clock.
    pub now: Micros,
    /// Time of day.
    pub wall: Micros,
    /// Teams whose limit other regions find used up, with the scheduling rank of the first job
    /// that lacks some.
    pub quota_blocked_teams: &'a BTreeMap<String, u64>,
    /// Whether tasks may be started, not just kept running.
    pub may_start: bool,
    /// Jobs that are surely cancelled though the replica may not show it yet.
    pub reported_cancelled: &'a BTreeSet<String>,
}

impl SchedulingContext<'_> {
    /// Whether nothing of a job is to run any more, or it has no record.
    pub(super) fn is_job_over(&self, id: &str) -> bool {
        let stage = self.replica.stage(id);
        stage != Some(JobStage::Open) || self.reported_cancelled.contains(id)
    }
}
