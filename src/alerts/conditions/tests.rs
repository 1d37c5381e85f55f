//! Tests of conditions.

use super::*;

fn fails(n: u32) -> Condition {
    Condition::JobFailing {
        job: format!("req-{n:06}"),
        team: "red".into(),
        class: "x".into(),
    }
}

fn boots(overdue: u32) -> Condition {
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
        (0, Some(boots(2)), None),
        (2, Some(boots(3)), None),
        (
            4,
            Some(boots(4)),
            Some(Alert::ConditionRaised(report.into())),
        ),
        (6, Some(boots(9)), None),
        (8, None, None),
        (30, Some(boots(1)), None),
        (58, None, None),
        (62, None, Some(Alert::ConditionCleared(over.into()))),
        (64, Some(boots(2)), None),
        (70, None, None),
        (72, Some(boots(2)), None),
        (74, Some(boots(2)), None),
    ] {
        let got = watch.observe(current.into_iter().collect(), at * SECOND);
        assert_eq!(got, Vec::from_iter(want), "at {at} s");
    }
}

/// Many at once are counted, not named, and no more are remembered than the bound.
#[test]
fn many_conditions_are_counted() {
    let mut watch = ConditionWatch::default();
    let many = || (0..2_000).map(fails).collect::<Vec<_>>();
    assert!(watch.observe(many(), SECOND).is_empty());
    let told = watch.observe(many(), 5 * SECOND);
    assert_eq!(told.len(), NAMED_AT_ONCE + 1);
    let rest = MAX_REMEMBERED - NAMED_AT_ONCE;
    assert_eq!(told[3], Alert::ConditionRaised(format!("{rest} more")));
    assert_eq!(watch.raised().count(), MAX_REMEMBERED);
    assert!(watch.observe(many(), 7 * SECOND).is_empty());
    assert!(watch.observe(Vec::new(), 60 * SECOND).len() <= NAMED_AT_ONCE);
    assert_eq!(watch.raised().count(), 0);
}
