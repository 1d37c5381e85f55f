//! The state of a job as its user reads it.

use super::wire;
use salttiller_records::record::JobStage;

/// Counts of a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// The body that tells a user the state of a job; counts are left out if they aren't known.
#[must_use]
pub fn encode_job_state(id: &str, stage: JobStage, counts: Option<TaskCounts>) -> Vec<u8> {
    let running = counts.is_some_and(|counts| counts.running > 0);
    let stage = match stage {
        JobStage::Open if running => "running",
        JobStage::Open => "queued",
        JobStage::Done => "done",
        JobStage::Cancelled => "cancelled",
    };
    rmp_serde::to_vec_named(&wire::JobState {
        id,
        stage,
        done: counts.map(|counts| counts.done),
        running: counts.map(|counts| counts.running),
    })
    // A plain map of text and numbers: this can't fail.
    .unwrap_or_default()
}
