//! Reads submissions and validates them field by field.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

use super::wire::{self, SubmissionField};
use salttiller_records::model::{is_job_id, JobKind, JobSpec, Priority};
use salttiller_records::units::{self, Micros};

/// Longest time span that is accepted, in seconds.
const MAX_SECONDS: f64 = 1e9;
/// Largest amount of a resource that is accepted, in its unit.
const MAX_AMOUNT: f64 = 1e6;
/// Most tasks of a job.
const MAX_TASKS: u32 = 100_000;

/// Why a body is not a submission; it is refused with status 400.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// Not a map from names to values.
    #[error("not a MessagePack map")]
    NotAMap,
    /// Not MessagePack of the expected form: a field is missing or of another type.
    #[error("malformed submission: {0}")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// A field has a value that can't be used.
    #[error("{field}: {reason}")]
    Field {
        /// The field.
        field: SubmissionField,
        /// What is wrong with its value.
        reason: FieldError,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldError {
    /// Not the id of a job.
    #[error("not a job id")]
    NotAJobId,
    /// None of the names that the field may have.
    #[error("unknown value")]
    UnknownValue,
    /// Not a number, or outside of the accepted range.
    #[error("out of range")]
    OutOfRange,
    /// A job depends on itself.
    #[error("the job depends on itself")]
    DependsOnItself,
}

impl FieldError {
    /// The error of a submission with this value in `field`.
    fn of(self, field: SubmissionField) -> SubmissionError {
        SubmissionError::Field {
            field,
            reason: self,
        }
    }
}

/// Reads a submission that came at `submitted_at` (time of day). Returns the id that the user
/// gave the job, and the job.
///
/// # Errors
/// A body that is not a submission; the user is answered with status 400.
pub fn parse_submission(
    body: &[u8],
    submitted_at: Micros,
) -> Result<(String, JobSpec), SubmissionError> {
    if !is_map(body) {
        return Err(SubmissionError::NotAMap);
    }
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    let submission = wire::Submission::deserialize(&mut deserializer)?;
    let spec = validate(&submission, submitted_at)?;
    Ok((submission.id, spec))
}

/// Whether bytes begin a MessagePack map; a list of the fields' values would be read as a
/// submission too.
fn is_map(body: &[u8]) -> bool {
    matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf))
}

fn validate(
    submission: &wire::Submission,
    submitted_at: Micros,
) -> Result<JobSpec, SubmissionError> {
    // Keys of records are bounded, and so is the id, which is part of one.
    if !is_job_id(&submission.id) {
        return Err(FieldError::NotAJobId.of(SubmissionField::Id));
    }
    Ok(JobSpec {
        kind: job_kind(&submission.kind)?,
        priority: priority(&submission.priority)?,
        task_count: task_count(submission.task_count)?,
        cpus: cpus(submission.cpus)?,
        gpus: amount(SubmissionField::Gpus, submission.gpus)?,
        memory: amount(SubmissionField::Memory, submission.memory_gb)?,
        image_size: amount(SubmissionField::ImageSize, submission.image_size_gb)?,
        estimated_run_time: duration(
            SubmissionField::EstimatedRunTime,
            submission.estimated_run_seconds,
        )?,
        checkpoint_interval: duration(
            SubmissionField::CheckpointInterval,
            submission.checkpoint_interval_seconds,
        )?,
        checkpoint_time: duration(
            SubmissionField::CheckpointTime,
            submission.checkpoint_seconds,
        )?,
        deadline: submission
            .deadline_seconds
            .map(|seconds| duration(SubmissionField::Deadline, seconds))
            .transpose()?,
        class: submission.class.clone(),
        team: submission.team.clone(),
        allowed_types: submission.allowed_types.clone(),
        zone: submission.zone.clone(),
        single_zone: submission.single_zone,
        spread_zones: submission.spread_zones,
        allows_spot: submission.allows_spot,
        image: submission.image.clone(),
        submitted_at,
        dependencies: dependencies(submission)?,
        stored_spec: None,
    })
}

fn job_kind(name: &str) -> Result<JobKind, SubmissionError> {
    wire::job_kind(name).ok_or(FieldError::UnknownValue.of(SubmissionField::Kind))
}

fn priority(name: &str) -> Result<Priority, SubmissionError> {
    wire::priority(name).ok_or(FieldError::UnknownValue.of(SubmissionField::Priority))
}

fn task_count(count: u64) -> Result<u32, SubmissionError> {
    u32::try_from(count)
        .ok()
        .filter(|count| (1..=MAX_TASKS).contains(count))
        .ok_or(FieldError::OutOfRange.of(SubmissionField::TaskCount))
}

/// Processors of a task, in millionths: unlike other resources, some are always needed.
fn cpus(cpus: f64) -> Result<u64, SubmissionError> {
    if cpus <= 0.0 {
        return Err(FieldError::OutOfRange.of(SubmissionField::Cpus));
    }
    amount(SubmissionField::Cpus, cpus)
}

/// An amount of a resource in millionths of its unit, rounded up.
fn amount(field: SubmissionField, amount: f64) -> Result<u64, SubmissionError> {
    if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) {
        Ok(units::round_up_to_millionths(amount))
    } else {
        Err(FieldError::OutOfRange.of(field))
    }
}

fn duration(field: SubmissionField, seconds: f64) -> Result<Micros, SubmissionError> {
    if seconds.is_finite() && (0.0..=MAX_SECONDS).contains(&seconds) {
        Ok(units::from_seconds(seconds))
    } else {
        Err(FieldError::OutOfRange.of(field))
    }
}

/// The jobs that must be done before, each once and in order.
fn dependencies(submission: &wire::Submission) -> Result<Vec<String>, SubmissionError> {
    let dependencies: BTreeSet<&String> = submission.dependencies.iter().flatten().collect();
    if dependencies.contains(&submission.id) {
        return Err(FieldError::DependsOnItself.of(SubmissionField::Dependencies));
    }
    if dependencies.iter().any(|id| !is_job_id(id)) {
        return Err(FieldError::NotAJobId.of(SubmissionField::Dependencies));
    }
    Ok(dependencies.into_iter().cloned().collect())
}
