//! Admission of user requests: parsing and validation of submissions, feasibility checks, the
//! concurrency limit, and the encoding of a job's state.
//!
//! The controller calls this module. The module reads the replica and the settings without
//! changing them, and it uses neither clocks nor sockets.

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
