//! Fault injection for tests: each [`Safeguard`] is one part of the safety argument
//! (docs/safety.md) that a test can disable on its own thread, to show that some test notices.
//!
//! The code that a safeguard is a part of asks [`is_disabled`]. Outside tests that is a constant
//! `false`, and no safeguard can be disabled. The simulated days that need each safeguard are
//! described in `src/simulation.rs`.

/// A part of the safety argument that a test may disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A new owner reconciles every machine before it restarts tasks.
    Recovery,
    /// An owner's authority ends by its own clock.
    AuthorityDeadline,
    /// Only a heartbeat newer than all seen is evidence.
    ReportOrder,
    /// Tasks start only on a recent read, and cancellations that peers report count at once.
    StartDeadline,
    /// No task starts before all that its job needs is done.
    DependencyCheck,
    /// A job is cancelled along with one that it needs.
    UpstreamCancellation,
    /// A silent machine counts as empty only after its lease.
    LeaseWait,
    /// An inherited quota share counts as used until all machines are reconciled.
    InheritedShares,
    /// Every change names the revisions that it relies on.
    RevisionConditions,
    /// A record of an earlier run of the same controller isn't its own.
    RunNumber,
    /// A job is done only with every task's result.
    CompleteResults,
    /// An owner that its workers don't reach releases its region.
    UnreachedRelease,
    /// A machine pool that comes up badly is rented by probes, with back-off.
    BootTrouble,
    /// A job that fails wherever it runs is retried a few tasks at a time.
    SuspectJobs,
    /// A history of the records other than the known one is noticed.
    KnownHistory,
    /// Workers' reports are compared with the records.
    ReportEvidence,
    /// After a start unknown jobs are neither accepted nor denied until workers have had the
    /// time to report.
    ProvenStart,
    /// The fencing tokens of a hold are above all that were seen.
    SufficientToken,
    /// After a decision on lost records starts wait for machines without a record.
    UnrecordedMachines,
    /// A gang that lacks its team's share keeps others from starting for a limited time only.
    ShareHoldLimit,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Disables one safeguard on this thread from now on, and enables all others.
#[cfg(test)]
pub(crate) fn disable(safeguard: Option<Safeguard>) {
    DISABLED.set(safeguard);
}

/// Runs something on this thread with one safeguard disabled. All are enabled again afterwards,
/// also if it panics.
#[cfg(test)]
pub(crate) fn with_disabled<T>(safeguard: Safeguard, run: impl FnOnce() -> T) -> T {
    struct EnableAll;
    impl Drop for EnableAll {
        fn drop(&mut self) {
            disable(None);
        }
    }
    let _enable_all = EnableAll;
    disable(Some(safeguard));
    run()
}

/// Whether a test has disabled this safeguard.
#[cfg(test)]
pub(crate) fn is_disabled(safeguard: Safeguard) -> bool {
    DISABLED.get() == Some(safeguard)
}

/// Whether a test has disabled this safeguard: never outside tests.
#[cfg(not(test))]
pub(crate) const fn is_disabled(_safeguard: Safeguard) -> bool {
    false
}
