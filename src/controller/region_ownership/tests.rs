//! Tests of the ownership state of regions.

use super::*;

const REGION: &str = "r-1";

/// After a conflict, the replica is behind: another acquisition would fail the same way until the
/// replica reaches the revision of the conflict. After other outcomes the next attempt may start at
/// once.
#[test]
fn an_acquisition_waits_for_the_replica_only_after_a_conflict() {
    let outcomes = [
        (CommitOutcome::Committed(7), 0),
        (CommitOutcome::Conflict(7), 7),
        (CommitOutcome::Refused, 0),
        (CommitOutcome::Unknown, 0),
    ];
    for (outcome, awaited) in outcomes {
        let mut ownership = RegionOwnership::default();
        assert!(!ownership.is_pending(REGION, 0));
        ownership.on_acquisition_sent(REGION);
        assert!(ownership.is_pending(REGION, u64::MAX));
        ownership.on_acquisition_committed(REGION.to_owned(), &outcome);
        assert_eq!(
            Acquisition::after(&outcome),
            Acquisition::CatchingUp(awaited)
        );
        assert_eq!(
            ownership.is_pending(REGION, 6),
            awaited > 6,
            "pending at revision 6 after {outcome:?}"
        );
        assert!(
            !ownership.is_pending(REGION, 7),
            "not pending at revision 7 after {outcome:?}"
        );
    }
}

/// After a failed release, the region may still be owned on record although this controller no
/// longer runs it. The region must then be acquired again under a new token.
#[test]
fn a_region_is_reacquired_after_a_failed_release() {
    let outcomes = [
        (CommitOutcome::Committed(7), false),
        (CommitOutcome::Conflict(7), true),
        (CommitOutcome::Refused, true),
        (CommitOutcome::Unknown, true),
    ];
    for (outcome, reacquire) in outcomes {
        let mut ownership = RegionOwnership::default();
        ownership.on_release_sent(REGION);
        assert!(ownership.is_pending(REGION, u64::MAX));
        assert!(!ownership.needs_reacquisition(REGION));
        ownership.on_release_committed(REGION.to_owned(), &outcome);
        assert_eq!(
            ownership.needs_reacquisition(REGION),
            reacquire,
            "reacquisition after {outcome:?}"
        );
        ownership.on_acquisition_sent(REGION);
        assert!(!ownership.needs_reacquisition(REGION));
    }
}

/// The grace period of an unowned region starts when the region is first seen without an owner. A
/// period that continued across owners would end too early.
#[test]
fn the_unowned_time_restarts_after_each_owner() {
    let mut ownership = RegionOwnership::default();
    assert_eq!(ownership.unowned_since(REGION, 5), 5);
    assert_eq!(ownership.unowned_since(REGION, 9), 5);
    ownership.on_owner_recorded(REGION);
    assert_eq!(ownership.unowned_since(REGION, 9), 9);
}
