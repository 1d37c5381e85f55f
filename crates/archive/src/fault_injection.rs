//! Fault injection for tests: a test disables one safeguard and checks that the archive is then
//! wrong, which shows that the safeguard is needed. In production builds every safeguard is
//! active, and [`is_disabled`] is a constant.

/// A safeguard that a test may disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// After an interruption, the archived changes are compared with the state service's changes.
    HistoryComparison,
    /// The segment ends when the revision goes back.
    RevisionOrder,
    /// If a comparison shows that the history was replaced, the changes archived since the last
    /// comparison that may come from the new history are dropped.
    UnverifiedChangesDropped,
    /// The changes made while a snapshot was read are applied to it, so that all its records are
    /// at one revision.
    SnapshotConsistency,
    /// After an interruption, a snapshot with pages ahead of the archived changes is discarded
    /// and read again.
    PagesAheadDiscarded,
    /// The history of a segment without changes is identified by the changes just before the
    /// segment.
    PrecedingChanges,
}

#[cfg(test)]
thread_local! {
    /// The safeguard disabled on this thread. Tests run in parallel on several threads.
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Disables a safeguard on this thread until the next call. `None` enables all safeguards.
#[cfg(test)]
pub(crate) fn disable(safeguard: Option<Safeguard>) {
    DISABLED.set(safeguard);
}

/// Whether a test has disabled this safeguard on this thread.
#[cfg(test)]
pub(crate) fn is_disabled(safeguard: Safeguard) -> bool {
    DISABLED.get() == Some(safeguard)
}

/// Whether a test has disabled this safeguard: always `false` outside tests.
#[cfg(not(test))]
pub(crate) const fn is_disabled(_safeguard: Safeguard) -> bool {
    false
}
