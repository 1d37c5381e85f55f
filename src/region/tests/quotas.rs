//! Tests of shares of teams' quotas, and of guarantees.

use salttiller_records::units::{Micros, SECOND};

use super::fixture::{count_starts, heartbeat, Fixture};
use super::test_cluster::TestCluster;
use crate::region::{Action, CommitKind};

/// A share is acquired before there is free capacity. Otherwise a machine that becomes free would
/// stay idle until the share is acquired.
#[test]
fn shares_are_acquired_ahead_of_capacity() {
    let mut fixture = Fixture::new();
    fixture.add_machine("m-1");
    let mut region = fixture.acquire(7, SECOND);
    region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &fixture.context(2 * SECOND));
    region.take_actions();
    fixture.add_job("req-1", "red", "x", "1", 2, 0);
    fixture.set_share("red", 4_000_000);
    region.on_job("req-1", &fixture.context(2 * SECOND));
    region.place_pending(&fixture.context(2 * SECOND));
    assert_eq!(region.running_tasks("req-1"), 2);
    fixture.add_job("req-2", "blue", "x", "1", 1, 0);
    region.on_job("req-2", &fixture.context(3 * SECOND));
    region.tick(&fixture.context(3 * SECOND));
    let is_share_requested = region
        .take_actions()
        .into_iter()
        .any(|action| {
            matches!(action, Action::Commit(_, _, CommitKind::QuotaShare(team)) if team == "blue")
        });
    assert!(is_share_requested);
}

/// A team that floods the region with jobs gets only the remaining capacity: jobs of other teams
/// within their guarantees start at once.
#[test]
fn a_flood_does_not_delay_guaranteed_jobs() {
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
        cluster.run_second(now, None);
    }
    for second in (10..50u64).step_by(10) {
        for n in 0..4 {
            let at = cluster
                .first_starts
                .get(&(format!("req-{second}"), n))
                .copied();
            delays.push(at.unwrap_or(Micros::MAX).saturating_sub(second * SECOND));
        }
    }
    assert!(
        delays.iter().all(|delay| *delay <= 6 * SECOND),
        "guaranteed tasks should start within 6 s, delays: {delays:?}"
    );
    assert!(
        cluster.first_starts.keys().any(|(job, _)| job.len() == 8),
        "jobs of the flood should start, too"
    );
}

/// A team without a guarantee and without a limit gets the capacity that others leave, and needs no
/// recorded share for that.
#[test]
fn a_team_without_a_limit_needs_no_share() {
    let mut fixture = Fixture::new();
    fixture.add_machine("m-1");
    fixture.add_job("req-1", "guest", "x", "0", 3, 0);
    let mut region = fixture.acquire(7, SECOND);
    let context = fixture.context(2 * SECOND);
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &context)),
        2
    );
    region.tick(&context);
    let is_share_commit =
        |action: &Action| matches!(action, Action::Commit(_, _, CommitKind::QuotaShare(_)));
    assert!(!region.take_actions().iter().any(is_share_commit));
}
