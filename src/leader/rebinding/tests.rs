//! Tests of the pauses between requests to rebind a job.

use super::*;

/// Guards against a plan that counts on capacity elsewhere without end, for a job that its owner does
/// not hand over: each request without effect lengthens the pause, up to a bound. A request that
/// changed the job's record resets it.
#[test]
fn requests_without_effect_lengthen_the_pause() {
    let mut requests = RecentRebindings::default();
    let mut now = SECOND;
    for (record_version, without_effect, pause) in [
        (5, 0, 2 * SECOND),
        (5, 1, 2 * SECOND),
        (5, 2, 2 * SECOND),
        (5, 3, 2 * SECOND),
        (5, 4, 2 * SECOND),
        (5, 5, 2 * SECOND),
        (5, 6, 4 * SECOND),
        (5, 7, 8 * SECOND),
        (5, 8, 16 * SECOND),
        (5, 9, 32 * SECOND),
        (5, 10, 32 * SECOND),
        (6, 0, 2 * SECOND),
        (7, 0, 2 * SECOND),
        (7, 1, 2 * SECOND),
    ] {
        assert!(!requests.is_paused("req-1", now));
        let counted = requests.insert("req-1", record_version, REBINDING_PAUSE, now);
        assert_eq!(counted, without_effect, "version {record_version}");
        assert!(requests.is_paused("req-1", now + pause - 1));
        assert!(!requests.is_paused("req-1", now + pause));
        now += pause;
        requests.expire(now);
    }
    assert!(!requests.is_paused("req-2", now));
    requests.expire(now + REQUEST_MEMORY);
    assert!(requests.requests.is_empty());
}

/// A request with a longer pause keeps it until the pause for requests without effect is longer.
#[test]
fn a_longer_pause_is_kept() {
    let mut requests = RecentRebindings::default();
    for _ in 0..TOLERATED_REQUESTS {
        requests.insert("req-1", 1, 12 * SECOND, 0);
    }
    for (at, pause) in [(20, 12), (40, 12), (60, 12), (80, 16), (100, 32)] {
        requests.insert("req-1", 1, 12 * SECOND, at * SECOND);
        assert!(
            requests.is_paused("req-1", (at + pause) * SECOND - 1),
            "{at}"
        );
        assert!(!requests.is_paused("req-1", (at + pause) * SECOND), "{at}");
    }
}
