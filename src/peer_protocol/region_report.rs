//! Reports that the owner of a region sends to the other controllers.

#![allow(missing_docs)] // rkyv's derives generate items without doc comments

use rkyv::{Archive, Deserialize, Serialize};

use salttiller_records::Resources;

/// State of a region as known to its owner.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RegionReport {
    /// Region.
    pub region: String,
    /// The owner's fencing token.
    pub token: u64,
    /// Whether all machines of the region are reconciled.
    pub reconciled: bool,
    /// Free capacity of the region's pools.
    pub capacity: Vec<PoolCapacity>,
    /// Pending jobs in scheduling order.
    pub pending_jobs: Vec<PendingJob>,
    /// Number of running tasks by job.
    pub running_tasks: Vec<RunningTasks>,
    /// Teams whose pending tasks lack quota because other regions' shares use up too much of the
    /// team's limit, and the scheduling rank (priority, then age) of the first job that lacks
    /// quota.
    pub quota_blocked_teams: Vec<(String, u64)>,
    /// Multi-region gangs whose part in this region has its capacity reserved, and the attempt.
    pub gang_parts_ready: Vec<(String, u64)>,
    /// Estimated CPU time of recently finished tasks that fit on more than one machine type, as a
    /// decaying sum of millionths of a CPU times microseconds.
    pub estimated_cpu_time: f64,
    /// Actual CPU time of these tasks, as a decaying sum in the same unit.
    pub actual_cpu_time: f64,
}

/// Free capacity of a group of similar machines of a pool, in millionths. Machines are grouped
/// since separate entries for thousands of machines would be the larger part of the data that
/// controllers send and read.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PoolCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the pool consists of spot instances.
    pub spot: bool,
    /// Whether the machines are ready for placement; if not, they are being provisioned.
    pub available: bool,
    /// Free CPUs, accelerators and memory of each machine, rounded down.
    pub free: FreeResources,
    /// Number of machines in the group.
    pub machines: u32,
}

/// Free resources of a machine, in millionths of a CPU, an accelerator and a GB.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeResources {
    /// CPUs.
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

/// Job with pending tasks in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct PendingJob {
    /// Job.
    pub job: String,
    /// Number of pending tasks that may be started or rebound.
    pub pending_tasks: u32,
    /// Time for which the job has had pending tasks without interruption, in microseconds.
    pub waiting_us: u64,
    /// Whether the job is part of a multi-region gang whose attempt failed, or has failed on
    /// several machines without a result.
    pub needs_new_attempt: bool,
}

/// Number of running tasks of a job.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct RunningTasks {
    /// Job.
    pub job: String,
    /// Number of tasks on machines.
    pub running: u32,
}

/// State of the provisioning of a pool's machines in a region.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ProvisioningHealth {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the pool consists of spot instances.
    pub spot: bool,
    /// Number of machines that are not ready although they should be.
    pub overdue: u32,
    /// Number of machines that became ready recently.
    pub arrived: u32,
    /// Time for which the first of the overdue machines has been overdue, in microseconds.
    pub overdue_us: u64,
}
