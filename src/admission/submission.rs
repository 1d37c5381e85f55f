//! Parsing of submissions and validation of their fields.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

use super::wire::{self, SubmissionField};
use salttiller_records::model::{is_job_id, JobKind, JobSpec, Priority};
use salttiller_records::units::{self, Micros};

/// Maximum duration in a submission, in seconds.
const MAX_SECONDS: f64 = 1e9;
/// Maximum amount of a resource in a submission, in the resource's unit.
const MAX_AMOUNT: f64 = 1e6;
/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;

/// Reason for which a body is not a valid submission. The response has status 400.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// The body is not a MessagePack map from field names to values.
    #[error("not a MessagePack map")]
    NotAMap,
    /// The body is not valid MessagePack, or a field is missing or has another type.
    #[error("malformed submission: {0}")]
    Encoding(#[from] rmp_serde::decode::Error),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// The field.
        field: SubmissionField,
        /// Reason for which the value is invalid.
        reason: FieldError,
    },
}

/// Reason for which the value of a field is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The value is not a job id.
    #[error("not a job id")]
    NotAJobId,
    /// The value is not one of the names that the field accepts.
    #[error("unknown value")]
    UnknownValue,
    /// The value is not a number or is outside the accepted range.
    #[error("out of range")]
    OutOfRange,
    /// The job lists itself as a dependency.
    #[error("the job depends on itself")]
    DependsOnItself,
}

impl FieldError {
    /// Returns the error of a submission whose `field` has the invalid value.
    fn in_field(self, field: SubmissionField) -> SubmissionError {
        SubmissionError::Field {
            field,
            reason: self,
        }
    }
}

/// Parses a submission that was received at `submitted_at` (wall-clock time). Returns the job id
/// that the user chose and the job's specification.
///
/// # Errors
/// Returns an error if the body is not a valid submission; the response has status 400.
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

/// Whether the body begins with the marker of a MessagePack map. The deserializer alone would also
/// accept an array of the values in the order of the fields.
fn is_map(body: &[u8]) -> bool {
    matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf))
}

fn validate(
    submission: &wire::Submission,
    submitted_at: Micros,
) -> Result<JobSpec, SubmissionError> {
    // The job id is part of a record's key, and the length of keys is limited.
    if !is_job_id(&submission.id) {
        return Err(FieldError::NotAJobId.in_field(SubmissionField::Id));
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
    wire::job_kind(name).ok_or(FieldError::UnknownValue.in_field(SubmissionField::Kind))
}

fn priority(name: &str) -> Result<Priority, SubmissionError> {
    wire::priority(name).ok_or(FieldError::UnknownValue.in_field(SubmissionField::Priority))
}

fn task_count(count: u64) -> Result<u32, SubmissionError> {
    u32::try_from(count)
        .ok()
        .filter(|count| (1..=MAX_TASKS).contains(count))
        .ok_or(FieldError::OutOfRange.in_field(SubmissionField::TaskCount))
}

/// Converts the CPUs of a task to millionths. Unlike other resources, the amount must not be zero.
fn cpus(cpus: f64) -> Result<u64, SubmissionError> {
    if cpus <= 0.0 {
        return Err(FieldError::OutOfRange.in_field(SubmissionField::Cpus));
    }
    amount(SubmissionField::Cpus, cpus)
}

/// Converts an amount of a resource to millionths of its unit, rounded up.
fn amount(field: SubmissionField, amount: f64) -> Result<u64, SubmissionError> {
    if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) {
        Ok(units::round_up_to_millionths(amount))
    } else {
        Err(FieldError::OutOfRange.in_field(field))
    }
}

fn duration(field: SubmissionField, seconds: f64) -> Result<Micros, SubmissionError> {
    if seconds.is_finite() && (0.0..=MAX_SECONDS).contains(&seconds) {
        Ok(units::from_seconds(seconds))
    } else {
        Err(FieldError::OutOfRange.in_field(field))
    }
}

/// Returns the job ids of the dependencies, sorted and without duplicates.
fn dependencies(submission: &wire::Submission) -> Result<Vec<String>, SubmissionError> {
    let dependencies: BTreeSet<&String> = submission.dependencies.iter().flatten().collect();
    if dependencies.contains(&submission.id) {
        return Err(FieldError::DependsOnItself.in_field(SubmissionField::Dependencies));
    }
    if dependencies.iter().any(|id| !is_job_id(id)) {
        return Err(FieldError::NotAJobId.in_field(SubmissionField::Dependencies));
    }
    Ok(dependencies.into_iter().cloned().collect())
}
