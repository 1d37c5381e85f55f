//! Tests of the evaluation of jobs against objectives.

use super::objective::evaluate;
use super::*;

/// A job is evaluated only for objectives of its own class, and for the guarantee metric only
/// within its team's guarantee. The result stays open until the job meets or misses the threshold
/// or its deadline.
#[test]
fn jobs_are_evaluated_for_applicable_objectives() {
    let job = |class: &str, guaranteed, started| TrackedJob {
        submitted: 0,
        deadline: Some(30 * SECOND),
        class: class.into(),
        guaranteed,
        started,
        evaluated: BTreeSet::new(),
    };
    let objective = |kind: &str, class: Option<&str>| Objective {
        kind: kind.into(),
        class: class.map(Into::into),
        threshold: Some(10 * SECOND),
        target: 0.5,
    };
    let s = SECOND;
    for (kind, class, job, finished, now, expected) in [
        (
            "wait",
            Some("x"),
            job("x", false, Some(9 * s)),
            None,
            9 * s,
            Some(true),
        ),
        (
            "wait",
            Some("x"),
            job("x", false, Some(11 * s)),
            None,
            11 * s,
            Some(false),
        ),
        ("wait", Some("x"), job("x", false, None), None, 9 * s, None),
        (
            "wait",
            Some("x"),
            job("x", false, None),
            None,
            11 * s,
            Some(false),
        ),
        ("wait", Some("y"), job("x", false, None), None, 11 * s, None),
        ("guarantee", None, job("x", false, None), None, 11 * s, None),
        (
            "guarantee",
            None,
            job("x", true, None),
            None,
            11 * s,
            Some(false),
        ),
        (
            "finished",
            Some("x"),
            job("x", true, Some(1)),
            Some(9 * s),
            9 * s,
            Some(true),
        ),
        (
            "deadline",
            Some("x"),
            job("x", true, Some(1)),
            Some(29 * s),
            29 * s,
            Some(true),
        ),
        (
            "deadline",
            Some("x"),
            job("x", true, Some(1)),
            None,
            31 * s,
            Some(false),
        ),
    ] {
        assert_eq!(
            evaluate(
                &objective(kind, class),
                Metric::from_name(kind).unwrap(),
                &job,
                finished,
                now
            ),
            expected,
            "{kind} evaluated at {now} us"
        );
    }
}
