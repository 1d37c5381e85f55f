//! Feasibility checks: whether a job can ever run, given its team's limit, the machine types,
//! the zones, and the maximum size of a record.

use std::collections::BTreeSet;

use thiserror::Error;

use super::wire::SubmissionField;
use crate::quota;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::{JobSpec, MachineType};

/// Size in bytes of a dependency in a record: `req-`, up to ten digits, two quotes and a comma.
const DEPENDENCY_BYTES: usize = 17;
/// Size in bytes reserved in a record for data other than the submission: stage, region and task
/// ranges.
const RECORD_OVERHEAD_BYTES: usize = 1024;

/// Reason for which a well-formed submission is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The job can never run. The response has status 422.
    #[error("can never run: {0}")]
    Unsatisfiable(Unsatisfiable),
    /// Data that the checks need is not available yet. The response has status 503.
    #[error("cannot be decided yet: {0}")]
    Undecided(Undecided),
    /// The job has more dependencies than its record can hold. The response has status 400 and
    /// this text as its body, which is part of the interface.
    #[error("needs too many jobs: a record keeps about {limit} of them")]
    TooManyDependencies {
        /// Approximate number of dependencies that a record can hold.
        limit: usize,
    },
}

/// Reason for which a job can never run. The text names the field of the submission that cannot be
/// satisfied, except for [`Unsatisfiable::RecordTooLarge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unsatisfiable {
    /// The settings have no team with this name.
    #[error("{}: unknown team", SubmissionField::Team)]
    UnknownTeam,
    /// The tasks that run at the same time need more than the team's limit.
    #[error("{}: exceeds the team's limit", SubmissionField::TaskCount)]
    TeamLimitExceeded,
    /// No allowed machine type fits a task.
    #[error(
        "{}: no allowed machine type fits a task",
        SubmissionField::AllowedTypes
    )]
    NoFittingMachineType,
    /// Neither the settings nor the machine types have a zone with this name.
    #[error("{}: unknown zone", SubmissionField::Zone)]
    UnknownZone,
    /// No allowed machine type of the zone fits a task.
    #[error(
        "{}: no allowed machine type of the zone fits a task",
        SubmissionField::Zone
    )]
    NoFittingMachineTypeInZone,
    /// The job requires both a spread over zones and a single zone.
    #[error(
        "{}: the tasks cannot be both spread over zones and in one zone",
        SubmissionField::SpreadZones
    )]
    SpreadInOneZone,
    /// Fewer than two zones have a machine type that fits a task.
    #[error(
        "{}: fewer than two zones have a machine type that fits a task",
        SubmissionField::SpreadZones
    )]
    TooFewZones,
    /// The job's record would exceed the maximum size of a value in the state service.
    #[error("the job's record would exceed the maximum value size of the state service")]
    RecordTooLarge,
}

/// Data without which a submission cannot be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Undecided {
    /// No machine types have been read from the cloud yet.
    #[error("machine types unknown")]
    MachineTypesUnknown,
}

impl From<Unsatisfiable> for AdmissionError {
    fn from(reason: Unsatisfiable) -> Self {
        AdmissionError::Unsatisfiable(reason)
    }
}

/// Checks whether a job can ever run in this deployment.
///
/// # Errors
/// Returns the reason if the job can never run, or if that cannot be decided yet.
pub fn check_satisfiable(
    spec: &JobSpec,
    replica: &Replica,
    settings: &Settings,
) -> Result<(), AdmissionError> {
    check_quota(spec, settings)?;
    if replica.machine_types.is_empty() {
        return Err(AdmissionError::Undecided(Undecided::MachineTypesUnknown));
    }
    let offered = OfferedTypes {
        types: replica
            .machine_types
            .values()
            .map(|versioned| &versioned.value)
            .collect(),
        spec,
    };
    if !offered.any_fits() {
        return Err(Unsatisfiable::NoFittingMachineType.into());
    }
    check_zone(spec, &offered, settings)?;
    check_spread(spec, &offered)?;
    check_record_size(spec, settings)
}

fn check_quota(spec: &JobSpec, settings: &Settings) -> Result<(), Unsatisfiable> {
    let team = settings
        .team(&spec.team)
        .ok_or(Unsatisfiable::UnknownTeam)?;
    let per_task = spec.quota_per_task();
    if quota::fits_within_limit(spec.kind, spec.task_count, per_task, team.limit) {
        Ok(())
    } else {
        Err(Unsatisfiable::TeamLimitExceeded)
    }
}

/// Machine types that the cloud offers, and the job whose tasks must fit them.
struct OfferedTypes<'a> {
    types: Vec<&'a MachineType>,
    spec: &'a JobSpec,
}

impl OfferedTypes<'_> {
    fn any_fits(&self) -> bool {
        self.types
            .iter()
            .any(|machine_type| self.spec.fits_machine_type(machine_type))
    }

    /// Whether a type that is offered in the zone fits a task. The zone matters because the cloud
    /// offers each machine type in some zones only.
    fn any_fits_in(&self, zone: &String) -> bool {
        self.types.iter().any(|machine_type| {
            self.spec.fits_machine_type(machine_type) && machine_type.zones.contains(zone)
        })
    }

    fn zones(&self) -> BTreeSet<&String> {
        self.types
            .iter()
            .flat_map(|machine_type| &machine_type.zones)
            .collect()
    }
}

fn check_zone(
    spec: &JobSpec,
    offered: &OfferedTypes<'_>,
    settings: &Settings,
) -> Result<(), Unsatisfiable> {
    let Some(zone) = &spec.zone else {
        return Ok(());
    };
    if !settings.zones.contains(zone) && !offered.zones().contains(zone) {
        return Err(Unsatisfiable::UnknownZone);
    }
    if !offered.any_fits_in(zone) {
        return Err(Unsatisfiable::NoFittingMachineTypeInZone);
    }
    Ok(())
}

fn check_spread(spec: &JobSpec, offered: &OfferedTypes<'_>) -> Result<(), Unsatisfiable> {
    if !spec.spread_zones || spec.task_count <= 1 {
        return Ok(());
    }
    if spec.single_zone || spec.zone.is_some() {
        return Err(Unsatisfiable::SpreadInOneZone);
    }
    let zones = offered.zones();
    if zones
        .iter()
        .filter(|zone| offered.any_fits_in(zone))
        .count()
        < 2
    {
        return Err(Unsatisfiable::TooFewZones);
    }
    Ok(())
}

/// Checks that the job's record does not exceed the maximum size of a value in the state service.
fn check_record_size(spec: &JobSpec, settings: &Settings) -> Result<(), AdmissionError> {
    let limit = settings.max_value_bytes;
    if record_bytes(spec) <= limit {
        return Ok(());
    }
    if !spec.dependencies.is_empty() {
        let without_dependencies = record_bytes(&JobSpec {
            dependencies: Vec::new(),
            ..spec.clone()
        });
        if let Some(left) = limit.checked_sub(without_dependencies) {
            return Err(AdmissionError::TooManyDependencies {
                limit: left / DEPENDENCY_BYTES,
            });
        }
    }
    Err(Unsatisfiable::RecordTooLarge.into())
}

/// Returns the approximate size in bytes of a job's record.
fn record_bytes(spec: &JobSpec) -> usize {
    serde_json::to_string(spec).map_or(usize::MAX, |text| text.len()) + RECORD_OVERHEAD_BYTES
}
