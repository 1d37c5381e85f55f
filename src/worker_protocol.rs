//! Workers' reports and our commands, by their wire names, and the order of
//! reports: only a newer one counts, a late or repeated one changes nothing.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use salttiller_records::model::{parse_task, JobId};
use salttiller_records::units::{self, Micros};

mod wire {
    use super::{Deserialize, Serialize};

    #[derive(Deserialize)]
    pub struct Heartbeat {
        pub tiller: String,
        #[serde(default)]
        pub plot: String,
        #[serde(default)]
        pub field: String,
        #[serde(default)]
        pub fallow: bool,
        pub season: u64,
        pub tally: u64,
        pub brand: u64,
        #[serde(default, rename = "reclaimS")]
        pub reclaim: Option<f64>,
        #[serde(default)]
        pub sheaves: Vec<Sheaf>,
    }

    #[derive(Deserialize)]
    pub struct Sheaf {
        pub sheaf: String,
        pub sowing: u64,
        pub stage: String,
        #[serde(default)]
        pub blight: Option<String>,
        #[serde(default)]
        pub stored: Option<bool>,
    }

    #[derive(Serialize)]
    pub struct Answer<'a> {
        pub brand: u64,
        pub calls: Vec<Call<'a>>,
    }

    #[derive(Serialize)]
    pub struct Call<'a> {
        pub call: &'static str,
        pub sheaf: &'a str,
        pub sowing: u64,
        #[serde(rename = "gleaningS", skip_serializing_if = "Option::is_none")]
        pub gleaning: Option<f64>,
    }

    #[derive(Serialize)]
    pub struct Elsewhere<'a> {
        #[serde(skip_serializing_if = "Option::is_none")]
        pub steward: Option<&'a str>,
    }
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped {
        /// Its progress was saved.
        saved: bool,
    },
    /// Another task of its gang is gone.
    GangMemberLost,
    /// Its gang was not complete in time.
    GangIncomplete,
    /// Failed.
    Failed,
    /// Refused: no room.
    NoCapacity,
    /// Refused: another attempt is there.
    AttemptConflict,
    /// Refused: no such job or task.
    UnknownTask,
}

/// What a task does on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// Waits for its image.
    Fetching,
    /// Waits for its gang.
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves before it exits.
    Checkpointing,
    /// Is no longer on the machine.
    Ended(ExitReason),
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTask {
    /// Its job.
    pub job: JobId,
    /// Its number.
    pub task: u32,
    /// Which start this is.
    pub attempt: u64,
    /// What it does.
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
    /// Machine.
    pub machine: String,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Which of the worker's heartbeats this is.
    pub id: HeartbeatId,
    /// Highest token the worker has seen.
    pub token: u64,
    /// Time until the cloud takes the machine away.
    pub interruption_in: Option<Micros>,
    /// Tasks on the machine.
    pub tasks: Vec<ReportedTask>,
}

/// Reads a report; `None` for anything that is not one.
pub fn parse_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let r: wire::Heartbeat = match rmp_serde::from_slice(body) {
        Ok(r) => r,
        Err(e) => {
            log::info!("workers: report: can't be read: {e}");
            return None;
        }
    };
    let mut tasks = Vec::with_capacity(r.sheaves.len());
    for s in r.sheaves {
        let (job, task) = parse_task(&s.sheaf)?;
        let stage = match s.stage.as_str() {
            "pulling" => ReportedState::Fetching,
            "gathering" => ReportedState::WaitingForGang,
            "running" => ReportedState::Running,
            "flushing" => ReportedState::Checkpointing,
            "ended" => ReportedState::Ended(match s.blight.as_deref() {
                Some("done") => ExitReason::Done,
                Some("stopped") => ExitReason::Stopped {
                    saved: s.stored.unwrap_or(false),
                },
                Some("mates_gone") => ExitReason::GangMemberLost,
                Some("incomplete") => ExitReason::GangIncomplete,
                Some("full") => ExitReason::NoCapacity,
                Some("busy") => ExitReason::AttemptConflict,
                Some("unknown") => ExitReason::UnknownTask,
                _ => ExitReason::Failed,
            }),
            // A stage we don't know is something on the machine: the safe reading.
            _ => ReportedState::Running,
        };
        tasks.push(ReportedTask {
            job: Rc::from(job),
            task,
            attempt: s.sowing,
            state: stage,
        });
    }
    Some(Heartbeat {
        machine: r.tiller,
        machine_type: r.plot,
        zone: r.field,
        spot: r.fallow,
        id: HeartbeatId {
            incarnation: r.season,
            sequence: r.tally,
        },
        token: r.brand,
        interruption_in: r.reclaim.map(units::secs),
        tasks,
    })
}

/// What a command does to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Start it.
    Start,
    /// Stop it; it may save a checkpoint if the grace period is long enough.
    Stop {
        /// Time until it is killed.
        grace: Micros,
    },
    /// Forget that it ended.
    Reap,
}

/// A command to a worker, carried by the answer to its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Job of the task.
    pub job: JobId,
    /// Number of the task.
    pub task: u32,
    /// Which start of the task is meant.
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

    /// Has an ended task forgotten.
    pub fn reap(job: JobId, task: u32, attempt: u64) -> Self {
        Command {
            job,
            task,
            attempt,
            kind: CommandKind::Reap,
        }
    }
}

/// The most commands of one answer, which must stay below 64 KiB.
pub const MAX_COMMANDS: usize = 400;

/// The body of a 200.
pub fn encode_commands(token: u64, commands: &[Command]) -> Vec<u8> {
    let task_names: Vec<String> = commands
        .iter()
        .map(|command| format!("{}/{}", command.job, command.task))
        .collect();
    let calls = commands
        .iter()
        .zip(&task_names)
        .map(|(command, sheaf)| {
            let (call, gleaning) = match command.kind {
                CommandKind::Start => ("start", None),
                CommandKind::Stop { grace } => ("stop", Some(units::to_secs(grace))),
                CommandKind::Reap => ("reap", None),
            };
            wire::Call {
                call,
                sheaf,
                sowing: command.attempt,
                gleaning,
            }
        })
        .collect();
    rmp_serde::to_vec_named(&wire::Answer {
        brand: token,
        calls,
    })
    .unwrap_or_default()
}

/// The body of a 421.
pub fn encode_redirect(steward: Option<&str>) -> Vec<u8> {
    rmp_serde::to_vec_named(&wire::Elsewhere { steward }).unwrap_or_default()
}

#[cfg(test)]
mod tests;
