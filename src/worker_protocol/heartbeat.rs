//! Heartbeats: the state of a worker and of the tasks on its machine.

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;
use thiserror::Error;

use super::wire;

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Completed successfully.
    Done,
    /// Stopped by a command.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
    },
    /// Another task of its gang was lost.
    GangMemberLost,
    /// Its gang was not complete within the start timeout.
    GangIncomplete,
    /// Failed.
    Failed,
    /// Rejected: too little free capacity on the machine.
    NoCapacity,
    /// Rejected: another attempt of the task is on the machine.
    AttemptConflict,
    /// Rejected: no such job or task.
    UnknownTask,
}

/// State of a task as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// Its image is being fetched.
    Fetching,
    /// Waits for the other tasks of its gang.
    WaitingForGang,
    /// Running.
    Running,
    /// Saving a checkpoint before it exits.
    Checkpointing,
    /// Exited; its resources on the machine are free.
    Ended(ExitReason),
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task within its job.
    pub task: u32,
    /// Which attempt to run the task this is.
    pub attempt: u64,
    /// Its state.
    pub state: ReportedState,
}

/// Position of a heartbeat among those of one machine: a later one is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HeartbeatId {
    /// Agent incarnation: rises each time the worker starts or its lease expires.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// Before any heartbeat.
    pub const NONE: HeartbeatId = HeartbeatId {
        incarnation: 0,
        sequence: 0,
    };
}

/// A worker's heartbeat: its state and that of its tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the machine.
    pub machine: String,
    /// Machine type; empty if not given.
    pub machine_type: String,
    /// Zone; empty if not given.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
    /// Which of the worker's heartbeats this is.
    pub id: HeartbeatId,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// Time until the cloud reclaims the spot machine, once it has given notice.
    pub interruption_in: Option<Micros>,
    /// Tasks on the machine.
    pub tasks: Vec<ReportedTask>,
}

/// Why a body is not a heartbeat.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// Not MessagePack of the expected form: a field is missing or of another type.
    #[error("malformed heartbeat: {0}")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// The name of a task is not that of a job and a number.
    #[error("{field}: \"{value}\" is not the name of a task")]
    TaskName {
        /// Path of the field, in the protocol's names.
        field: String,
        /// The name as sent.
        value: String,
    },
}

/// Reads a heartbeat.
///
/// # Errors
/// A body that is not a heartbeat; the worker is answered with status 400.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    rmp_serde::from_slice::<wire::HeartbeatMessage>(body)?.try_into()
}
