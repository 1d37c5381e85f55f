//! Shares of teams' quotas and what they guarantee.

use salttiller_records::units::{Micros, SECOND};

use super::fixture::{count_starts, heartbeat, Fixture};
use super::test_cluster::TestCluster;
use crate::region::{Action, CommitKind};

/// A share is acquired before there is free capacity, so that a machine that becomes
/// free isn't idle until the share is there.
#[test]
fn shares_are_acquired_ahead_of_capacity() {
    let mut fixture = Fixture::new();
    fixture.machine("m-1");
    let mut region = fixture.acquire(7, SECOND);
    region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &fixture.context(2 * SECOND));
    region.take_actions();
    fixture.job("req-1", "red", "x", "1", 2, 0);
    fixture.share("red", 4_000_000);
    region.on_job("req-1", &fixture.context(2 * SECOND));
    region.place_pending(&fixture.context(2 * SECOND));
    assert_eq!(region.running_tasks("req-1"), 2);
    fixture.job("req-2", "blue", "x", "1", 1, 0);
    region.on_job("req-2", &fixture.context(3 * SECOND));
    region.tick(&fixture.context(3 * SECOND));
    let asked = region
        .take_actions()
        .into_iter()
        .any(|e| matches!(e, Action::Commit(_, _, CommitKind::QuotaShare(t)) if t == "blue"));
    assert!(asked);
}

/// A team that floods the region with work gets what is left: the others'
/// work within their guarantees starts at once.
#[test]
fn a_flood_leaves_others_their_guarantee() {
    let mut cluster = TestCluster::new(4);
    for i in 0..200 {
        cluster.submit(
            &format!("req-{}", 1000 + i),
            "a",
            "red",
            4,
            1_000_000,
            SECOND + i,
        );
    }
    let mut delays = Vec::new();
    for second in 2..60u64 {
        let now = second * SECOND;
        if second % 10 == 0 {
            cluster.submit(&format!("req-{second}"), "a", "blue", 4, 1_000_000, now);
        }
        cluster.play_second(now, None);
    }
    for second in (10..50u64).step_by(10) {
        for n in 0..4 {
            let at = cluster.began.get(&(format!("req-{second}"), n)).copied();
            delays.push(at.unwrap_or(Micros::MAX).saturating_sub(second * SECOND));
        }
    }
    assert!(
        delays.iter().all(|delay| *delay <= 6 * SECOND),
        "{delays:?}"
    );
    assert!(
        cluster.began.keys().any(|(j, _)| j.len() == 8),
        "the flood is served, too"
    );
}

/// A team without a guarantee and a limit gets what others leave, and needs no share on
/// record for it.
#[test]
fn a_team_without_a_limit_is_served() {
    let mut fixture = Fixture::new();
    fixture.machine("m-1");
    fixture.job("req-1", "guest", "x", "0", 3, 0);
    let mut region = fixture.acquire(7, SECOND);
    let context = fixture.context(2 * SECOND);
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &context)),
        2
    );
    region.tick(&context);
    let shares = |e: &Action| matches!(e, Action::Commit(_, _, CommitKind::QuotaShare(_)));
    assert!(!region.take_actions().iter().any(shares));
}
