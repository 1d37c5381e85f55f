//! Types that all modules share: names of jobs and tasks, the spec of a job, machine types, and
//! sets of task numbers.

mod ids;
mod job_spec;
mod machine_type;
mod range_set;

pub use ids::{is_job_id, parse_task, JobId};
pub use job_spec::{JobKind, JobSpec, Priority};
pub use machine_type::MachineType;
pub use range_set::RangeSet;

#[cfg(test)]
mod tests;
