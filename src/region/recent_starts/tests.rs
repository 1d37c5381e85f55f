//! Tests of the time for which a copy of a start may be executed.

use super::*;

fn start(attempt: u64) -> Start {
    Start {
        machine: "m-1".into(),
        job: "req-1".into(),
        task: 0,
        attempt,
    }
}

/// A start may be repeated until the lifetime of the answer is over, and is forgotten afterwards. A
/// start that is sent again counts from then.
#[test]
fn a_start_may_be_repeated_for_the_lifetime_of_its_answer() {
    let mut starts = RecentStarts::default();
    assert!(!starts.may_be_repeated(&start(1), 0));
    starts.record(start(1), 0);
    for (at, may_be_repeated) in [
        (0, true),
        (ANSWER_LIFETIME, true),
        (ANSWER_LIFETIME + SECOND, false),
    ] {
        assert_eq!(
            starts.may_be_repeated(&start(1), at),
            may_be_repeated,
            "{at}"
        );
    }
    starts.record(start(2), SECOND);
    starts.record(start(1), 3 * SECOND);
    assert!(starts.may_be_repeated(&start(1), 6 * SECOND));
    assert!(!starts.may_be_repeated(&start(2), 6 * SECOND));
    starts.record(start(3), 20 * SECOND);
    assert_eq!(starts.safe_from.len(), 1);
    assert_eq!(starts.by_time.len(), 1);
}
