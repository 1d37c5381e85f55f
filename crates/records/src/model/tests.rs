//! Tests of model.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn names() {
    for (s, ok) in [
        ("req-000412", true),
        ("req-", false),
        ("req-12a", false),
        ("job-1", false),
        ("req-123456789012345678901", false),
    ] {
        assert_eq!(is_job_id(s), ok, "{s}");
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
    /// Ranges behave as the plain set they stand for.
    #[test]
    fn ranges_are_sets(ops in proptest::collection::vec((any::<bool>(), 0u32..40, 0u32..12), 0..40)) {
        let mut r = RangeSet::default();
        let mut s = BTreeSet::new();
        for (add, at, n) in ops {
            if add {
                r.insert_range(at, at + n);
                s.extend(at..at + n);
            } else {
                r.remove_range(at, at + n);
                s.retain(|x| !(at..at + n).contains(x));
            }
            prop_assert_eq!(r.len() as usize, s.len());
            prop_assert_eq!(r.iter().collect::<Vec<_>>(), s.iter().copied().collect::<Vec<_>>());
            let mut prev: Option<u32> = None;
            for (a, b) in r.ranges() {
                prop_assert!(a < b && prev.is_none_or(|p| p < a));
                prev = Some(b);
            }
        }
        prop_assert_eq!(r.last_n(3).iter().collect::<Vec<_>>(),
            s.iter().rev().take(3).rev().copied().collect::<Vec<_>>());
    }
}
