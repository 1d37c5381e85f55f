//! Findings of lost records.

use std::fmt;

/// Evidence that the state service lost records. None of these states can occur while the state
/// service keeps all committed changes. The text of a finding is stored in the record of the hold
/// and shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The revision of the state service is lower than one that was seen before.
    RevisionWentBack {
        /// Highest revision that was seen before.
        seen: u64,
        /// Current, lower revision.
        now: u64,
    },
    /// The state service returns other changes for revisions that were seen before.
    HistoryReplaced {
        /// Last revision that was seen before.
        seen: u64,
    },
    /// A record of a kind that is never deleted is missing.
    RecordDeleted {
        /// Key of the record.
        key: String,
    },
    /// A worker has seen a fencing token that was never issued according to the records.
    UnrecordedToken {
        /// Name of the worker's machine.
        machine: String,
        /// Fencing token in the worker's heartbeat.
        reported: u64,
        /// Last recorded fencing token.
        recorded: u64,
    },
    /// A worker has a task of a job without a record. A controller starts tasks only of recorded
    /// jobs.
    UnrecordedJob {
        /// Name of the worker's machine.
        machine: String,
        /// Id of the job.
        job: String,
    },
    /// Another controller found the loss and wrote the record of a hold.
    FoundByPeer {
        /// Host name of that controller.
        by: String,
        /// Text of that controller's finding.
        seen: String,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::RevisionWentBack { seen, now } => {
                write!(f, "revision {now} after {seen} had been seen")
            }
            Finding::HistoryReplaced { seen } => {
                write!(f, "other changes up to revision {seen} than had been seen")
            }
            Finding::RecordDeleted { key } => write!(f, "{key}, never deleted, is gone"),
            Finding::UnrecordedToken {
                machine,
                reported,
                recorded,
            } => write!(
                f,
                "{machine} has seen token {reported}, the last on record is {recorded}"
            ),
            Finding::UnrecordedJob { machine, job } => {
                write!(f, "{machine} has a task of {job}, which has no record")
            }
            Finding::FoundByPeer { by, seen } => write!(f, "{seen} (found by {by})"),
        }
    }
}
