//! Binding of a gang that is too large for any region to several regions at once.
//!
//! This module selects the range of tasks of each region and uses as few regions as possible.
//! Inputs are the planned capacity, the regions with an owner and the cloud's refusals: while
//! machines for one region can be rented, the gang waits for them. The paper binds each
//! computation to one sphere; multi-region gangs are an extension.

use std::collections::BTreeMap;

use crate::region::SchedulingContext;
use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::record::{MultiRegionAttempt, TaskRange};
use salttiller_records::units::{Micros, SECOND};

use super::planned_capacity::{max_tasks_per_zone, tasks_in_region, PlannedCapacity};
use super::unplaced_job::Flexibility;
use super::Leader;

/// Minimum age of the term before a gang is bound to several regions. Earlier, some regions have
/// not reported yet, so a region that could hold the gang may be unknown.
const MIN_TERM_AGE: Micros = 2 * SECOND;
/// Maximum number of regions of a gang. A gang starts only while the owners of all its parts are
/// up.
const MAX_REGIONS: usize = 12;

/// Binding of a gang's tasks to several regions.
#[derive(Debug)]
pub(super) struct MultiRegionBinding {
    pub(super) task_ranges: Vec<TaskRange>,
    pub(super) attempt: MultiRegionAttempt,
}

/// Number of tasks that each region can hold, by zone.
type TasksByZone<'a> = BTreeMap<&'a str, BTreeMap<&'a str, u64>>;

impl Leader {
    /// Binds a gang to several regions if no single region can hold it, the cloud has no machines
    /// for it and several regions together can hold it.
    pub(super) fn bind_across_regions(
        &mut self,
        spec: &JobSpec,
        flexibility: Flexibility,
        context: &SchedulingContext<'_>,
    ) -> Option<MultiRegionBinding> {
        if spec.kind != JobKind::Gang
            || spec.task_count < 2
            || self.term.age(context.now) < MIN_TERM_AGE
        {
            return None;
        }
        let max_tasks = |c: &PlannedCapacity| c.max_tasks(spec, flexibility);
        let fits_in_one = context.settings.regions().iter().any(|region| {
            let tasks = tasks_in_region(&self.capacity, spec, region, max_tasks);
            tasks >= u64::from(spec.task_count)
        });
        if fits_in_one || self.usable_offers(spec, context).next().is_some() {
            return None;
        }
        let (task_ranges, zone) = self.split_across_regions(spec, max_tasks, context)?;
        let attempt = MultiRegionAttempt {
            attempt: self.term.next_attempt(),
            zone,
        };
        Some(MultiRegionBinding {
            task_ranges,
            attempt,
        })
    }

    /// Divides a gang's tasks among as few regions with an owner as possible. Returns the task
    /// ranges and, if all tasks must be in a single zone, that zone.
    fn split_across_regions(
        &self,
        spec: &JobSpec,
        max_tasks: impl Fn(&PlannedCapacity) -> u64,
        context: &SchedulingContext<'_>,
    ) -> Option<(Vec<TaskRange>, Option<String>)> {
        let mut tasks_by_zone = TasksByZone::new();
        for capacity in &self.capacity {
            let tasks = max_tasks(capacity);
            if tasks > 0 && context.replica.regions.contains_key(&capacity.region) {
                let regions = tasks_by_zone.entry(&capacity.zone).or_default();
                *regions.entry(&capacity.region).or_default() += tasks;
            }
        }
        let (tasks_by_region, zone) = if spec.single_zone {
            let (zone, regions) = largest_zone(&tasks_by_zone)?;
            (regions.clone(), Some(zone.to_owned()))
        } else {
            (tasks_across_zones(spec, &tasks_by_zone), None)
        };
        let task_ranges = task_ranges(spec, tasks_by_region)?;
        Some((task_ranges, zone))
    }
}

/// Returns the zone that can hold the most tasks over all regions.
fn largest_zone<'a, 'b>(
    tasks_by_zone: &'b TasksByZone<'a>,
) -> Option<(&'a str, &'b BTreeMap<&'a str, u64>)> {
    tasks_by_zone
        .iter()
        .max_by_key(|(_, regions)| regions.values().sum::<u64>())
        .map(|(zone, regions)| (*zone, regions))
}

/// Returns the number of tasks that each region can hold over all zones. For a gang that is spread
/// over zones, each zone counts for at most half of the tasks; each region enforces this limit
/// among its own machines.
fn tasks_across_zones<'a>(
    spec: &JobSpec,
    tasks_by_zone: &TasksByZone<'a>,
) -> BTreeMap<&'a str, u64> {
    let max_per_zone = if spec.spread_zones {
        max_tasks_per_zone(spec)
    } else {
        u64::from(spec.task_count)
    };
    let mut tasks_by_region: BTreeMap<&'a str, u64> = BTreeMap::new();
    for regions in tasks_by_zone.values() {
        let mut remaining = max_per_zone;
        for (region, tasks) in regions {
            let taken = remaining.min(*tasks);
            remaining -= taken;
            *tasks_by_region.entry(region).or_default() += taken;
        }
    }
    tasks_by_region
}

/// Returns consecutive task ranges that cover the whole gang, regions with the most capacity first.
/// Returns `None` if the regions can't hold all tasks, if more than `MAX_REGIONS` are needed, or if
/// a gang that must be spread over zones would need several regions: its limit of tasks in a zone
/// applies across regions, so that gang waits for one region that can hold it.
fn task_ranges(spec: &JobSpec, tasks_by_region: BTreeMap<&str, u64>) -> Option<Vec<TaskRange>> {
    let mut regions: Vec<(u64, &str)> = tasks_by_region
        .into_iter()
        .map(|(region, tasks)| (tasks, region))
        .collect();
    regions.sort_unstable_by(|a, b| b.cmp(a));
    let mut ranges = Vec::new();
    let mut first = 0;
    for (tasks, region) in regions {
        let remaining = spec.task_count - first;
        let count = tasks.min(u64::from(remaining)) as u32;
        if count > 0 {
            ranges.push(TaskRange::new(first, first + count, region));
            first += count;
        }
    }
    let is_complete = first == spec.task_count;
    let is_spread_across_regions = spec.spread_zones && ranges.len() > 1;
    (is_complete && ranges.len() <= MAX_REGIONS && !is_spread_across_regions).then_some(ranges)
}
