//! Faults that tests inject: each leaves out one guard of the safety argument, so that a
//! test can show that it notices. Outside tests no guard is ever left out.

/// A guard that a test may leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A new owner accounts for every machine before it restarts tasks.
    Recovery,
    /// An owner's authority ends by its own clock.
    AuthorityDeadline,
    /// Only a report newer than all seen is evidence.
    ReportOrder,
    /// Tasks start only on a recent read, and peers' word of cancellations is heeded.
    StartDeadline,
    /// No task starts before all that its job needs is done.
    DependencyCheck,
    /// A job is cancelled along with one that it needs.
    UpstreamCancellation,
    /// A silent machine counts as empty only after its lease.
    LeaseWait,
    /// An inherited share counts as used until all machines are accounted for.
    InheritedShares,
    /// Every change names the revisions that it relies on.
    RevisionConditions,
    /// A record of a former run of the same controller isn't ours.
    RunNumber,
    /// A job is done only with every task's result.
    CompleteResults,
    /// An owner that its workers don't reach releases its region.
    UnreachedRelease,
    /// A kind of machine that comes up badly is rented by probes, and waited for.
    BootTrouble,
    /// A job that fails wherever it runs is tried a little at a time.
    SuspectJobs,
    /// A history that isn't the one that was known is noticed.
    KnownHistory,
    /// What workers report is held against the records.
    ReportEvidence,
    /// After a start unknown jobs are neither accepted nor denied until workers had the time
    /// to report.
    ProvenStart,
    /// The tokens of a hold are above all that were seen.
    SufficientToken,
    /// After a decision on lost records starts wait for machines without a record.
    UnrecordedMachines,
    /// A gang that lacks its team's share keeps others from starting for a while only.
    ShareHoldLimit,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Leaves out a guard on this thread from now on, or none.
#[cfg(test)]
pub fn disable(guard: Option<Safeguard>) {
    DISABLED.set(guard);
}

/// Whether a test has left out this guard.
#[cfg(test)]
pub fn is_disabled(guard: Safeguard) -> bool {
    DISABLED.get() == Some(guard)
}

/// Whether a test has left out this guard: never outside tests.
#[cfg(not(test))]
pub const fn is_disabled(_guard: Safeguard) -> bool {
    false
}
