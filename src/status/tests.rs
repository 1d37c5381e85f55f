//! Tests of status.

use super::*;
use crate::peer_protocol::RegionStatus;

fn aims(margin: f64) -> AlertMonitor {
    let o = |kind: &str, class: Option<&str>, share: f64| Objective {
        kind: kind.into(),
        class: class.map(Into::into),
        threshold: Some(10 * SECOND),
        target: share,
    };
    let op = OperatorSettings {
        alert_window: 100 * SECOND,
        alert_min_jobs: 3,
        alert_recovery_margin: margin,
        ..OperatorSettings::default()
    };
    AlertMonitor::new(
        &[
            o("wait", Some("x"), 0.5),
            o("guarantee", None, 0.5),
            o("useful", None, 0.9),
        ],
        &op,
    )
}

fn spec(class: &str, submitted: Micros) -> JobSpec {
    let (_, mut s) = crate::admission::parse_submission(
        &rmp_serde::to_vec(
            &serde_json::json!({"nameId":"req-1","crop":class,"crew":"t","furrow":"batch",
            "rank":"standard","sheaves":1,"cores":1,"cards":0,"memoryGb":1,"seed":"i","sizeGb":1,
            "samePlace":false,"spread":false,"fallow":false,"growthS":1,"stookS":0,"bindS":0}),
        )
        .unwrap(),
        submitted,
    )
    .unwrap();
    s.submitted_at = submitted;
    s
}

/// One signal when an aim falls behind, none while it stays so, one when it
/// is well met again; what is older than the window no longer counts.
#[test]
fn signals_come_once() {
    let mut a = aims(0.1);
    let t0 = 1000 * SECOND;
    let mut jobs: Vec<(String, JobSpec, bool)> = Vec::new();
    let mut signals = Vec::new();
    for step in 0..60u64 {
        let now = t0 + step * 5 * SECOND;
        // For the first 100 s nothing starts, later all does at once.
        let started = step > 20;
        jobs.push((format!("req-{step}"), spec("x", now), started));
        if jobs.len() > 8 {
            jobs.remove(0);
        }
        let open = jobs.iter().map(|(id, s, st)| ObservedJob {
            id,
            spec: s,
            guaranteed: false,
            started: *st,
            pipeline: None,
        });
        let told = a.observe_jobs(open, |_| true, |_| true, now, "no capacity");
        signals.extend(told.iter().map(Alert::to_string));
    }
    assert_eq!(signals.len(), 2, "{signals:?}");
    assert!(signals[0].contains("aim behind: x, wait within 10 s: 0% of"));
    assert!(signals[0].ends_with("likely cause: no capacity"));
    assert!(signals[1].starts_with("aim met again"));
}

#[test]
fn jobs_count_where_they_should() {
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
            judge(&o(kind, class), &track, finished, wall),
            want,
            "{kind} {wall}"
        );
    }
}

/// The page as `salttiller status --json` prints it, to the byte.
#[test]
fn the_page_as_json() {
    let region = |region: &str, owner: Option<&str>, settled| RegionStatus {
        region: region.into(),
        owner: owner.map(Into::into),
        token: 9,
        reconciled: settled,
        machines: 3,
        ready_machines: 2,
        pending_tasks: 1,
    };
    let aim = |aim: &str, share, behind| ObjectiveStatus {
        objective: aim.into(),
        met: 4,
        total: 5,
        target: share,
        breached: behind,
    };
    let full = Status {
        name: "t-0".into(),
        incarnation: 7,
        leader: Some("t-1".into()),
        authority_remaining_us: 1_500_000,
        reads_recent: true,
        regions: vec![region("t-0", Some("t-0"), true), region("t-1", None, false)],
        pending_tasks: vec![("train".into(), 6), ("web".into(), 0)],
        objectives: vec![
            aim("train, wait within 10 s", 0.95, true),
            aim("guarantee", 1.0, false),
        ],
        alerts: vec!["aim behind".into()],
    };
    let cases = [
        (full, include_str!("fixtures/full.json")),
        (Status::default(), include_str!("fixtures/bare.json")),
    ];
    for (page, text) in cases {
        let printed = format!("{}\n", serde_json::to_string(&page).unwrap());
        assert_eq!(printed, text);
    }
}
