//! What controllers tell each other. Nothing here carries authority: all of it
//! may be lost, late or repeated, and is checked against the records before it
//! is acted on.

#![allow(missing_docs)] // rkyv's derives make items that can't carry any

use rkyv::{Archive, Deserialize, Serialize};

/// Machines of a region that are alike, as their owner sees them; amounts in
/// millionths. One line for many: a line a machine would be the greater part of
/// what controllers send and read when there are thousands.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PoolCapacity {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Heard from and open to placing; if not, it is expected to come up.
    pub available: bool,
    /// Free processors, cards and memory of each, rounded down.
    pub free: (u64, u64, u64),
    /// How many.
    pub machines: u32,
}

/// A job with tasks that wait in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PendingJob {
    /// Job.
    pub job: String,
    /// Tasks that wait and could be started or moved.
    pub pending_tasks: u32,
    /// How long the oldest has waited for room.
    pub waiting_us: u64,
    /// Tried in vain: part of a gang over several regions whose attempt failed, or a job
    /// that failed on several machines without a result.
    pub needs_new_attempt: bool,
}

/// Counts of a job for display.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RunningTasks {
    /// Job.
    pub job: String,
    /// Tasks on machines.
    pub running: u32,
}

/// One region as its owner sees it.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RegionReport {
    /// Region.
    pub region: String,
    /// The owner's token.
    pub token: u64,
    /// Whether all machines are accounted for.
    pub reconciled: bool,
    /// Room on machines.
    pub capacity: Vec<PoolCapacity>,
    /// Waiting work, the most urgent first.
    pub pending_jobs: Vec<PendingJob>,
    /// Running tasks by job.
    pub running_tasks: Vec<RunningTasks>,
    /// Teams whose limit other regions' shares leave too little of, and the turn (priority,
    /// then age) of the first job that lacks some.
    pub quota_blocked_teams: Vec<(String, u64)>,
    /// Parts of gangs over several regions for which room is held, by attempt.
    pub gang_parts_ready: Vec<(String, u64)>,
    /// Processors times time: what the owners of lately finished tasks that fit many
    /// types had said, and what they took.
    pub estimated: f64,
    /// See `said`.
    pub actual: f64,
}

/// How machines of one kind come up in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ProvisioningHealth {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Machines that should have come up.
    pub overdue: u32,
    /// Machines that came up lately.
    pub arrived: u32,
    /// For how long the first has been overdue.
    pub overdue_us: u64,
}

/// A region on the status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct RegionStatus {
    /// Region.
    pub region: String,
    /// Owner on record.
    pub owner: Option<String>,
    /// Its token.
    pub token: u64,
    /// Whether all machines are accounted for, as last told.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Machines on record.
    pub machines: u32,
    /// Machines open to placing, as last told.
    #[serde(rename = "live")]
    pub ready_machines: u32,
    /// Tasks that wait.
    #[serde(rename = "waiting")]
    pub pending_tasks: u32,
}

/// An aim on the status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, serde::Serialize)]
pub struct ObjectiveStatus {
    /// What is aimed at.
    #[serde(rename = "aim")]
    pub objective: String,
    /// Jobs in the window that met it.
    pub met: u32,
    /// Jobs in the window.
    #[serde(rename = "all")]
    pub total: u32,
    /// The share that should.
    #[serde(rename = "share")]
    pub target: f64,
    /// Whether it is behind.
    #[serde(rename = "behind")]
    pub breached: bool,
}

/// The status page.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Default, serde::Serialize)]
pub struct Status {
    /// Host name.
    pub name: String,
    /// Which run of its process.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Who leads.
    pub leader: Option<String>,
    /// How long its authority still stands.
    #[serde(rename = "authority_us")]
    pub authority_remaining_us: u64,
    /// Its state service reads are recent.
    #[serde(rename = "fresh")]
    pub reads_recent: bool,
    /// Regions.
    pub regions: Vec<RegionStatus>,
    /// Waiting tasks by class.
    #[serde(rename = "waiting")]
    pub pending_tasks: Vec<(String, u32)>,
    /// AlertMonitor.
    #[serde(rename = "aims")]
    pub objectives: Vec<ObjectiveStatus>,
    /// Last signals.
    #[serde(rename = "signals")]
    pub alerts: Vec<String>,
}

/// A message between controllers.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Message {
    /// How the sender is and what it owns.
    ControllerState {
        /// Host name.
        from: String,
        /// Which run of its process.
        run: u64,
        /// Its state service reads are recent.
        fresh: bool,
        /// Regions it owns.
        regions: Vec<RegionReport>,
    },
    /// The leader asks an owner to give waiting tasks of a job to another region.
    RebindTasks {
        /// Job.
        job: String,
        /// Region that gives.
        from: String,
        /// Region that takes.
        to: String,
        /// How many tasks at most.
        count: u32,
    },
    /// The leader finds that some machines of a kind are not needed.
    CordonMachines {
        /// Region.
        region: String,
        /// Type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Spot or ordinary.
        spot: bool,
        /// How many at most; the owner picks those that hold the fewest tasks.
        count: u32,
    },
    /// The leader finds that all parts of a gang over several regions have room.
    StartGang {
        /// Job.
        job: String,
        /// Attempt.
        attempt: u64,
        /// Region that is told.
        region: String,
    },
    /// The operator's toolbox asks for the status page.
    StatusRequest,
    /// The status page.
    StatusResponse(Status),
    /// Jobs whose cancellation the sender has committed. Spares an owner that the
    /// state service refuses from running them on until it hears; nothing hangs on it.
    JobsCancelled {
        /// Jobs.
        jobs: Vec<String>,
    },
    /// Machines of a region turn to the sender, since they don't reach its owner, who is
    /// told. Sent only to peers that understand it, see [`UNDERSTANDS_EXTENSIONS`].
    OwnerUnreachable {
        /// Region.
        region: String,
        /// The owner's token, as the sender knows it.
        token: u64,
        /// How many machines did so lately.
        machines: u32,
    },
    /// How machines of a region come up, for the leader. Sent only to peers that understand
    /// it, see [`UNDERSTANDS_EXTENSIONS`].
    ProvisioningHealth {
        /// Region.
        region: String,
        /// The pools of which machines are overdue.
        pools: Vec<ProvisioningHealth>,
    },
}

/// Set in the run number of a [`Message::State`] by controllers that understand
/// [`Message::Unreached`] and [`Message::Boots`]. Run numbers are below 2^53, and earlier versions look at none in
/// that message.
pub const UNDERSTANDS_EXTENSIONS: u64 = 1 << 62;

/// A message as bytes.
pub fn encode(m: &Message) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(m)
        .map(|b| b.to_vec())
        .unwrap_or_default()
}

/// Reads a message; what can't be validated is refused.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    match rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned) {
        Ok(m) => Some(m),
        Err(e) => {
            log::debug!("mesh: message: can't be read: {e}");
            None
        }
    }
}

#[cfg(test)]
mod tests;
