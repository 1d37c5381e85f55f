//! A controller's replica of the state service's records, kept current by watches.
//!
//! The client of the state service applies changes (`apply`); all other modules only read.
//! Besides the records by kind, the replica holds indexes derived from them: machines by pool
//! (`machines`), and open jobs by team, region and dependency (`jobs`).

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

/// Properties shared by machines that are interchangeable for placement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

/// Key of an activation record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ActivationKey {
    /// Region.
    pub region: String,
    /// Number of the record within the region.
    pub number: u32,
}

/// Key of a progress record within its job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressKey {
    /// Region that recorded the tasks as finished.
    pub region: String,
    /// Chunk of task numbers.
    pub chunk: u32,
}

/// Orders the jobs of a team by time of submission, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionKey {
    /// Wall-clock time of submission.
    pub submitted_at: u64,
    /// Name of the job.
    pub job: String,
}

impl SubmissionKey {
    /// Whether this job was submitted after the job with this time and name, or is that job.
    #[must_use]
    pub fn is_not_before(&self, submitted_at: u64, job: &str) -> bool {
        (self.submitted_at, self.job.as_str()) >= (submitted_at, job)
    }
}

/// Copy of the state service's records. The replica equals the state service as of `revision`,
/// plus later changes that this controller committed, which are applied as soon as the commit
/// is confirmed.
#[derive(Debug, Default)]
pub struct Replica {
    /// Revision up to which the replica is complete.
    pub revision: u64,
    /// The current leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The last fencing token that was issued.
    pub token: Option<Versioned<u64>>,
    /// The data-loss hold, if records were lost, with the operators' decision.
    pub data_loss_hold: Option<Versioned<DataLossHoldRecord>>,
    /// Owners of the regions.
    pub regions: BTreeMap<String, Versioned<RegionRecord>>,
    /// Machines, both those in batches and those with records of their own.
    pub machines: BTreeMap<String, Versioned<MachineRecord>>,
    /// Machine batches.
    pub batches: BTreeMap<String, Versioned<MachineBatchRecord>>,
    /// Records that list the activated machines of batches.
    pub activations: BTreeMap<ActivationKey, Versioned<ActivationRecord>>,
    /// Number of machines by region and pool.
    pub machine_counts: BTreeMap<String, BTreeMap<PoolKey, u32>>,
    /// Records of all jobs.
    pub jobs: BTreeMap<String, Versioned<JobRecord>>,
    /// Names of the open jobs that don't wait for dependencies.
    pub ready_jobs: BTreeSet<String>,
    /// Names of the ready jobs that are not bound to a region.
    pub unbound_jobs: BTreeSet<String>,
    /// Number of ready jobs bound to each region.
    pub jobs_per_region: BTreeMap<String, u32>,
    /// Ready jobs of each team by time of submission, with their quota demand.
    pub teams: BTreeMap<String, BTreeMap<SubmissionKey, QuotaAmount>>,
    /// Finished tasks by job, region and chunk, as bitmaps.
    pub progress: BTreeMap<String, BTreeMap<ProgressKey, Versioned<String>>>,
    /// Regions' shares of each team's quota limit.
    pub quotas: BTreeMap<String, Versioned<QuotaRecord>>,
    /// Machine types.
    pub machine_types: BTreeMap<String, Versioned<MachineType>>,
    /// Ready jobs that are gangs bound to several regions.
    pub multi_region_gangs: BTreeSet<String>,
    /// Machine records that can't be read. While there are any, the known machines may be
    /// incomplete.
    pub unreadable_machine_records: BTreeSet<Key>,
    /// Index of the dependencies between jobs.
    pub pipelines: Pipelines,
    /// Versions of this controller's own changes after `revision`, including deletions, by key.
    /// An older event that arrives later can't undo these changes.
    own_changes: BTreeMap<Key, u64>,
    /// Machines that changed since the last call of [`Replica::take_changed_machines`].
    changed_machines: BTreeSet<String>,
    /// Jobs whose effective spec changed because of another job's record, since the last call
    /// of [`Replica::take_changed_specs`].
    changed_specs: BTreeSet<String>,
}

fn version_of<T>(record: Option<&Versioned<T>>) -> u64 {
    record.map_or(0, |record| record.version)
}

impl Replica {
    /// Returns the revision of a record, or 0 if the record doesn't exist. Transactions use
    /// this revision as a condition.
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
