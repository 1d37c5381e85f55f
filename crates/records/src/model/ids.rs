//! Names of jobs and tasks, as users and workers write them.

use std::rc::Rc;

/// A job's name, as its user chose it.
pub type JobId = Rc<str>;

/// What a job's name begins with.
const JOB_PREFIX: &str = "req-";
/// Most digits of a job's name.
const MAX_JOB_DIGITS: usize = 20;
/// Most digits of a task's number.
const MAX_TASK_DIGITS: usize = 6;

/// Whether `name` has the form of a job id: `req-` and digits.
#[must_use]
pub fn is_job_id(name: &str) -> bool {
    name.strip_prefix(JOB_PREFIX).is_some_and(|digits| {
        (1..=MAX_JOB_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Splits a task's name (`req-000412/3`) into job and number; `None` if it isn't one.
#[must_use]
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.split_once('/')?;
    let has_leading_zero = number.len() > 1 && number.starts_with('0');
    if !is_job_id(job) || number.is_empty() || number.len() > MAX_TASK_DIGITS || has_leading_zero {
        return None;
    }
    Some((job, number.parse().ok()?))
}
