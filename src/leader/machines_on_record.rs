//! Regions whose machines on record could hold a job, whether or not they accept tasks now.
//!
//! Regions don't report the capacity of cordoned machines. An owner reverts the cordon of surplus
//! machines only for jobs in its own queue, so a job of a region without machines must be moved to a
//! region with such machines first.

use std::collections::BTreeMap;

use crate::region::SchedulingContext;

use super::planned_capacity::tasks_in_zones;
use super::unplaced_job::UnplacedJob;

/// Returns the other region with an owner whose machines on record could hold the most tasks of a
/// job if they were empty, among those that could hold as many as have to move together.
pub(super) fn region_with_machines(
    job: &UnplacedJob,
    context: &SchedulingContext<'_>,
) -> Option<String> {
    let with_owner = context.replica.regions.keys();
    with_owner
        .filter(|region| **region != job.region)
        .map(|region| (region, tasks_on_record(job, region, context)))
        .filter(|(_, tasks)| *tasks >= job.min_tasks())
        .max_by_key(|(_, tasks)| *tasks)
        .map(|(region, _)| region.clone())
}

/// Number of tasks of a job that a region's machines on record could hold if they were empty.
fn tasks_on_record(job: &UnplacedJob, region: &str, context: &SchedulingContext<'_>) -> u64 {
    let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    let pools = context.replica.machine_counts.get(region);
    for (pool, machines) in pools.into_iter().flatten() {
        let Some(known) = context.replica.machine_types.get(&pool.machine_type) else {
            continue;
        };
        if job
            .spec
            .permits_machine(&known.value, &pool.zone, pool.spot)
        {
            let tasks = job.spec.tasks_per_machine(&known.value) * u64::from(*machines);
            *by_zone.entry(&pool.zone).or_default() += tasks;
        }
    }
    tasks_in_zones(&job.spec, by_zone)
}
