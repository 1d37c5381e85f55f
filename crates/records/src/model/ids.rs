//! Validates and parses the names of jobs and tasks that users and workers send.

use std::rc::Rc;

/// Id of a job, chosen by its user.
pub type JobId = Rc<str>;

/// Prefix of a job id.
const JOB_PREFIX: &str = "req-";
/// Maximum number of digits of a job id.
const MAX_JOB_DIGITS: usize = 20;
/// Maximum number of digits of a task number.
const MAX_TASK_DIGITS: usize = 6;

/// Whether `name` is a valid job id: `req-` followed by digits.
#[must_use]
pub fn is_job_id(name: &str) -> bool {
    name.strip_prefix(JOB_PREFIX).is_some_and(|digits| {
        (1..=MAX_JOB_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Splits the name of a task, such as `req-000412/3`, into job id and task number. Returns `None`
/// if the name is invalid.
#[must_use]
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.split_once('/')?;
    let has_leading_zero = number.len() > 1 && number.starts_with('0');
    if !is_job_id(job) || number.is_empty() || number.len() > MAX_TASK_DIGITS || has_leading_zero {
        return None;
    }
    Some((job, number.parse().ok()?))
}
