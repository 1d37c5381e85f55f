//! Binding of a gang that is too large for any region to several regions at once.
//!
//! Decided here: the ranges of tasks that each region gets, as few regions as will do. Inputs are
//! the planned capacity, the regions with an owner and the cloud's refusals: as long as machines
//! can be rented for one region, the gang waits for them. The paper gives each computation to
//! one sphere; this is the project's own.

use std::collections::BTreeMap;

use crate::region::SchedulingContext;
use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::record::{MultiRegionAttempt, TaskRange};
use salttiller_records::units::{Micros, SECOND};

use super::planned_capacity::{max_tasks_per_zone, tasks_in_region, PlannedCapacity};
use super::unplaced_job::Flexibility;
use super::Leader;

/// No gang is bound to several regions before the term is this old: the regions' first reports
/// are not all there yet, so a region that could hold it may be unknown.
const MIN_TERM_AGE: Micros = 2 * SECOND;
/// Most regions of a gang: the owners of all parts must be up at the same time for it to start.
const MAX_REGIONS: usize = 12;

/// A gang's tasks by region.
#[derive(Debug)]
pub(super) struct MultiRegionBinding {
    pub(super) task_ranges: Vec<TaskRange>,
    pub(super) attempt: MultiRegionAttempt,
}

/// Tasks that each region takes, by zone.
type TasksByZone<'a> = BTreeMap<&'a str, BTreeMap<&'a str, u64>>;

impl Leader {
    /// Binds a gang that no region can hold to several, if these together can and the cloud has
    /// no machines for it.
    pub(super) fn bind_over_regions(
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
        let (task_ranges, zone) = self.split_over_regions(spec, max_tasks, context)?;
        let attempt = MultiRegionAttempt {
            attempt: self.term.next_attempt(),
            zone,
        };
        Some(MultiRegionBinding {
            task_ranges,
            attempt,
        })
    }

    /// Ranges of a gang's tasks over as few regions with an owner as will do, and the zone that
    /// all of them must be in, if they must share one.
    fn split_over_regions(
        &self,
        spec: &JobSpec,
        max_tasks: impl Fn(&PlannedCapacity) -> u64,
        context: &SchedulingContext<'_>,
    ) -> Option<(Vec<TaskRange>, Option<String>)> {
        let mut by_zone = TasksByZone::new();
        for capacity in &self.capacity {
            let tasks = max_tasks(capacity);
            if tasks > 0 && context.replica.regions.contains_key(&capacity.region) {
                let regions = by_zone.entry(&capacity.zone).or_default();
                *regions.entry(&capacity.region).or_default() += tasks;
            }
        }
        let (tasks_by_region, zone) = if spec.single_zone {
            let (zone, regions) = largest_zone(&by_zone)?;
            (regions.clone(), Some(zone.to_owned()))
        } else {
            (tasks_over_zones(spec, &by_zone), None)
        };
        let task_ranges = task_ranges(spec, tasks_by_region)?;
        Some((task_ranges, zone))
    }
}

/// The zone that takes the most tasks over all regions.
fn largest_zone<'a, 'b>(
    by_zone: &'b TasksByZone<'a>,
) -> Option<(&'a str, &'b BTreeMap<&'a str, u64>)> {
    by_zone
        .iter()
        .max_by_key(|(_, regions)| regions.values().sum::<u64>())
        .map(|(zone, regions)| (*zone, regions))
}

/// Tasks by region over all zones. Of a gang that is spread no zone gets more than its half; the
/// regions see to that among their own machines.
fn tasks_over_zones<'a>(spec: &JobSpec, by_zone: &TasksByZone<'a>) -> BTreeMap<&'a str, u64> {
    let max_per_zone = if spec.spread_zones {
        max_tasks_per_zone(spec)
    } else {
        u64::from(spec.task_count)
    };
    let mut tasks_by_region: BTreeMap<&'a str, u64> = BTreeMap::new();
    for regions in by_zone.values() {
        let mut remaining = max_per_zone;
        for (region, tasks) in regions {
            let taken = remaining.min(*tasks);
            remaining -= taken;
            *tasks_by_region.entry(region).or_default() += taken;
        }
    }
    tasks_by_region
}

/// Consecutive ranges of all tasks, the regions that take the most first. `None` if the regions
/// can't hold all of them, or too many regions would be needed, or if the gang must be spread:
/// that needs one bound a zone over all regions, so it waits for a region that can hold it.
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
    let is_spread_over_several = spec.spread_zones && ranges.len() > 1;
    (is_complete && ranges.len() <= MAX_REGIONS && !is_spread_over_several).then_some(ranges)
}
