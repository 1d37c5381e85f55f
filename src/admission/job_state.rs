//! Encoding of a job's state for responses to users.

use super::wire;
use salttiller_records::record::JobStage;

/// Number of a job's tasks by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskCounts {
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks on machines.
    pub running: u32,
}

/// Encodes the state of a job as the body of a response. The body has no task counts if `counts`
/// is `None`.
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
    // Encoding a map of strings and numbers cannot fail.
    .unwrap_or_default()
}
