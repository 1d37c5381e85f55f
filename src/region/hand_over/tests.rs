//! Tests of the task ranges in job records after a handover.

use super::*;

fn ranges(ranges: &[(u32, u32, &str)]) -> Vec<TaskRange> {
    ranges
        .iter()
        .map(|(first, end, region)| TaskRange::new(*first, *end, *region))
        .collect()
}

/// Guards against a handover that rebinds tasks of other regions. A handover rebinds only tasks of
/// the region that hands them over, and adjacent ranges of one region are merged.
#[test]
fn handover_moves_only_tasks_of_former_region() {
    let before = ranges(&[(0, 4, "t-0"), (4, 6, "t-1"), (6, 8, "t-0")]);
    for (tasks, after) in [
        (
            (2, 4),
            ranges(&[(0, 2, "t-0"), (2, 6, "t-1"), (6, 8, "t-0")]),
        ),
        ((6, 8), ranges(&[(0, 4, "t-0"), (4, 8, "t-1")])),
        (
            (1, 2),
            ranges(&[
                (0, 1, "t-0"),
                (1, 2, "t-1"),
                (2, 4, "t-0"),
                (4, 6, "t-1"),
                (6, 8, "t-0"),
            ]),
        ),
    ] {
        let moved = RangeSet::from_range(tasks.0, tasks.1);
        let rebound = merge_adjacent(rebound_ranges(&before, &moved, "t-0", "t-1"));
        assert_eq!(rebound, after, "{tasks:?}");
    }
}
