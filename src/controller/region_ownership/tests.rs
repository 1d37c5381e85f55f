//! Tests of the state of ownership.

use super::*;

const REGION: &str = "r-1";

/// Whether a transaction on the region is in progress after its commit ended, by the replica's
/// revision.
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
        assert_eq!(ownership.is_pending(REGION, 6), awaited > 6, "{outcome:?}");
        assert!(!ownership.is_pending(REGION, 7), "{outcome:?}");
    }
}

/// A region whose release failed is acquired again under a new token.
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
        assert!(!ownership.is_to_be_reacquired(REGION));
        ownership.on_release_committed(REGION.to_owned(), &outcome);
        assert_eq!(
            ownership.is_to_be_reacquired(REGION),
            reacquire,
            "{outcome:?}"
        );
        ownership.on_acquisition_sent(REGION);
        assert!(!ownership.is_to_be_reacquired(REGION));
    }
}

/// The time without an owner counts from when it was first seen, anew after each owner.
#[test]
fn the_time_without_an_owner_begins_anew_after_each_owner() {
    let mut ownership = RegionOwnership::default();
    assert_eq!(ownership.unowned_since(REGION, 5), 5);
    assert_eq!(ownership.unowned_since(REGION, 9), 5);
    ownership.on_owner_recorded(REGION);
    assert_eq!(ownership.unowned_since(REGION, 9), 9);
}
