//! What the region asks its controller to do: commits and releases of machines.

use std::rc::Rc;

use salttiller_records::model::{JobId, RangeSet};

use crate::state_store::{CommitPriority, Transaction};

/// What a commit was for; handed back to the region with the commit's outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitKind {
    /// These finished tasks of a job are recorded.
    Progress(JobId, RangeSet),
    /// A job's end is recorded.
    JobDone(JobId),
    /// The region's share of this team's quota changes.
    QuotaShare(String),
    /// Pending tasks of a job are handed over to another region.
    Rebind(JobId),
    /// Machines that are about to get their first tasks are recorded as activated.
    ActivateMachines(Vec<Rc<str>>),
    /// Records of machines that are proven gone are removed.
    RemoveMachines(Vec<Rc<str>>),
}

/// What the region asks its controller to do.
#[derive(Debug)]
pub enum Action {
    /// Commit this transaction.
    Commit(Transaction, CommitPriority, CommitKind),
    /// Return these machines to the cloud.
    Release(Vec<String>),
}
