//! Tests of the debounced reporting of conditions.

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

/// A condition that persists is reported once although its figures change, and once more after it
/// has been absent for the delay. A condition that lasts only a moment is not reported.
#[test]
fn a_condition_is_reported_once() {
    let mut watch = ConditionWatch::default();
    let raised = "big spot machines in a come up late or not at all: 4 overdue, the first for 7 s";
    let cleared = "big spot machines in a come up late or not at all";
    for (at, current, expected) in [
        (0, Some(provisioning_failing(2)), None),
        (2, Some(provisioning_failing(3)), None),
        (
            4,
            Some(provisioning_failing(4)),
            Some(Alert::ConditionRaised(raised.into())),
        ),
        (6, Some(provisioning_failing(9)), None),
        (8, None, None),
        (30, Some(provisioning_failing(1)), None),
        (58, None, None),
        (62, None, Some(Alert::ConditionCleared(cleared.into()))),
        (64, Some(provisioning_failing(2)), None),
        (70, None, None),
        (72, Some(provisioning_failing(2)), None),
        (74, Some(provisioning_failing(2)), None),
    ] {
        let alerts = watch.observe(current.into_iter().collect(), at * SECOND);
        assert_eq!(alerts, Vec::from_iter(expected), "alerts at {at} s");
    }
}

fn reported_count(watch: &ConditionWatch) -> usize {
    let conditions = watch.tracked.values();
    conditions
        .filter(|tracked| tracked.state == ConditionState::Reported)
        .count()
}

/// If many conditions occur at once, only a few are reported by name and the others are counted.
/// The number of tracked conditions stays within its bound.
#[test]
fn excess_conditions_are_counted() {
    let mut watch = ConditionWatch::default();
    let many = || (0..2_000).map(job_failing).collect::<Vec<_>>();
    assert!(watch.observe(many(), SECOND).is_empty());
    let alerts = watch.observe(many(), 5 * SECOND);
    assert_eq!(alerts.len(), MAX_NAMED_ALERTS + 1);
    let unnamed = MAX_TRACKED - MAX_NAMED_ALERTS;
    assert_eq!(alerts[3], Alert::ConditionRaised(format!("{unnamed} more")));
    assert_eq!(reported_count(&watch), MAX_TRACKED);
    assert!(watch.observe(many(), 7 * SECOND).is_empty());
    assert!(watch.observe(Vec::new(), 60 * SECOND).len() <= MAX_NAMED_ALERTS);
    assert_eq!(reported_count(&watch), 0);
}
