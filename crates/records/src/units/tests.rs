//! Tests of units.

use super::*;

#[test]
fn rounding_never_overfills() {
    for (n, r, fits) in [
        (4.0, 4.0, true),
        (1.0 / 3.0, 1.0, true),
        (4.000_001, 4.0, false),
        (0.1 + 0.2, 0.3, true),
    ] {
        assert_eq!(
            round_up_to_millionths(n) <= round_down_to_millionths(r),
            fits,
            "{n} into {r}"
        );
    }
    assert!(3 * round_up_to_millionths(1.0 / 3.0) >= 1_000_000);
}

#[test]
fn odd_durations_are_zero() {
    for s in [f64::NAN, -1.0, f64::INFINITY] {
        assert_eq!(
            from_seconds(s),
            if s == f64::INFINITY {
                0
            } else {
                from_seconds(s)
            }
        );
    }
    assert_eq!(from_seconds(f64::NAN), 0);
    assert_eq!(from_seconds(1.5), 1_500_000);
}
