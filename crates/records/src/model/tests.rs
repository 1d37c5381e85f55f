//! Tests of job and task names and of range sets.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Guards against invalid names of jobs and tasks that are accepted.
#[test]
fn job_and_task_names_are_validated() {
    for (name, is_id) in [
        ("req-000412", true),
        ("req-", false),
        ("req-12a", false),
        ("job-1", false),
        ("req-123456789012345678901", false),
    ] {
        assert_eq!(is_job_id(name), is_id, "{name}");
    }
    assert_eq!(parse_task("req-000412/3"), Some(("req-000412", 3)));
    for invalid in [
        "req-000412",
        "req-1/x",
        "req-1/",
        "req-1/03",
        "x/1",
        "req-1/-1",
    ] {
        assert_eq!(parse_task(invalid), None, "{invalid}");
    }
}

proptest! {
    /// Guards against a range set that differs from a plain set of the same numbers after any
    /// sequence of insertions and removals, and against stored ranges that are adjacent or overlap.
    #[test]
    fn range_sets_match_plain_sets(ops in proptest::collection::vec((any::<bool>(), 0u32..40, 0u32..12), 0..40)) {
        let mut set = RangeSet::default();
        let mut expected = BTreeSet::new();
        for (is_insertion, start, count) in ops {
            if is_insertion {
                set.insert_range(start, start + count);
                expected.extend(start..start + count);
            } else {
                set.remove_range(start, start + count);
                expected.retain(|number| !(start..start + count).contains(number));
            }
            prop_assert_eq!(set.len() as usize, expected.len());
            prop_assert_eq!(set.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
            let mut previous_end: Option<u32> = None;
            for (start, end) in set.ranges() {
                prop_assert!(start < end && previous_end.is_none_or(|previous| previous < start));
                previous_end = Some(end);
            }
        }
        for (start, end) in [(0, 60), (5, 20), (20, 5), (7, 7), (13, 14)] {
            let within = expected.iter().copied().filter(|number| (start..end).contains(number));
            prop_assert_eq!(set.within(start, end).iter().collect::<Vec<_>>(), within.collect::<Vec<_>>());
        }
        prop_assert_eq!(set.last_n(3).iter().collect::<Vec<_>>(),
            expected.iter().rev().take(3).rev().copied().collect::<Vec<_>>());
    }
}
