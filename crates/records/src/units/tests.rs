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
        assert_eq!(need(n) <= room(r), fits, "{n} into {r}");
    }
    assert!(3 * need(1.0 / 3.0) >= 1_000_000);
}

#[test]
fn odd_durations_are_zero() {
    for s in [f64::NAN, -1.0, f64::INFINITY] {
        assert_eq!(secs(s), if s == f64::INFINITY { 0 } else { secs(s) });
    }
    assert_eq!(secs(f64::NAN), 0);
    assert_eq!(secs(1.5), 1_500_000);
}
