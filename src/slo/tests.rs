//! Tests of objectives.

use super::objective::judge;
use super::*;

#[test]
fn jobs_count_for_the_objectives_that_they_should() {
    let t = |class: &str, guaranteed, started| TrackedJob {
        submitted: 0,
        deadline: Some(30 * SECOND),
        class: class.into(),
        guaranteed,
        started,
        judged: BTreeSet::new(),
    };
    let o = |kind: &str, class: Option<&str>| Objective {
        kind: kind.into(),
        class: class.map(Into::into),
        threshold: Some(10 * SECOND),
        target: 0.5,
    };
    let s = SECOND;
    for (kind, class, track, finished, wall, want) in [
        (
            "wait",
            Some("x"),
            t("x", false, Some(9 * s)),
            None,
            9 * s,
            Some(true),
        ),
        (
            "wait",
            Some("x"),
            t("x", false, Some(11 * s)),
            None,
            11 * s,
            Some(false),
        ),
        ("wait", Some("x"), t("x", false, None), None, 9 * s, None),
        (
            "wait",
            Some("x"),
            t("x", false, None),
            None,
            11 * s,
            Some(false),
        ),
        ("wait", Some("y"), t("x", false, None), None, 11 * s, None),
        ("guarantee", None, t("x", false, None), None, 11 * s, None),
        (
            "guarantee",
            None,
            t("x", true, None),
            None,
            11 * s,
            Some(false),
        ),
        (
            "finished",
            Some("x"),
            t("x", true, Some(1)),
            Some(9 * s),
            9 * s,
            Some(true),
        ),
        (
            "deadline",
            Some("x"),
            t("x", true, Some(1)),
            Some(29 * s),
            29 * s,
            Some(true),
        ),
        (
            "deadline",
            Some("x"),
            t("x", true, Some(1)),
            None,
            31 * s,
            Some(false),
        ),
    ] {
        assert_eq!(
            judge(
                &o(kind, class),
                Metric::from_name(kind).unwrap(),
                &track,
                finished,
                wall
            ),
            want,
            "{kind} {wall}"
        );
    }
}
