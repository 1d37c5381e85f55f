//! Commands to workers and the bodies that carry them.

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;

use super::wire;

/// The most commands of one response: its body must stay below 64 KiB.
pub const MAX_COMMANDS: usize = 400;

/// What a worker is to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Start it.
    Start,
    /// Stop it; it may save a checkpoint if the grace period is long enough.
    Stop {
        /// Time until it is killed.
        grace: Micros,
    },
    /// Forget an exited task: its exit is on record.
    Reap,
}

/// A command to a worker, carried by the response to its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task.
    pub task: u32,
    /// Attempt that is meant; the worker ignores a command for another.
    pub attempt: u64,
    /// What to do.
    pub kind: CommandKind,
}

impl Command {
    /// Starts a task under an attempt number.
    pub fn start(job: JobId, task: u32, attempt: u64) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Start,
        }
    }

    /// Stops a task after a grace period.
    pub fn stop(job: JobId, task: u32, attempt: u64, grace: Micros) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Stop { grace },
        }
    }

    /// Has the worker forget an exited task.
    pub fn reap(job: JobId, task: u32, attempt: u64) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Reap,
        }
    }
}

/// The body of a 200: commands under the region's fencing token.
#[must_use]
pub fn encode_commands(token: u64, commands: &[Command]) -> Vec<u8> {
    let task_names: Vec<String> = commands
        .iter()
        .map(|command| format!("{}/{}", command.job, command.task))
        .collect();
    encode(&wire::CommandsMessage {
        token,
        commands: commands
            .iter()
            .zip(&task_names)
            .map(|(command, task)| wire::CommandMessage::new(command, task))
            .collect(),
    })
}

/// The body of a 421: the controller that owns the machine's region, if known.
#[must_use]
pub fn encode_redirect(owner: Option<&str>) -> Vec<u8> {
    encode(&wire::RedirectMessage { owner })
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    // Messages are plain maps of text and numbers: this can't fail.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
