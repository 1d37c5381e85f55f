//! Tests of alerts.

use super::*;
use salttiller_records::model::JobSpec;
use salttiller_records::units::SECOND;

fn monitor(margin: f64) -> AlertMonitor {
    let objective = |kind: &str, class: Option<&str>, target: f64| Objective {
        kind: kind.into(),
        class: class.map(Into::into),
        threshold: Some(10 * SECOND),
        target,
    };
    let operator = OperatorSettings {
        alert_window: 100 * SECOND,
        alert_min_jobs: 3,
        alert_recovery_margin: margin,
        ..OperatorSettings::default()
    };
    AlertMonitor::new(
        &[
            objective("wait", Some("x"), 0.5),
            objective("guarantee", None, 0.5),
            objective("useful", None, 0.9),
        ],
        &operator,
    )
}

fn spec(class: &str, submitted: Micros) -> JobSpec {
    let (_, mut spec) = crate::admission::parse_submission(
        &rmp_serde::to_vec(
            &serde_json::json!({"nameId":"req-1","crop":class,"crew":"t","furrow":"batch",
            "rank":"standard","sheaves":1,"cores":1,"cards":0,"memoryGb":1,"seed":"i","sizeGb":1,
            "samePlace":false,"spread":false,"fallow":false,"growthS":1,"stookS":0,"bindS":0}),
        )
        .unwrap(),
        submitted,
    )
    .unwrap();
    spec.submitted_at = submitted;
    spec
}

/// An objective is alerted once when it is breached and once when it has recovered, with no alert
/// in between. Jobs older than the window no longer count, so the objective recovers.
#[test]
fn a_breach_and_its_end_are_alerted_once() {
    let mut monitor = monitor(0.1);
    let start = 1000 * SECOND;
    let mut jobs: Vec<(String, JobSpec, bool)> = Vec::new();
    let mut alerts = Vec::new();
    for step in 0..60u64 {
        let now = start + step * 5 * SECOND;
        // No job starts in the first 100 s, and every job starts at once after that.
        let started = step > 20;
        jobs.push((format!("req-{step}"), spec("x", now), started));
        if jobs.len() > 8 {
            jobs.remove(0);
        }
        let open = jobs.iter().map(|(id, spec, started)| ObservedJob {
            id,
            spec,
            guaranteed: false,
            started: *started,
            pipeline: None,
        });
        let raised = monitor.observe_jobs(open, |_| true, |_| true, now, "no capacity");
        alerts.extend(raised.iter().map(Alert::to_string));
    }
    assert_eq!(alerts.len(), 2, "{alerts:?}");
    assert!(alerts[0].contains("aim behind: x, wait within 10 s: 0% of"));
    assert!(alerts[0].ends_with("likely cause: no capacity"));
    assert!(alerts[1].starts_with("aim met again"));
}
