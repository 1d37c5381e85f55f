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
    pub stage: ReportedState,
}

/// A report.
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
    /// Session and number: the order of reports.
    pub order: (u64, u64),
    /// Highest token the worker has seen.
    pub token: u64,
    /// Time until the cloud takes the machine away.
    pub notice: Option<Micros>,
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
            stage,
        });
    }
    Some(Heartbeat {
        machine: r.tiller,
        machine_type: r.plot,
        zone: r.field,
        spot: r.fallow,
        order: (r.season, r.tally),
        token: r.brand,
        notice: r.reclaim.map(units::secs),
        tasks,
    })
}

/// A command in the answer to a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Start a task.
    Start(JobId, u32, u64),
    /// Stop a task; it may save if the grace is long enough.
    Stop(JobId, u32, u64, Micros),
    /// Forget an ended task.
    Reap(JobId, u32, u64),
}

/// The most commands of one answer, which must stay below 64 KiB.
pub const MAX_COMMANDS: usize = 400;

/// The body of a 200.
pub fn answer(token: u64, commands: &[Command]) -> Vec<u8> {
    let names: Vec<String> = commands
        .iter()
        .map(|c| match c {
            Command::Start(j, n, _) | Command::Stop(j, n, _, _) | Command::Reap(j, n, _) => {
                format!("{j}/{n}")
            }
        })
        .collect();
    let calls = commands
        .iter()
        .zip(&names)
        .map(|(c, sheaf)| {
            let (call, sowing, gleaning) = match c {
                Command::Start(_, _, a) => ("start", *a, None),
                Command::Stop(_, _, a, g) => ("stop", *a, Some(units::to_secs(*g))),
                Command::Reap(_, _, a) => ("reap", *a, None),
            };
            wire::Call {
                call,
                sheaf,
                sowing,
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
pub fn elsewhere(steward: Option<&str>) -> Vec<u8> {
    rmp_serde::to_vec_named(&wire::Elsewhere { steward }).unwrap_or_default()
}

#[cfg(test)]
mod tests;
