//! Tests of conditions.

use super::*;

fn job_failing(n: u32) -> Condition {
    Condition::JobFailing {
        job: format!("req-{n:06}"),
        team: "red".into(),
        class: "x".into(),
    }
}

fn provisioning_failing(overdue: u32) -> Condition {
    Condition::ProvisioningFailing {
        machine_type: "big".into(),
        zone: "a".into(),
        spot: true,
        overdue,
        since: 7 * SECOND,
    }
}

/// A condition is reported once with its figures when it has lasted, though these change,
/// and once when it has been over for a while; a moment of it is no news.
#[test]
fn a_condition_is_reported_once() {
    let mut watch = ConditionWatch::default();
    let report = "big spot machines in a come up late or not at all: 4 overdue, the first for 7 s";
    let over = "big spot machines in a come up late or not at all";
    for (at, current, want) in [
        (0, Some(provisioning_failing(2)), None),
        (2, Some(provisioning_failing(3)), None),
        (
            4,
            Some(provisioning_failing(4)),
            Some(Alert::ConditionRaised(report.into())),
        ),
        (6, Some(provisioning_failing(9)), None),
        (8, None, None),
        (30, Some(provisioning_failing(1)), None),
        (58, None, None),
        (62, None, Some(Alert::ConditionCleared(over.into()))),
        (64, Some(provisioning_failing(2)), None),
        (70, None, None),
        (72, Some(provisioning_failing(2)), None),
        (74, Some(provisioning_failing(2)), None),
    ] {
        let got = watch.observe(current.into_iter().collect(), at * SECOND);
        assert_eq!(got, Vec::from_iter(want), "at {at} s");
    }
}

fn reported(watch: &ConditionWatch) -> usize {
    let conditions = watch.tracked.values();
    conditions
        .filter(|tracked| tracked.state == ConditionState::Reported)
        .count()
}

/// Many at once are counted, not named, and no more are remembered than the bound.
#[test]
fn many_conditions_are_counted() {
    let mut watch = ConditionWatch::default();
    let many = || (0..2_000).map(job_failing).collect::<Vec<_>>();
    assert!(watch.observe(many(), SECOND).is_empty());
    let alerts = watch.observe(many(), 5 * SECOND);
    assert_eq!(alerts.len(), NAMED_AT_ONCE + 1);
    let rest = MAX_REMEMBERED - NAMED_AT_ONCE;
    assert_eq!(alerts[3], Alert::ConditionRaised(format!("{rest} more")));
    assert_eq!(reported(&watch), MAX_REMEMBERED);
    assert!(watch.observe(many(), 7 * SECOND).is_empty());
    assert!(watch.observe(Vec::new(), 60 * SECOND).len() <= NAMED_AT_ONCE);
    assert_eq!(reported(&watch), 0);
}
