//! Faults that tests inject: each leaves out one guard, so that a test can show that it
//! notices. Outside tests no guard is ever left out.

/// A guard that a test may leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// After an interruption the archived changes are compared with the state service's.
    HistoryComparison,
    /// A revision that goes back ends the segment.
    RevisionOrder,
    /// Changes since the last comparison go when the history turns out to be another.
    DoubtfulChanges,
    /// An image is brought to one revision by the changes made while it was read.
    ImageChanges,
    /// An image read ahead of the archived changes is read anew after an interruption.
    PagesAhead,
    /// A segment that has no changes yet is recognised by those just before it.
    Context,
}

#[cfg(test)]
thread_local! {
    static LEFT_OUT: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Leaves out a guard on this thread from now on, or none.
#[cfg(test)]
pub fn leave_out(guard: Option<Guard>) {
    LEFT_OUT.set(guard);
}

/// Whether a test has left out this guard.
#[cfg(test)]
pub fn is_left_out(guard: Guard) -> bool {
    LEFT_OUT.get() == Some(guard)
}

/// Whether a test has left out this guard: never outside tests.
#[cfg(not(test))]
pub const fn is_left_out(_guard: Guard) -> bool {
    false
}
