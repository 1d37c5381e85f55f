//! Tests of the arrival rate.

use super::*;

/// Work of 8 processors a second, submitted every half second, is a rate of 8 processors; the
/// first seconds of a term are left out, and nothing is said of too short a time.
#[test]
fn rate_of_steady_work() {
    // First and last submission, time of the question, rate (both in seconds).
    for (first, last, now, expected) in [
        (0, 12, 12, None),
        (0, 31, 31, None),
        (0, 32, 32, Some(8.0)),
        (0, 100, 100, Some(8.0)),
        (0, 300, 300, Some(8.0)),
        // All that came has left the window.
        (0, 100, 300, Some(0.0)),
    ] {
        let mut arrivals = ArrivalRate::new(0);
        for half_seconds in 2 * first..2 * last {
            arrivals.add(4.0 * SECOND as f64, half_seconds * SECOND / 2);
        }
        let rate = arrivals.rate(now * SECOND);
        let case = format!("{first} to {last} at {now}: {rate:?}");
        assert_eq!(rate.is_some(), expected.is_some(), "{case}");
        if let (Some(rate), Some(expected)) = (rate, expected) {
            assert!((rate - expected).abs() < 0.1, "{case}");
        }
    }
}
