//! Tests of the arrival rate.

use super::*;

/// Guards against a wrong rate for steady work: 4 processor-seconds submitted every half second
/// are a rate of 8 processors. The first seconds of a term are not counted, and there is no rate
/// before the minimum measurement time.
#[test]
fn rate_of_steady_work() {
    // First and last submission and time of the query, all in seconds; expected rate.
    for (first, last, now, expected) in [
        (0, 12, 12, None),
        (0, 31, 31, None),
        (0, 32, 32, Some(8.0)),
        (0, 100, 100, Some(8.0)),
        (0, 300, 300, Some(8.0)),
        // All submissions have left the window.
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
