//! A job as objectives see it.

use std::collections::BTreeSet;

use salttiller_records::units::Micros;

/// A job from its submission until it is no longer open.
pub(super) struct TrackedJob {
    pub(super) submitted: Micros,
    pub(super) deadline: Option<Micros>,
    pub(super) class: String,
    pub(super) guaranteed: bool,
    pub(super) started: Option<Micros>,
    /// Objectives for which it was judged, by index.
    pub(super) judged: BTreeSet<usize>,
}
