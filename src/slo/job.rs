//! State of a job for the evaluation of objectives.

use std::collections::BTreeSet;

use salttiller_records::units::Micros;

/// A job that is tracked from its submission until it is no longer open.
pub(super) struct TrackedJob {
    pub(super) submitted: Micros,
    pub(super) deadline: Option<Micros>,
    pub(super) class: String,
    pub(super) guaranteed: bool,
    pub(super) started: Option<Micros>,
    /// Indices of the objectives for which the job was evaluated.
    pub(super) evaluated: BTreeSet<usize>,
}
