//! What the owner of a region tells the other controllers of it.

#![allow(missing_docs)] // rkyv's derives make items that can't carry any

use rkyv::{Archive, Deserialize, Serialize};

use salttiller_records::Resources;

/// State of a region as its owner sees it.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RegionReport {
    /// Region.
    pub region: String,
    /// The owner's fencing token.
    pub token: u64,
    /// Whether all machines are reconciled.
    pub reconciled: bool,
    /// Free capacity by pool.
    pub capacity: Vec<PoolCapacity>,
    /// Pending jobs, the most urgent first.
    pub pending_jobs: Vec<PendingJob>,
    /// Running tasks by job.
    pub running_tasks: Vec<RunningTasks>,
    /// Teams of whose limit other regions' shares leave too little, and the scheduling rank
    /// (priority, then age) of the first job that lacks some.
    pub quota_blocked_teams: Vec<(String, u64)>,
    /// Multi-region gangs whose part has its capacity reserved, and the attempt.
    pub gang_parts_ready: Vec<(String, u64)>,
    /// Processors times time that the users of lately finished tasks that fit many machine
    /// types had estimated.
    pub estimated: f64,
    /// Processors times time that these tasks actually took.
    pub actual: f64,
}

/// Free capacity of machines of a pool that are alike, in millionths. One entry for many: one
/// for each machine would be the greater part of what controllers send and read when there
/// are thousands.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PoolCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
    /// Whether they are ready for placement; if not, they are being provisioned.
    pub available: bool,
    /// Free processors, cards and memory of each machine, rounded down.
    pub free: FreeResources,
    /// How many machines.
    pub machines: u32,
}

/// Free resources of a machine, in millionths; memory in those of a GB.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeResources {
    /// Processors.
    pub cpus: u64,
    /// Accelerators.
    pub gpus: u64,
    /// Memory.
    pub memory: u64,
}

impl From<Resources> for FreeResources {
    fn from(free: Resources) -> Self {
        FreeResources {
            cpus: free.cpus,
            gpus: free.gpus,
            memory: free.memory,
        }
    }
}

impl From<FreeResources> for Resources {
    fn from(free: FreeResources) -> Self {
        Resources {
            cpus: free.cpus,
            gpus: free.gpus,
            memory: free.memory,
        }
    }
}

/// A job with pending tasks in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PendingJob {
    /// Job.
    pub job: String,
    /// Pending tasks that could be started or rebound.
    pub pending_tasks: u32,
    /// How long the oldest has waited for capacity, in microseconds.
    pub waiting_us: u64,
    /// Part of a multi-region gang whose attempt failed, or a job that failed on several
    /// machines without a result.
    pub needs_new_attempt: bool,
}

/// Running tasks of a job, for display.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RunningTasks {
    /// Job.
    pub job: String,
    /// Tasks on machines.
    pub running: u32,
}

/// How the provisioning of machines of a pool goes in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ProvisioningHealth {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
    /// Machines that should be ready and aren't.
    pub overdue: u32,
    /// Machines that became ready lately.
    pub arrived: u32,
    /// For how long the first has been overdue, in microseconds.
    pub overdue_us: u64,
}
