//! Heartbeats, which report the state of a worker and of the tasks on its machine.

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;
use thiserror::Error;

use super::wire;

/// Reason for which a task exited, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The task completed successfully.
    Done,
    /// The task was stopped by a command.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
    },
    /// Another task of the gang was lost.
    GangMemberLost,
    /// The gang was not complete within the gang start timeout.
    GangIncomplete,
    /// The task failed.
    Failed,
    /// The start was rejected: the machine has too little free capacity.
    NoCapacity,
    /// The start was rejected: another attempt of the task is on the machine.
    AttemptConflict,
    /// The start was rejected: the job or the task does not exist.
    UnknownTask,
}

/// State of a task as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The image of the task is being fetched.
    Fetching,
    /// The task waits for the other tasks of its gang.
    WaitingForGang,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint before it exits.
    Checkpointing,
    /// The task has exited; its resources on the machine are free.
    Ended(ExitReason),
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task within its job.
    pub task: u32,
    /// Attempt number of the task.
    pub attempt: u64,
    /// State of the task.
    pub state: ReportedState,
}

/// Position of a heartbeat in the sequence of a machine's heartbeats. A later heartbeat has a
/// greater id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HeartbeatId {
    /// Incarnation of the worker, which increases each time the worker starts or its lease expires.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// Initial id of a machine from which no heartbeat has been received.
    pub const NONE: HeartbeatId = HeartbeatId {
        incarnation: 0,
        sequence: 0,
    };
}

/// Heartbeat of a worker: its state and the state of its tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the machine.
    pub machine: String,
    /// Machine type; empty if not given.
    pub machine_type: String,
    /// Zone; empty if not given.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Position of this heartbeat in the sequence of the machine's heartbeats.
    pub id: HeartbeatId,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// Time until the spot interruption; `None` if the cloud has not announced one.
    pub interruption_in: Option<Micros>,
    /// Tasks on the machine.
    pub tasks: Vec<ReportedTask>,
}

/// Reason for which a body is not a valid heartbeat.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The body is not valid MessagePack, or a field is missing or has another type.
    #[error("malformed heartbeat: {0}")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// The name of a task does not consist of a job id and a task number.
    #[error("{field}: \"{value}\" is not a valid task name")]
    TaskName {
        /// Path of the field, in the names of the protocol.
        field: String,
        /// Name of the task as received.
        value: String,
    },
}

/// Parses a heartbeat.
///
/// # Errors
/// Returns an error if the body is not a valid heartbeat; the response has status 400.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    rmp_serde::from_slice::<wire::HeartbeatMessage>(body)?.try_into()
}
