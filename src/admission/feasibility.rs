//! Whether a job can ever run here: its team's limit, machine types, zones, and the size of
//! its record.

use std::collections::BTreeSet;

use thiserror::Error;

use super::wire::SubmissionField;
use crate::quota;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::{JobSpec, MachineType};

/// Bytes of a dependency in a record: an id of up to ten digits, in quotes, and a comma.
const DEPENDENCY_BYTES: usize = 17;
/// Bytes left in a record for what is not the submission: stage, region, task ranges.
const RECORD_OVERHEAD_BYTES: usize = 1024;

/// Why a well-formed submission is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The job can never run; status 422.
    #[error("can never run: {0}")]
    Unsatisfiable(Unsatisfiable),
    /// It can't be decided yet; status 503.
    #[error("can't be decided yet: {0}")]
    Undecided(Undecided),
    /// A record doesn't hold so many dependencies; status 400 with this text as the body,
    /// which is part of the interface.
    #[error("needs too many jobs: a record keeps about {limit} of them")]
    TooManyDependencies {
        /// About how many a record holds.
        limit: usize,
    },
}

/// Why a job can never run; names the field that can't be satisfied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unsatisfiable {
    /// No team of this name.
    #[error("{}: unknown team", SubmissionField::Team)]
    UnknownTeam,
    /// More than the team's limit.
    #[error("{}: more than the team's limit", SubmissionField::TaskCount)]
    TeamLimit,
    /// A task fits no allowed machine type.
    #[error(
        "{}: a task fits no allowed machine type",
        SubmissionField::AllowedTypes
    )]
    MachineType,
    /// No zone of this name.
    #[error("{}: unknown zone", SubmissionField::Zone)]
    UnknownZone,
    /// A task fits no machine type of the zone.
    #[error("{}: a task fits no machine type of its zone", SubmissionField::Zone)]
    MachineTypeInZone,
    /// To be spread over zones and in a single one.
    #[error(
        "{}: it must be spread and in one zone at once",
        SubmissionField::SpreadZones
    )]
    SpreadInOneZone,
    /// A task fits machine types of fewer than two zones.
    #[error(
        "{}: it must be spread over more zones than fit",
        SubmissionField::SpreadZones
    )]
    TooFewZones,
    /// The record would exceed the largest value of the state store.
    #[error("its description is too long to keep")]
    RecordTooLarge,
}

/// What must be known before a submission can be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Undecided {
    /// The cloud's machine types.
    #[error("machine types unknown")]
    MachineTypesUnknown,
}

impl From<Unsatisfiable> for AdmissionError {
    fn from(reason: Unsatisfiable) -> Self {
        AdmissionError::Unsatisfiable(reason)
    }
}

/// Checks whether a job can ever run here.
///
/// # Errors
/// It can't, or that isn't known yet.
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
        return Err(Unsatisfiable::MachineType.into());
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
        Err(Unsatisfiable::TeamLimit)
    }
}

/// The cloud's machine types, as far as they fit a job's tasks.
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

    /// Types are offered by zone: one that fits but is not offered in the zone is no use.
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
        return Err(Unsatisfiable::MachineTypeInZone);
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

/// Checks that the job's record fits into a value of the state store.
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

/// About how long a job's record is.
fn record_bytes(spec: &JobSpec) -> usize {
    serde_json::to_string(spec).map_or(usize::MAX, |text| text.len()) + RECORD_OVERHEAD_BYTES
}
