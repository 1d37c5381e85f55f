//! Wire format (MessagePack) of the worker protocol. Names of the protocol that differ from those
//! of the code occur only in this module.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use salttiller_records::model::parse_task;
use salttiller_records::units;

use super::commands::{Command, CommandKind};
use super::heartbeat::{
    ExitReason, Heartbeat, HeartbeatError, HeartbeatId, ReportedState, ReportedTask,
};

/// Heartbeat in its wire format.
#[derive(Deserialize)]
pub(super) struct HeartbeatMessage {
    #[serde(rename = "tiller")]
    machine: String,
    #[serde(default, rename = "plot")]
    machine_type: String,
    #[serde(default, rename = "field")]
    zone: String,
    #[serde(default, rename = "fallow")]
    spot: bool,
    #[serde(rename = "season")]
    incarnation: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(rename = "brand")]
    token: u64,
    #[serde(default, rename = "reclaimS")]
    interruption_in_seconds: Option<f64>,
    #[serde(default, rename = "sheaves")]
    tasks: Vec<TaskMessage>,
}

/// Task of a heartbeat in its wire format.
#[derive(Deserialize)]
struct TaskMessage {
    #[serde(rename = "sheaf")]
    name: String,
    #[serde(rename = "sowing")]
    attempt: u64,
    #[serde(rename = "stage")]
    state: String,
    #[serde(default, rename = "blight")]
    exit_reason: Option<String>,
    #[serde(default, rename = "stored")]
    checkpoint_saved: Option<bool>,
}

impl TryFrom<HeartbeatMessage> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(message: HeartbeatMessage) -> Result<Self, HeartbeatError> {
        Ok(Heartbeat {
            machine: message.machine,
            machine_type: message.machine_type,
            zone: message.zone,
            spot: message.spot,
            id: HeartbeatId {
                incarnation: message.incarnation,
                sequence: message.sequence,
            },
            token: message.token,
            interruption_in: message.interruption_in_seconds.map(units::from_seconds),
            tasks: message
                .tasks
                .into_iter()
                .enumerate()
                .map(|(index, task)| reported_task(index, &task))
                .collect::<Result<_, _>>()?,
        })
    }
}

fn reported_task(index: usize, message: &TaskMessage) -> Result<ReportedTask, HeartbeatError> {
    let (job, task) = parse_task(&message.name).ok_or_else(|| HeartbeatError::TaskName {
        field: format!("sheaves.{index}.sheaf"),
        value: message.name.clone(),
    })?;
    Ok(ReportedTask {
        job: Rc::from(job),
        task,
        attempt: message.attempt,
        state: reported_state(message),
    })
}

fn reported_state(message: &TaskMessage) -> ReportedState {
    match message.state.as_str() {
        "pulling" => ReportedState::Fetching,
        "gathering" => ReportedState::WaitingForGang,
        "running" => ReportedState::Running,
        "flushing" => ReportedState::Checkpointing,
        "ended" => ReportedState::Ended(exit_reason(message)),
        // A task in an unknown state is assumed to be running, so that its resources on the machine
        // are not considered free.
        _ => ReportedState::Running,
    }
}

fn exit_reason(message: &TaskMessage) -> ExitReason {
    match message.exit_reason.as_deref() {
        Some("done") => ExitReason::Done,
        Some("stopped") => ExitReason::Stopped {
            saved: message.checkpoint_saved.unwrap_or(false),
        },
        Some("mates_gone") => ExitReason::GangMemberLost,
        Some("incomplete") => ExitReason::GangIncomplete,
        Some("full") => ExitReason::NoCapacity,
        Some("busy") => ExitReason::AttemptConflict,
        Some("unknown") => ExitReason::UnknownTask,
        // An unknown or missing reason counts as a failure.
        _ => ExitReason::Failed,
    }
}

/// Body of a response with status 200: commands and the region's fencing token.
#[derive(Serialize)]
pub(super) struct CommandsMessage<'a> {
    #[serde(rename = "brand")]
    pub(super) token: u64,
    #[serde(rename = "calls")]
    pub(super) commands: Vec<CommandMessage<'a>>,
}

/// Command to a worker in its wire format.
#[derive(Serialize)]
pub(super) struct CommandMessage<'a> {
    #[serde(rename = "call")]
    kind: &'static str,
    #[serde(rename = "sheaf")]
    task: &'a str,
    #[serde(rename = "sowing")]
    attempt: u64,
    #[serde(rename = "gleaningS", skip_serializing_if = "Option::is_none")]
    grace_seconds: Option<f64>,
}

impl<'a> CommandMessage<'a> {
    /// Converts a command to its wire format. `task` is the name of the task.
    pub(super) fn new(command: &Command, task: &'a str) -> Self {
        let (kind, grace) = match command.kind {
            CommandKind::Start => ("start", None),
            CommandKind::Stop { grace } => ("stop", Some(grace)),
            CommandKind::Reap => ("reap", None),
        };
        CommandMessage {
            kind,
            task,
            attempt: command.attempt,
            grace_seconds: grace.map(units::to_seconds),
        }
    }
}

/// Body of a response with status 421: the controller that owns the machine's region, if known.
#[derive(Serialize)]
pub(super) struct RedirectMessage<'a> {
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none")]
    pub(super) owner: Option<&'a str>,
}
