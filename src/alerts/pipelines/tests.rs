//! Tests of the detection of late pipelines.

use super::*;

fn step(last_job: &'static str, late_s: i64) -> Step<'static> {
    let due = 1_000 * SECOND;
    Step {
        id: "req-1",
        last_job,
        class: "x",
        deadline: 100 * SECOND,
        due,
        expected_end: (due as i64 + late_s * SECOND as i64) as Micros,
    }
}

/// A pipeline is reported once when it becomes late and once when it has recovered by the margin.
/// Between the two, an expected end that fluctuates around the deadline raises no alert.
#[test]
fn a_pipeline_is_reported_once() {
    let mut watch = PipelineWatch::new(0.05);
    // Lateness of the most delayed step in seconds, whether the pipeline is open, and the alert
    // that is expected.
    let rounds = [
        (-1, true, ""),
        (0, true, ""),
        (1, true, "behind"),
        (30, true, ""),
        (-1, true, ""),
        (2, true, ""),
        (-4, true, ""),
        (-5, true, "in time"),
        (-1, true, ""),
        (7, true, "behind"),
        (7, false, "behind"),
    ];
    for (i, (late_s, is_open, expected)) in rounds.into_iter().enumerate() {
        let steps = [step("req-9", late_s), step("req-9", late_s - 3)];
        let alerts = watch.observe(steps.into_iter(), |_| is_open, "no capacity");
        let kinds: Vec<&str> = alerts
            .iter()
            .map(|alert| match alert {
                Alert::PipelineLate(_) => "behind",
                _ => "in time",
            })
            .collect();
        assert_eq!(kinds.join(","), expected, "alerts of round {i}");
    }
    let none = watch.observe(std::iter::empty(), |_| false, "");
    assert!(
        none.is_empty() && watch.late_count() == 0,
        "a pipeline that has ended is no longer tracked"
    );
}

/// If many pipelines become late at once, only a few are reported by name and the others are
/// counted.
#[test]
fn excess_late_pipelines_are_counted() {
    let mut watch = PipelineWatch::new(0.05);
    let names = ["req-1", "req-2", "req-3", "req-4", "req-5"];
    let steps = names.into_iter().map(|last_job| step(last_job, 12));
    let alerts = watch.observe(steps, |_| true, "backlog");
    assert_eq!(alerts.len(), MAX_NAMED_ALERTS + 1);
    let first = alerts[0].to_string();
    assert_eq!(
        first,
        "pipeline behind: req-1 of x: 12 s late by the estimates, req-1 is next, \
         likely cause: backlog"
    );
    assert_eq!(alerts[3].to_string(), "pipeline behind: 2 more");
    assert_eq!(watch.late_count(), 5);
}

/// A step that has not started is expected to end one estimate from now, and a running step one
/// estimate after its start. A step that has exceeded its estimate is expected to end in a second.
#[test]
fn expected_end_follows_estimate() {
    let s = SECOND;
    for (started, estimate, now, expected) in [
        (None, 10 * s, 100 * s, 110 * s),
        (Some(95 * s), 10 * s, 100 * s, 105 * s),
        (Some(50 * s), 10 * s, 100 * s, 101 * s),
    ] {
        assert_eq!(expected_end(started, estimate, now), expected);
    }
}
