//! Actions that the region requests from its controller: commits and releases of machines.

use std::rc::Rc;

use salttiller_records::model::{JobId, RangeSet};

use crate::state_store::{CommitPriority, Transaction};

/// Purpose of a commit; the controller returns it to the region with the commit's outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitKind {
    /// Records these finished tasks of a job.
    Progress(JobId, RangeSet),
    /// Records the end of a job.
    JobDone(JobId),
    /// Changes the region's share of this team's quota.
    QuotaShare(String),
    /// Hands pending tasks of a job over to another region.
    Rebind(JobId),
    /// Records machines as activated before their first tasks are dispatched.
    ActivateMachines(Vec<Rc<str>>),
    /// Removes the records of machines that are proven to be terminated.
    RemoveMachines(Vec<Rc<str>>),
}

/// Action that the region requests from its controller.
#[derive(Debug)]
pub enum Action {
    /// Commits this transaction.
    Commit(Transaction, CommitPriority, CommitKind),
    /// Releases these machines to the cloud provider.
    Release(Vec<String>),
}
