//! Tests of the detection of poll storms.

use super::*;
use salttiller_records::units::SECOND;

/// A poll rate of many times the usual rate is a storm. A slow rise is not a storm, and neither is
/// a high multiple of a low usual rate.
#[test]
fn only_sudden_high_rates_are_storms() {
    let mut rate = PollRate::default();
    let mut now = 0;
    let mut sample_second = |polls: u32| {
        (0..polls).for_each(|_| rate.record());
        now += SECOND;
        rate.sample(now)
    };
    for _ in 0..60 {
        assert_eq!(sample_second(10), None);
    }
    for _ in 0..100 {
        let Some(Condition::PollStorm { rate, usual }) = sample_second(80) else {
            panic!("80 polls per second are a storm");
        };
        assert_eq!((rate, usual), (80, 10));
    }
    assert_eq!(sample_second(30), None);
    for polls in (10..200).step_by(5) {
        (0..10).for_each(|_| assert_eq!(sample_second(polls), None, "no storm at {polls} polls"));
    }
    let mut quiet = PollRate::default();
    for (at, polls) in [(1, 1), (2, 1), (3, 15), (4, 1)] {
        (0..polls).for_each(|_| quiet.record());
        assert_eq!(quiet.sample(at * SECOND), None);
    }
}
