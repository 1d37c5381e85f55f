//! Tests of the rate of polls.

use super::*;
use salttiller_records::units::SECOND;

/// Many times the usual rate of polls is a storm, a slow rise and a few more are not.
#[test]
fn a_storm_differs_from_a_rise() {
    let mut rate = PollRate::default();
    let mut now = 0;
    let mut second = |polls: u32| {
        (0..polls).for_each(|_| rate.record());
        now += SECOND;
        rate.sample(now)
    };
    for _ in 0..60 {
        assert_eq!(second(10), None);
    }
    for _ in 0..100 {
        let Some(Condition::PollStorm { rate, usual }) = second(80) else {
            panic!("no storm");
        };
        assert_eq!((rate, usual), (80, 10));
    }
    assert_eq!(second(30), None);
    for polls in (10..200).step_by(5) {
        (0..10).for_each(|_| assert_eq!(second(polls), None, "{polls}"));
    }
    let mut quiet = PollRate::default();
    for (at, polls) in [(1, 1), (2, 1), (3, 15), (4, 1)] {
        (0..polls).for_each(|_| quiet.record());
        assert_eq!(quiet.sample(at * SECOND), None);
    }
}
