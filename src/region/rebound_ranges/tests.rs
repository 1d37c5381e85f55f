//! Tests of the task ranges in job records after a handover.

use super::*;

fn ranges(ranges: &[(u32, u32, &str)]) -> Vec<TaskRange> {
    ranges
        .iter()
        .map(|(first, end, region)| TaskRange::new(*first, *end, *region))
        .collect()
}

fn set(numbers: impl IntoIterator<Item = u32>) -> RangeSet {
    let mut set = RangeSet::default();
    for number in numbers {
        set.insert(number);
    }
    set
}

fn handover<'a>(ranges: &'a [TaskRange], recorded: &'a RangeSet) -> Handover<'a> {
    Handover {
        ranges,
        recorded,
        from: "t-0",
        to: "t-1",
    }
}

/// Returns the region of every task.
fn region_of_each(ranges: &[TaskRange]) -> Vec<&str> {
    let mut regions = Vec::new();
    for range in ranges {
        assert_eq!(
            range.first as usize,
            regions.len(),
            "gap or overlap: {ranges:?}"
        );
        regions.resize(range.end as usize, range.region.as_str());
    }
    regions
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
        let nothing_recorded = RangeSet::default();
        let rebound = handover(&before, &nothing_recorded).of(moved);
        assert_eq!(rebound.ranges, after, "{tasks:?}");
    }
}

/// Guards against an array that can't leave a region because its done tasks are scattered: the gaps
/// between the tasks that move made a range each, and the record may have only 24.
#[test]
fn recorded_results_need_no_range_of_their_own() {
    let before = ranges(&[(0, 64, "t-0")]);
    let recorded = set((0..64).filter(|number| number % 5 < 2));
    let pending = set((0..64).filter(|number| number % 5 >= 2));
    let rebound = handover(&before, &recorded).of_up_to(64, &pending).unwrap();
    assert_eq!(rebound.tasks, pending);
    assert_eq!(rebound.ranges, ranges(&[(0, 64, "t-1")]));
}

/// Guards against a request that is dropped because the record would have too many ranges: fewer
/// tasks move instead.
#[test]
fn fewer_tasks_move_if_the_record_would_have_too_many_ranges() {
    let before = ranges(&[(0, 200, "t-0")]);
    let nothing_recorded = RangeSet::default();
    let pending = set((0..200).filter(|number| number % 2 == 1));
    let handover = handover(&before, &nothing_recorded);
    assert!(!handover.of(pending.clone()).fits_in_record());
    let rebound = handover.of_up_to(100, &pending).unwrap();
    assert!(rebound.fits_in_record());
    assert!(rebound.tasks.len() >= MAX_TASK_RANGES as u32 / 4);
    let regions = region_of_each(&rebound.ranges);
    for (number, region) in regions.into_iter().enumerate() {
        let is_moved = rebound.tasks.contains(number as u32);
        assert_eq!(region, if is_moved { "t-1" } else { "t-0" }, "{number}");
    }
}

/// Guards against a job that is stuck because its record has as many ranges as it may have: a whole
/// range moves, which adds none, even if it has more tasks than requested.
#[test]
fn a_whole_range_moves_if_no_range_can_be_divided() {
    let mut full = Vec::new();
    for index in 0..MAX_TASK_RANGES as u32 {
        let region = ["t-0", "t-2"][index as usize % 2];
        full.push(TaskRange::new(index * 4, index * 4 + 4, region));
    }
    let nothing_recorded = RangeSet::default();
    let own = full.iter().filter(|range| range.region == "t-0");
    let pending = set(own.flat_map(|range| range.first..range.end));
    let rebound = handover(&full, &nothing_recorded)
        .of_up_to(1, &pending)
        .unwrap();
    assert_eq!(rebound.tasks, RangeSet::from_range(0, 4));
    assert_eq!(rebound.ranges.len(), MAX_TASK_RANGES);
    let on_machines = set([1, 9, 17, 25, 33, 41, 49, 57, 65, 73, 81, 89]);
    let mut rest = pending.clone();
    rest.subtract(&on_machines);
    let refusal = handover(&full, &nothing_recorded).of_up_to(1, &rest);
    // The last task of a range would need one more range.
    assert_eq!(refusal, Err(MAX_TASK_RANGES + 1));
}

/// For random records, results and pending tasks: exactly the moved tasks change their region, all
/// other tasks without a result keep theirs, and every task stays in exactly one range.
#[test]
fn only_moved_tasks_and_recorded_results_change_their_region() {
    let mut rng = fastrand::Rng::with_seed(46);
    for case in 0..2000 {
        let count = rng.u32(1..60);
        let mut before: Vec<TaskRange> = Vec::new();
        while before.last().map_or(0, |range| range.end) < count {
            let first = before.last().map_or(0, |range| range.end);
            let end = count.min(first + rng.u32(1..20));
            before.push(TaskRange::new(
                first,
                end,
                ["t-0", "t-1", "t-2"][rng.usize(0..3)],
            ));
        }
        let recorded = set((0..count).filter(|_| rng.u32(0..3) == 0));
        let regions_before = region_of_each(&before);
        let pending = set((0..count).filter(|number| {
            regions_before[*number as usize] == "t-0"
                && !recorded.contains(*number)
                && rng.u32(0..4) != 0
        }));
        if pending.is_empty() {
            continue;
        }
        let Ok(rebound) = handover(&before, &recorded).of_up_to(rng.u32(1..60), &pending) else {
            panic!("case {case}: nothing moves");
        };
        assert!(!rebound.tasks.is_empty(), "case {case}");
        let mut not_pending = rebound.tasks.clone();
        not_pending.subtract(&pending);
        assert!(not_pending.is_empty(), "case {case}: {not_pending:?}");
        let regions_after = region_of_each(&rebound.ranges);
        assert_eq!(regions_after.len(), count as usize, "case {case}");
        for number in (0..count).filter(|number| !recorded.contains(*number)) {
            let is_moved = rebound.tasks.contains(number);
            let expected = if is_moved {
                "t-1"
            } else {
                regions_before[number as usize]
            };
            assert_eq!(
                regions_after[number as usize], expected,
                "case {case}: {number}"
            );
        }
    }
}
