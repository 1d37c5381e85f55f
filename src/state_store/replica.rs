//! A controller's copy of the state service's records, kept current by watching.
//!
//! The state store's client applies changes (`apply`); everyone else reads. Beside the
//! records by kind, the copy holds indexes that are derived from them: machines by pool
//! (`machines`), open jobs by team and region and the jobs that need others (`jobs`).

mod apply;
mod jobs;
mod machines;
mod progress;

use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::key::Key;
use salttiller_records::model::MachineType;
use salttiller_records::record::{
    ActivationRecord, DataLossHoldRecord, JobRecord, LeaderRecord, MachineBatchRecord,
    MachineRecord, QuotaRecord, RegionRecord,
};
use salttiller_records::QuotaAmount;

use super::pipelines::Pipelines;
pub use super::versioned::Versioned;

/// What machines have in common that are interchangeable for placement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
}

/// Names an activation record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ActivationKey {
    /// Region.
    pub region: String,
    /// Number of the record within the region.
    pub number: u32,
}

/// Names a job's progress record within the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressKey {
    /// The region that found the tasks finished.
    pub region: String,
    /// Chunk of task numbers.
    pub chunk: u32,
}

/// Orders a team's jobs by time of submission, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionKey {
    /// Time of day at submission.
    pub submitted_at: u64,
    /// Name of the job.
    pub job: String,
}

impl SubmissionKey {
    /// Whether this job was submitted after the one with this time and name, or is the same.
    #[must_use]
    pub fn is_not_before(&self, submitted_at: u64, job: &str) -> bool {
        (self.submitted_at, self.job.as_str()) >= (submitted_at, job)
    }
}

/// The copy. Equal to the state service as of `revision`, plus our own later
/// changes, which are applied as soon as they are answered.
#[derive(Debug, Default)]
pub struct Replica {
    /// As of when the copy is complete.
    pub revision: u64,
    /// Who leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The last fencing token that was handed out.
    pub token: Option<Versioned<u64>>,
    /// That records were lost, and what operators decided.
    pub data_loss_hold: Option<Versioned<DataLossHoldRecord>>,
    /// Regions' owners.
    pub regions: BTreeMap<String, Versioned<RegionRecord>>,
    /// Machines, of batches and with records of their own.
    pub machines: BTreeMap<String, Versioned<MachineRecord>>,
    /// Machine batches.
    pub batches: BTreeMap<String, Versioned<MachineBatchRecord>>,
    /// Which machines of batches were activated.
    pub activations: BTreeMap<ActivationKey, Versioned<ActivationRecord>>,
    /// Number of machines by region and pool.
    pub machine_counts: BTreeMap<String, BTreeMap<PoolKey, u32>>,
    /// Jobs.
    pub jobs: BTreeMap<String, Versioned<JobRecord>>,
    /// Names of the jobs that are not over and wait for no others.
    pub ready_jobs: BTreeSet<String>,
    /// Names of the ready jobs that are bound to no region.
    pub unbound_jobs: BTreeSet<String>,
    /// Number of ready jobs bound to each region.
    pub jobs_per_region: BTreeMap<String, u32>,
    /// Ready jobs of each team by time of submission, with the quota that they need.
    pub teams: BTreeMap<String, BTreeMap<SubmissionKey, QuotaAmount>>,
    /// Finished tasks by job, region and chunk, as bitmaps.
    pub progress: BTreeMap<String, BTreeMap<ProgressKey, Versioned<String>>>,
    /// Shares of the teams' limits.
    pub quotas: BTreeMap<String, Versioned<QuotaRecord>>,
    /// Machine types.
    pub machine_types: BTreeMap<String, Versioned<MachineType>>,
    /// Ready jobs that are gangs over several regions.
    pub multi_region_gangs: BTreeSet<String>,
    /// Machine records that can't be read. While there are any, nobody may take
    /// the machines that are known for all there are.
    pub unreadable: BTreeSet<Key>,
    /// Jobs that need others.
    pub pipelines: Pipelines,
    /// Our own changes beyond `revision`: key and version (also of deletions), so
    /// that an older event that arrives later can't undo them.
    ahead: BTreeMap<Key, u64>,
    /// Machines that changed since they were last asked for.
    changed_machines: BTreeSet<String>,
    /// Jobs whose effective spec another job's record has changed, since they were last
    /// asked for.
    respecified: BTreeSet<String>,
}

fn version_of<T>(record: Option<&Versioned<T>>) -> u64 {
    record.map_or(0, |record| record.version)
}

impl Replica {
    /// The revision of a record; 0 if there is none. This is what a transaction
    /// names as its condition.
    pub fn version(&self, key: &Key) -> u64 {
        match key {
            Key::Leader => version_of(self.leader.as_ref()),
            Key::Token => version_of(self.token.as_ref()),
            Key::Region(region) => version_of(self.regions.get(region)),
            Key::Machine(machine) => version_of(
                self.machines
                    .get(machine)
                    .filter(|record| record.value.batch_position.is_none()),
            ),
            Key::MachineBatch(batch) => version_of(self.batches.get(batch)),
            Key::Activation(region, number) => version_of(self.activations.get(&ActivationKey {
                region: region.clone(),
                number: *number,
            })),
            Key::Job(job) => version_of(self.jobs.get(job)),
            Key::Progress(job, region, chunk) => version_of(self.progress(job, region, *chunk)),
            Key::Quota(team) => version_of(self.quotas.get(team)),
            Key::MachineType(name) => version_of(self.machine_types.get(name)),
            Key::DataLossHold => version_of(self.data_loss_hold.as_ref()),
        }
    }
}

#[cfg(test)]
mod tests;
