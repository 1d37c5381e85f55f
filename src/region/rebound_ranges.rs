//! The task ranges of a job's record after a handover, and the tasks of a divisible job that a
//! handover can move without exceeding the number of ranges that a record may have.

use salttiller_records::model::RangeSet;
use salttiller_records::record::TaskRange;

/// Maximum number of task ranges in a job's record, which bounds the size of the record.
pub(super) const MAX_TASK_RANGES: usize = 24;

/// A handover of tasks of a job from one region to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Handover<'a> {
    /// The ranges of the job's record, ordered by first task.
    pub(super) ranges: &'a [TaskRange],
    /// Tasks whose result is on record. Their binding has no meaning, so they take the region of a
    /// neighbour, and the gaps between the other tasks need no range of their own.
    pub(super) recorded: &'a RangeSet,
    /// Region that hands the tasks over.
    pub(super) from: &'a str,
    /// Region that takes the tasks over; empty if the tasks are unbound.
    pub(super) to: &'a str,
}

/// Tasks to move, and the ranges of the job's record after the move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReboundTasks {
    pub(super) tasks: RangeSet,
    pub(super) ranges: Vec<TaskRange>,
}

impl Handover<'_> {
    /// Returns the move of exactly these tasks. Only tasks of the region that hands them over move.
    pub(super) fn of(&self, tasks: RangeSet) -> ReboundTasks {
        let ranges = merge_neighbours(self.open_ranges(&tasks), self.end());
        ReboundTasks { tasks, ranges }
    }

    /// Returns the move of up to `count` pending tasks, those with the largest numbers first. Moves
    /// fewer tasks if the record would have too many ranges. If even a single task would divide the
    /// ranges too much, moves all open tasks of the shortest range of which all are pending, since
    /// such a move adds no range. Returns the number of ranges of the smallest move if none fits.
    pub(super) fn of_up_to(&self, count: u32, pending: &RangeSet) -> Result<ReboundTasks, usize> {
        let mut count = count.min(pending.len());
        loop {
            let rebound = self.of(pending.last_n(count));
            if rebound.fits_in_record() {
                return Ok(rebound);
            }
            if count <= 1 {
                let whole_range = self.shortest_pending_range(pending);
                return whole_range
                    .map(|tasks| self.of(tasks))
                    .filter(ReboundTasks::fits_in_record)
                    .ok_or(rebound.ranges.len());
            }
            count /= 2;
        }
    }

    /// Returns the tasks without a recorded result by region after the move, in ascending order.
    fn open_ranges(&self, moved: &RangeSet) -> Vec<TaskRange> {
        let mut open: Vec<TaskRange> = Vec::new();
        for range in self.ranges {
            let mut kept = self.open_tasks(range);
            if range.region == self.from {
                let moved = moved.within(range.first, range.end);
                kept.subtract(&moved);
                let moved = moved.ranges();
                open.extend(moved.map(|(first, end)| TaskRange::new(first, end, self.to)));
            }
            let kept = kept.ranges();
            open.extend(kept.map(|(first, end)| TaskRange::new(first, end, &*range.region)));
        }
        open.sort_by_key(|range| range.first);
        open
    }

    fn open_tasks(&self, range: &TaskRange) -> RangeSet {
        let mut open = RangeSet::from_range(range.first, range.end);
        open.subtract(&self.recorded.within(range.first, range.end));
        open
    }

    /// Number after that of the job's last task.
    fn end(&self) -> u32 {
        self.ranges.last().map_or(0, |range| range.end)
    }

    /// Returns the open tasks of the shortest range of the region of which all are pending.
    fn shortest_pending_range(&self, pending: &RangeSet) -> Option<RangeSet> {
        let own = self.ranges.iter().filter(|range| range.region == self.from);
        own.map(|range| self.open_tasks(range))
            .filter(|open| !open.is_empty())
            .filter(|open| {
                let mut not_pending = open.clone();
                not_pending.subtract(pending);
                not_pending.is_empty()
            })
            .min_by_key(RangeSet::len)
    }
}

impl ReboundTasks {
    /// Whether the job's record may have this many ranges.
    pub(super) fn fits_in_record(&self) -> bool {
        self.ranges.len() <= MAX_TASK_RANGES
    }
}

/// Merges neighbouring ranges of the same region, and extends ranges over the gaps between them, so
/// that they cover all tasks from 0 to `end`.
fn merge_neighbours(ranges: Vec<TaskRange>, end: u32) -> Vec<TaskRange> {
    let mut merged: Vec<TaskRange> = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last) if last.region == range.region => last.end = range.end,
            Some(last) => {
                last.end = range.first;
                merged.push(range);
            }
            None => merged.push(TaskRange { first: 0, ..range }),
        }
    }
    if let Some(last) = merged.last_mut() {
        last.end = end;
    }
    merged
}

#[cfg(test)]
mod tests;
