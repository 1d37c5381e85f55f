//! Sets of task numbers.

use std::collections::BTreeMap;

/// A set of task numbers, stored as ranges, so that 100,000 consecutive tasks cost no more
/// memory or time than one.
///
/// A range consists of its first number and the number after its last. Stored ranges are neither
/// adjacent nor overlapping.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RangeSet {
    /// End of each range, by its start.
    ranges: BTreeMap<u32, u32>,
    /// Number of elements.
    len: u32,
}

impl RangeSet {
    /// Returns the set of the numbers from `start` to `end`, excluding `end`.
    #[must_use]
    pub fn from_range(start: u32, end: u32) -> Self {
        let mut set = RangeSet::default();
        set.insert_range(start, end);
        set
    }

    /// Returns the number of elements.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the smallest number, if the set is not empty.
    #[must_use]
    pub fn first(&self) -> Option<u32> {
        self.ranges.first_key_value().map(|(start, _)| *start)
    }

    /// Whether `number` is in the set.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        let mut up_to = self.ranges.range(..=number);
        up_to.next_back().is_some_and(|(_, end)| number < *end)
    }

    /// Adds the numbers from `start` to `end`, excluding `end`.
    pub fn insert_range(&mut self, start: u32, end: u32) {
        if start >= end {
            return;
        }
        let (mut start, mut end) = (start, end);
        // Merge the new range with every adjacent or overlapping range.
        while let Some((&old_start, &old_end)) = self.ranges.range(..=end).next_back() {
            if old_end < start {
                break;
            }
            start = start.min(old_start);
            end = end.max(old_end);
            self.remove_stored(old_start, old_end);
        }
        self.add_stored(start, end);
    }

    /// Removes the numbers from `start` to `end`, excluding `end`.
    pub fn remove_range(&mut self, start: u32, end: u32) {
        if start >= end {
            return;
        }
        while let Some((&old_start, &old_end)) = self.ranges.range(..end).next_back() {
            if old_end <= start {
                break;
            }
            self.remove_stored(old_start, old_end);
            if old_start < start {
                self.add_stored(old_start, start);
            }
            if old_end > end {
                self.add_stored(end, old_end);
            }
        }
    }

    fn add_stored(&mut self, start: u32, end: u32) {
        self.len += end - start;
        self.ranges.insert(start, end);
    }

    fn remove_stored(&mut self, start: u32, end: u32) {
        self.len -= end - start;
        self.ranges.remove(&start);
    }

    /// Adds one number.
    pub fn insert(&mut self, number: u32) {
        self.insert_range(number, number + 1);
    }

    /// Removes one number. Returns whether it was in the set.
    pub fn remove(&mut self, number: u32) -> bool {
        let was_present = self.contains(number);
        self.remove_range(number, number + 1);
        was_present
    }

    /// Iterates over the ranges in ascending order, as the first number and the number after the
    /// last.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(start, end)| (*start, *end))
    }

    /// Iterates over all numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges().flat_map(|(start, end)| start..end)
    }

    /// Adds all numbers of `other`.
    pub fn union_with(&mut self, other: &RangeSet) {
        for (start, end) in other.ranges() {
            self.insert_range(start, end);
        }
    }

    /// Removes all numbers of `other`.
    pub fn subtract(&mut self, other: &RangeSet) {
        for (start, end) in other.ranges() {
            self.remove_range(start, end);
        }
    }

    /// Returns the numbers of the set from `start` to `end`, excluding `end`.
    #[must_use]
    pub fn within(&self, start: u32, end: u32) -> RangeSet {
        let mut part = RangeSet::default();
        if start >= end {
            return part;
        }
        let before = self.ranges.range(..start).next_back();
        for (&first, &last) in before.into_iter().chain(self.ranges.range(start..end)) {
            part.insert_range(first.max(start), last.min(end));
        }
        part
    }

    /// Returns the `count` largest numbers of the set, or all numbers if there are fewer.
    #[must_use]
    pub fn last_n(&self, count: u32) -> RangeSet {
        let mut last = RangeSet::default();
        let mut remaining = count;
        for (&start, &end) in self.ranges.iter().rev() {
            if remaining == 0 {
                break;
            }
            let taken = remaining.min(end - start);
            last.insert_range(end - taken, end);
            remaining -= taken;
        }
        last
    }
}
