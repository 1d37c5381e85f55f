//! Tests of the watch over pipelines.

use super::*;

fn step(last: &'static str, late_s: i64) -> Step<'static> {
    let due = 1_000 * SECOND;
    Step {
        id: "req-1",
        last,
        class: "x",
        deadline: 100 * SECOND,
        due,
        expected: (due as i64 + late_s * SECOND as i64) as Micros,
    }
}

/// One signal when a pipeline falls behind, none while it stays so or wavers about its
/// deadline, one when it is well in time again.
#[test]
fn a_pipeline_is_reported_once() {
    let mut watch = PipelineWatch::new(0.05);
    // How late the slowest step is, whether the pipeline is open, and what is told.
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
    for (i, (late, open, told)) in rounds.into_iter().enumerate() {
        let steps = [step("req-9", late), step("req-9", late - 3)];
        let signals = watch.observe(steps.into_iter(), |_| open, "no capacity");
        let kinds: Vec<&str> = signals
            .iter()
            .map(|s| match s {
                Alert::PipelineLate(_) => "behind",
                _ => "in time",
            })
            .collect();
        assert_eq!(kinds.join(","), told, "round {i}");
    }
    let none = watch.observe(std::iter::empty(), |_| false, "");
    assert!(
        none.is_empty() && watch.late_count() == 0,
        "over is forgotten"
    );
}

/// Many that fall behind at once are counted, not named one by one.
#[test]
fn many_pipelines_are_counted() {
    let mut watch = PipelineWatch::new(0.05);
    let names = ["req-1", "req-2", "req-3", "req-4", "req-5"];
    let steps = names.into_iter().map(|last| step(last, 12));
    let signals = watch.observe(steps, |_| true, "backlog");
    assert_eq!(signals.len(), NAMED_AT_ONCE + 1);
    let first = signals[0].to_string();
    assert_eq!(
        first,
        "pipeline behind: req-1 of x: 12 s late by the estimates, req-1 is next, \
         likely cause: backlog"
    );
    assert_eq!(signals[3].to_string(), "pipeline behind: 2 more");
    assert_eq!(watch.late_count(), 5);
}

#[test]
fn ends_are_expected_by_the_estimate() {
    let s = SECOND;
    for (started, estimate, now, end) in [
        (None, 10 * s, 100 * s, 110 * s),
        (Some(95 * s), 10 * s, 100 * s, 105 * s),
        (Some(50 * s), 10 * s, 100 * s, 101 * s),
    ] {
        assert_eq!(expected_end(started, estimate, now), end);
    }
}
