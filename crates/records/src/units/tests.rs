//! Tests of the conversions of times and amounts.

use super::*;

/// Guards against rounding that lets a task fit into a smaller capacity, and against floating-point
/// errors that keep a task from an equal capacity.
#[test]
fn rounding_never_overcommits() {
    for (need, capacity, fits) in [
        (4.0, 4.0, true),
        (1.0 / 3.0, 1.0, true),
        (4.000_001, 4.0, false),
        (0.1 + 0.2, 0.3, true),
    ] {
        assert_eq!(
            round_up_to_millionths(need) <= round_down_to_millionths(capacity),
            fits,
            "need {need}, capacity {capacity}"
        );
    }
    assert!(3 * round_up_to_millionths(1.0 / 3.0) >= 1_000_000);
}

/// Guards against non-finite durations that are converted to a time.
#[test]
fn invalid_durations_are_zero() {
    for seconds in [f64::NAN, -1.0, f64::INFINITY] {
        assert_eq!(
            from_seconds(seconds),
            if seconds == f64::INFINITY {
                0
            } else {
                from_seconds(seconds)
            }
        );
    }
    assert_eq!(from_seconds(f64::NAN), 0);
    assert_eq!(from_seconds(1.5), 1_500_000);
}
