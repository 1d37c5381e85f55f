//! Tests of the reachability of owners.

use super::*;

/// A machine counts once, for a while; a region is kept longer each time.
#[test]
fn redirects_and_releases_are_forgotten() {
    let mut redirects = Redirects::default();
    for (machine, at) in [("m-1", 1), ("m-2", 5), ("m-1", 8)] {
        redirects.record("t-0", machine, at * SECOND);
    }
    for (at, count) in [(8, 2), (16, 2), (18, 1), (20, 0)] {
        redirects.expire(at * SECOND);
        assert_eq!(redirects.count("t-0"), count, "at {at} s");
    }
    let mut releases = Releases::default();
    let mut now = 0;
    for span in [60, 120, 240, 480, 480] {
        releases.suspend_failback("t-0", now);
        assert!(releases.is_failback_suspended("t-0", now + (span - 1) * SECOND));
        now += span * SECOND;
        assert!(!releases.is_failback_suspended("t-0", now), "{span} s");
    }
    assert!(!releases.is_failback_suspended("t-1", now));
}
