//! Tests of the detection of unreachable owners.

use super::*;

/// Each machine counts once and only within the redirect window. The failback backoff doubles with
/// each suspension up to its maximum.
#[test]
fn redirects_expire_and_the_failback_backoff_doubles() {
    let mut redirects = Redirects::default();
    for (machine, at) in [("m-1", 1), ("m-2", 5), ("m-1", 8)] {
        redirects.record("t-0", machine, at * SECOND);
    }
    for (at, count) in [(8, 2), (16, 2), (18, 1), (20, 0)] {
        redirects.expire(at * SECOND);
        assert_eq!(redirects.count("t-0"), count, "redirects at {at} s");
    }
    let mut releases = Releases::default();
    let mut now = 0;
    for span in [60, 120, 240, 480, 480] {
        releases.suspend_failback("t-0", now);
        assert!(releases.is_failback_suspended("t-0", now + (span - 1) * SECOND));
        now += span * SECOND;
        assert!(
            !releases.is_failback_suspended("t-0", now),
            "suspension ends after {span} s"
        );
    }
    assert!(!releases.is_failback_suspended("t-1", now));
}
