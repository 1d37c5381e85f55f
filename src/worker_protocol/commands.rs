//! Commands to workers and the encoding of response bodies.

use salttiller_records::model::JobId;
use salttiller_records::units::Micros;

use super::wire;

/// Maximum number of commands in a response, whose body must stay below 64 KiB.
pub const MAX_COMMANDS: usize = 400;

/// Operation that a worker performs on a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Start the task.
    Start,
    /// Stop the task. The task may save a checkpoint if the grace period is long enough.
    Stop {
        /// Time after which the task is killed.
        grace: Micros,
    },
    /// Discard the state of an exited task, whose exit is recorded.
    Reap,
}

/// Command to a worker, sent in the response to its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task within its job.
    pub task: u32,
    /// Attempt of the task. The worker ignores a command for another attempt.
    pub attempt: u64,
    /// Operation on the task.
    pub kind: CommandKind,
}

impl Command {
    /// Creates a command to start an attempt of a task.
    pub fn start(job: JobId, task: u32, attempt: u64) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Start,
        }
    }

    /// Creates a command to stop a task within a grace period.
    pub fn stop(job: JobId, task: u32, attempt: u64, grace: Micros) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Stop { grace },
        }
    }

    /// Creates a command to discard the state of an exited task.
    pub fn reap(job: JobId, task: u32, attempt: u64) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Reap,
        }
    }
}

/// Encodes the body of a response with status 200: commands and the region's fencing token.
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

/// Encodes the body of a response with status 421: the controller that owns the machine's region,
/// if known.
#[must_use]
pub fn encode_redirect(owner: Option<&str>) -> Vec<u8> {
    encode(&wire::RedirectMessage { owner })
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    // Encoding maps of strings and numbers cannot fail.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
