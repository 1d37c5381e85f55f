//! Tests of names and range sets.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn names_of_jobs_and_tasks() {
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
    for bad in [
        "req-000412",
        "req-1/x",
        "req-1/",
        "req-1/03",
        "x/1",
        "req-1/-1",
    ] {
        assert_eq!(parse_task(bad), None, "{bad}");
    }
}

proptest! {
    /// Ranges behave as a plain set of the same numbers.
    #[test]
    fn ranges_are_sets(ops in proptest::collection::vec((any::<bool>(), 0u32..40, 0u32..12), 0..40)) {
        let mut set = RangeSet::default();
        let mut expected = BTreeSet::new();
        for (add, at, n) in ops {
            if add {
                set.insert_range(at, at + n);
                expected.extend(at..at + n);
            } else {
                set.remove_range(at, at + n);
                expected.retain(|x| !(at..at + n).contains(x));
            }
            prop_assert_eq!(set.len() as usize, expected.len());
            prop_assert_eq!(set.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
            let mut prev: Option<u32> = None;
            for (a, b) in set.ranges() {
                prop_assert!(a < b && prev.is_none_or(|p| p < a));
                prev = Some(b);
            }
        }
        prop_assert_eq!(set.last_n(3).iter().collect::<Vec<_>>(),
            expected.iter().rev().take(3).rev().copied().collect::<Vec<_>>());
    }
}
