//! Tests of the write rate limit.

use super::write_rate::min_write_rate;
use super::*;
use crate::state_store::lease::LeaseStep;

/// Guards against minimum write rates that add up to more than the limit when all controllers
/// are refused repeatedly. The leader keeps the largest share.
#[test]
fn minimum_rates_fit_under_the_limit() {
    for (limit, controllers) in [(18.0, 5.0), (25.0, 5.0), (50.0, 3.0), (10.0, 1.0)] {
        let leader = min_write_rate(limit, controllers, true);
        let other = min_write_rate(limit, controllers, false);
        let all = leader + other * (controllers - 1.0);
        assert!(
            all < limit && all > limit * 0.9,
            "limit {limit}, {controllers} controllers: total {all} isn't within 90 to 100 %"
        );
        assert!(
            leader >= 2.0 * other,
            "limit {limit}, {controllers} controllers: leader {leader}, others {other}"
        );
    }
}

/// Guards against repeated 429 responses that lower a controller's write rate below its
/// minimum. The leader's minimum is higher than that of the others.
#[test]
fn refusals_lower_the_rate_to_its_minimum() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let rate_after = |is_leader: bool| {
        let mut store = StateStore::new(&settings);
        if is_leader {
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
        "rate of the leader is {leader}, expected its minimum"
    );
    assert!(
        (other - min_write_rate(50.0, 3.0, false)).abs() < 1e-6,
        "rate of another controller is {other}, expected its minimum"
    );
}
