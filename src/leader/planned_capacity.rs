//! Planned capacity: the capacity of identical machines, parts of which a plan claims for pending
//! tasks.

use std::collections::BTreeMap;

use salttiller_records::model::JobSpec;
use salttiller_records::Resources;

use super::pool::Pool;
use super::unplaced_job::Flexibility;

/// Added to a product of tasks and machines before it is rounded down. Claims subtract fractions
/// of machines, and their rounding errors must not cost a whole task.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Machines of one region and one pool (type, zone, spot or on-demand) with the same free capacity.
#[derive(Debug, Clone)]
pub(super) struct PlannedCapacity {
    pub(super) region: String,
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Free resources of each machine.
    pub(super) free: Resources,
    /// Total resources of each machine.
    pub(super) total: Resources,
    /// Whether the machines accept tasks now; if not, they are being provisioned.
    pub(super) is_available: bool,
    /// Resources reserved on each machine for the jobs that fit on no other type.
    pub(super) reserved: Option<Resources>,
    /// Number of machines.
    pub(super) machines: f64,
    /// Number of machines that the plan has not claimed yet; tasks claim fractions of a machine.
    pub(super) unclaimed_machines: f64,
}

impl PlannedCapacity {
    /// The pool that the machines belong to.
    pub(super) fn pool(&self) -> Pool<'_> {
        Pool {
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
        }
    }

    /// Number of tasks of a job that fit on the unclaimed machines now.
    pub(super) fn fitting_tasks(&self, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        let per_machine = self.fitting_tasks_per_machine(spec, flexibility);
        (per_machine as f64 * self.unclaimed_machines + ROUNDING_TOLERANCE) as u64
    }

    /// Number of tasks of a job that the machines could hold if they were empty.
    pub(super) fn max_tasks(&self, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        let per_machine = self.tasks_within(self.total, spec, flexibility);
        (per_machine as f64 * self.machines + ROUNDING_TOLERANCE) as u64
    }

    /// Claims capacity for up to `wanted` tasks. Returns the number of tasks with claimed capacity.
    #[must_use]
    pub(super) fn claim(&mut self, spec: &JobSpec, flexibility: Flexibility, wanted: u64) -> u64 {
        let claimed = wanted.min(self.fitting_tasks(spec, flexibility));
        let per_machine = self.fitting_tasks_per_machine(spec, flexibility);
        if claimed > 0 && per_machine > 0 {
            let machines = claimed as f64 / per_machine as f64;
            self.unclaimed_machines = (self.unclaimed_machines - machines).max(0.0);
        }
        claimed
    }

    /// Processors of all machines that jobs of this flexibility may use, in millionths.
    pub(super) fn usable_cpus(&self, flexibility: Flexibility) -> f64 {
        let reserved_cpus = self
            .reserved_against(flexibility)
            .map_or(0, |reserved| reserved.cpus);
        self.total.cpus.saturating_sub(reserved_cpus) as f64 * self.machines
    }

    /// Whether flexible jobs may use the machines' total resources, because nothing is reserved for
    /// constrained jobs.
    pub(super) fn is_unreserved(&self) -> bool {
        self.spot || self.reserved.is_none()
    }

    fn fitting_tasks_per_machine(&self, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        self.tasks_within(self.free, spec, flexibility)
    }

    fn tasks_within(&self, free: Resources, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        if !spec.permits_placement(&self.machine_type, &self.zone, self.spot) {
            return 0;
        }
        let free = match self.reserved_against(flexibility) {
            Some(reserved) => free.min_each(self.total.minus(reserved)),
            None => free,
        };
        spec.tasks_fitting_in(free)
    }

    /// Resources of each machine that jobs of this flexibility must leave free. Nothing is reserved
    /// on spot machines, because the cloud may reclaim them at any time.
    fn reserved_against(&self, flexibility: Flexibility) -> Option<Resources> {
        match flexibility {
            Flexibility::Flexible if !self.spot => self.reserved,
            Flexibility::Flexible | Flexibility::Constrained => None,
        }
    }
}

/// Claims capacity of the machines, one entry after the other, for up to `wanted` tasks. Returns
/// the number of tasks without capacity.
#[must_use]
pub(super) fn claim_from<'a>(
    machines: impl IntoIterator<Item = &'a mut PlannedCapacity>,
    spec: &JobSpec,
    flexibility: Flexibility,
    wanted: u64,
) -> u64 {
    let mut unclaimed = wanted;
    for capacity in machines {
        if unclaimed == 0 {
            break;
        }
        unclaimed -= capacity.claim(spec, flexibility, unclaimed);
    }
    unclaimed
}

/// Returns the number of tasks of a job that a region can hold, where `tasks_of` gives the number
/// for each entry.
pub(super) fn tasks_in_region(
    machines: &[PlannedCapacity],
    spec: &JobSpec,
    region: &str,
    tasks_of: impl Fn(&PlannedCapacity) -> u64,
) -> u64 {
    let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    for capacity in machines.iter().filter(|c| c.region == region) {
        *by_zone.entry(&capacity.zone).or_default() += tasks_of(capacity);
    }
    tasks_in_zones(spec, by_zone)
}

/// Returns the number of tasks of a job that zones can hold together, from the number that fit in
/// each. For a job that must be in a single zone, only the zone with the most tasks counts; for a
/// job that is spread over zones, each zone counts for at most half of the tasks.
pub(super) fn tasks_in_zones(spec: &JobSpec, by_zone: BTreeMap<&str, u64>) -> u64 {
    if spec.single_zone {
        by_zone.into_values().max().unwrap_or(0)
    } else if spec.spread_zones {
        let per_zone = max_tasks_per_zone(spec);
        by_zone.into_values().map(|n| n.min(per_zone)).sum()
    } else {
        by_zone.into_values().sum()
    }
}

/// Maximum number of tasks in one zone for a job that is spread over zones: half, rounded up.
pub(super) fn max_tasks_per_zone(spec: &JobSpec) -> u64 {
    u64::from(spec.task_count.div_ceil(2))
}

#[cfg(test)]
mod tests;
