//! Fault injection for tests: a test disables one safeguard and shows that the archive is then
//! wrong, so that the safeguard is needed. In production builds every safeguard is active, and
//! [`is_disabled`] is a constant.

/// A safeguard that a test may disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// After an interruption the archived changes are compared with the state service's.
    HistoryComparison,
    /// A revision that goes back ends the segment.
    RevisionOrder,
    /// When the history turns out to be another, changes archived since the last comparison
    /// are dropped.
    UnverifiedChangesDropped,
    /// A snapshot is brought to one revision by the changes made while it was read.
    SnapshotConsistency,
    /// A snapshot read ahead of the archived changes is read anew after an interruption.
    PagesAheadDiscarded,
    /// A segment without changes of its own is recognised by those just before it.
    PrecedingChanges,
}

#[cfg(test)]
thread_local! {
    /// Per thread, since tests run in parallel.
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Disables a safeguard on this thread until the next call; `None` enables all.
#[cfg(test)]
pub(crate) fn disable(safeguard: Option<Safeguard>) {
    DISABLED.set(safeguard);
}

/// Whether a test has disabled this safeguard on this thread.
#[cfg(test)]
pub(crate) fn is_disabled(safeguard: Safeguard) -> bool {
    DISABLED.get() == Some(safeguard)
}

/// Whether a test has disabled this safeguard: never outside tests.
#[cfg(not(test))]
pub(crate) const fn is_disabled(_safeguard: Safeguard) -> bool {
    false
}
