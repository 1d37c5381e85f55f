//! Fault injection for tests.
//!
//! Each [`Safeguard`] is one part of the safety argument in docs/safety.md. A test can disable a
//! safeguard on its own thread to verify that the tests detect the lack of that safeguard.
//!
//! The code of a safeguard checks [`is_disabled`]. Outside tests this function is a constant
//! `false`, so no safeguard can be disabled. `src/simulation.rs` describes the simulated days that
//! need each safeguard.

/// A part of the safety argument that a test can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A new owner reconciles every machine of its region before it restarts tasks.
    Reconciliation,
    /// An owner's authority ends at a deadline of the owner's own clock.
    AuthorityDeadline,
    /// A heartbeat is applied only if it is newer than all earlier ones of its machine.
    HeartbeatOrder,
    /// Tasks are started only after a recent read of the state service, and cancellations that
    /// peers report take effect immediately.
    StartDeadline,
    /// No task starts before all dependencies of its job are done.
    DependencyCheck,
    /// A job is cancelled when one of its dependencies is cancelled.
    UpstreamCancellation,
    /// A machine without heartbeats counts as running no task only after its lease has expired.
    LeaseWait,
    /// An inherited quota share counts as used until all machines are reconciled.
    InheritedShares,
    /// Every transaction is conditional on the revisions of the records it relies on.
    RevisionConditions,
    /// A controller does not treat the records of its earlier incarnations as its own.
    Incarnation,
    /// A job is done only when the results of all its tasks are known.
    CompleteResults,
    /// An owner that its workers cannot reach releases its region.
    UnreachableOwnerRelease,
    /// While the provisioning of a machine pool is degraded, machines are rented as probes with
    /// backoff.
    DegradedProvisioning,
    /// A job that fails on every machine is retried a few tasks at a time.
    SuspectJobs,
    /// A history of the records that differs from the known history is detected.
    KnownHistory,
    /// Workers' heartbeats are checked against the records for evidence of data loss.
    HeartbeatEvidence,
    /// After a start, a controller neither accepts nor rejects unknown jobs until workers have had
    /// time to send heartbeats.
    VerifiedStart,
    /// The fencing tokens issued during a data-loss hold exceed all tokens seen before.
    SufficientToken,
    /// After the operators' decision on lost records, no task starts until the leases of machines
    /// without a record have expired.
    UnrecordedMachines,
    /// An indivisible job leaves its region only if every task without a result is pending.
    WholeJobMoves,
    /// An indivisible job leaves its region only if no task of it is on a machine.
    EmptyMachinesLeft,
    /// A task with a result leaves its region only if the result is on record.
    RecordedResults,
    /// The end of a task is acted upon only when no copy of its start can be executed any more.
    StartCopies,
    /// A gang that waits for its team's quota share blocks other jobs only for a limited time.
    ShareHoldLimit,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Disables one safeguard on this thread, or none, and enables all others.
#[cfg(test)]
pub(crate) fn disable(safeguard: Option<Safeguard>) {
    DISABLED.set(safeguard);
}

/// Runs a closure on this thread with one safeguard disabled. All safeguards are enabled again
/// afterwards, also if the closure panics.
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

/// Whether a test has disabled this safeguard, which is never the case outside tests.
#[cfg(not(test))]
pub(crate) const fn is_disabled(_safeguard: Safeguard) -> bool {
    false
}
