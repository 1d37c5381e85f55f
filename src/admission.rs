//! Admission of users' requests: reading and validating submissions, whether a job can ever
//! run here, the concurrency limit, and the answer that tells a job's state.
//!
//! Called by the controller. It reads the replica and the settings and changes neither; nothing
//! here reads a clock or touches a socket.

mod feasibility;
mod job_state;
mod limiter;
mod submission;
mod wire;

pub use feasibility::{check_satisfiable, AdmissionError, Undecided, Unsatisfiable};
pub use job_state::{encode_job_state, TaskCounts};
pub use limiter::ConcurrencyLimiter;
pub use submission::{parse_submission, FieldError, SubmissionError};
pub use wire::SubmissionField;

#[cfg(test)]
mod tests;
