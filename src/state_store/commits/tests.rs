//! Tests of the rate of changes.

use super::write_rate::min_write_rate;
use super::*;
use crate::state_store::lease::LeaseStep;

/// However often all controllers are refused, together they stay below the limit, and the
/// leader keeps the greater part of it.
#[test]
fn minimum_rates_fit_under_the_limit() {
    for (limit, controllers) in [(18.0, 5.0), (25.0, 5.0), (50.0, 3.0), (10.0, 1.0)] {
        let leader = min_write_rate(limit, controllers, true);
        let other = min_write_rate(limit, controllers, false);
        let all = leader + other * (controllers - 1.0);
        assert!(all < limit && all > limit * 0.9, "{limit}, {controllers}");
        assert!(leader >= 2.0 * other, "{limit}, {controllers}");
    }
}

/// A refusal for the rate brings a controller down to its least share and no further; the
/// leader's is the greater.
#[test]
fn refusals_lower_the_rate_to_its_minimum() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let rate_after = |leads: bool| {
        let mut store = StateStore::new(&settings);
        if leads {
            store.leader_lease.request();
            assert_eq!(store.leader_lease.next_step(0), LeaseStep::Acquire);
            store.leader_lease.granted(1);
        }
        for _ in 0..40 {
            let commit = PendingCommit {
                ticket: 1,
                transaction: Transaction {
                    conditions: Vec::new(),
                    changes: Vec::new(),
                    lease: None,
                },
                priority: CommitPriority::Background,
                requested_at: 0,
                deadline: None,
                not_before: 0,
                sent_at: 0,
                may_be_committed: false,
            };
            store.commits.in_flight += 1;
            let refused = Ok(Response::new(429, Vec::new()));
            store.on_commit_response(commit, refused, 0, &mut Vec::new());
        }
        store.commits.write_rate.rate()
    };
    let (leader, other) = (rate_after(true), rate_after(false));
    assert!(
        (leader - min_write_rate(50.0, 3.0, true)).abs() < 1e-6,
        "{leader}"
    );
    assert!(
        (other - min_write_rate(50.0, 3.0, false)).abs() < 1e-6,
        "{other}"
    );
}
