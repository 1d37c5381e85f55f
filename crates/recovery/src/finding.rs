//! Evidence that the state service lost records.

use std::fmt;

/// Evidence that the state service lost records: none of these can be while it keeps all that
/// was committed. The text of a finding is put on record and shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Its revision is lower than one that it had shown before.
    RevisionWentBack {
        /// The revision that was seen.
        seen: u64,
        /// The lower one.
        now: u64,
    },
    /// It shows other changes for revisions that were seen.
    HistoryReplaced {
        /// The last revision that was seen.
        seen: u64,
    },
    /// A record that is never deleted is gone.
    RecordDeleted {
        /// Its key.
        key: String,
    },
    /// A worker has seen a fencing token that was never handed out, by the records.
    TokenNotOnRecord {
        /// Machine.
        machine: String,
        /// The token that its worker reports.
        reported: u64,
        /// The last one on record.
        recorded: u64,
    },
    /// A worker has a task of a job without a record. Whoever started it had one.
    JobNotOnRecord {
        /// Machine.
        machine: String,
        /// Identifier of the job.
        job: String,
    },
    /// Another controller found it and put a hold on record.
    FoundByPeer {
        /// Host name of that controller.
        by: String,
        /// Text of its finding.
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
            Finding::TokenNotOnRecord {
                machine,
                reported,
                recorded,
            } => write!(
                f,
                "{machine} has seen token {reported}, the last on record is {recorded}"
            ),
            Finding::JobNotOnRecord { machine, job } => {
                write!(f, "{machine} has a task of {job}, which has no record")
            }
            Finding::FoundByPeer { by, seen } => write!(f, "{seen} (found by {by})"),
        }
    }
}
