//! Capacity of machines that are alike, while a plan claims parts of it for waiting tasks.

use std::collections::BTreeMap;

use salttiller_records::model::JobSpec;
use salttiller_records::Resources;

use super::pool::Pool;
use super::unplaced_job::Flexibility;

/// Added before a product of tasks and machines is rounded down: claims subtract fractions of
/// machines, whose rounding errors must not cost a whole task.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Machines of one region that are of the same type, zone and kind and have the same free
/// capacity.
#[derive(Debug, Clone)]
pub(super) struct PlannedCapacity {
    pub(super) region: String,
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Free on each machine.
    pub(super) free: Resources,
    /// What each machine has when nothing runs on it.
    pub(super) total: Resources,
    /// Whether they take tasks now; if not, they are being provisioned.
    pub(super) is_available: bool,
    /// Reserved on each machine for the jobs that fit on no other type.
    pub(super) reserved: Option<Resources>,
    /// How many machines there are.
    pub(super) machines: f64,
    /// How many of them the plan has not claimed yet: tasks claim fractions of a machine.
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

    /// How many tasks of a job all unclaimed machines take now.
    pub(super) fn fitting_tasks(&self, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        let per_machine = self.fitting_tasks_per_machine(spec, flexibility);
        (per_machine as f64 * self.unclaimed_machines + ROUNDING_TOLERANCE) as u64
    }

    /// How many tasks of a job all machines would take with nothing else on them.
    pub(super) fn max_tasks(&self, spec: &JobSpec, flexibility: Flexibility) -> u64 {
        let per_machine = self.tasks_within(self.total, spec, flexibility);
        (per_machine as f64 * self.machines + ROUNDING_TOLERANCE) as u64
    }

    /// Claims capacity for up to `wanted` tasks. Returns for how many there was some.
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

    /// Processors of all machines that jobs of this flexibility may use, millionths.
    pub(super) fn usable_cpus(&self, flexibility: Flexibility) -> f64 {
        let reserved_cpus = self
            .reserved_against(flexibility)
            .map_or(0, |reserved| reserved.cpus);
        self.total.cpus.saturating_sub(reserved_cpus) as f64 * self.machines
    }

    /// Whether flexible jobs may use the machines as a whole: no constrained job depends on
    /// them.
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

    /// What jobs of this flexibility must leave free. Spot machines may be taken back at any
    /// time, so nothing is reserved on them.
    fn reserved_against(&self, flexibility: Flexibility) -> Option<Resources> {
        match flexibility {
            Flexibility::Flexible if !self.spot => self.reserved,
            Flexibility::Flexible | Flexibility::Constrained => None,
        }
    }
}

/// Claims capacity of the machines in turn for up to `wanted` tasks. Returns for how many tasks
/// there was none.
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

/// How many tasks of a job a region takes, by what each kind of machine takes: in the zone where
/// that is most if the job must be in one zone, at most half of the tasks a zone if it is spread.
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
    if spec.single_zone {
        by_zone.into_values().max().unwrap_or(0)
    } else if spec.spread_zones {
        let per_zone = max_tasks_per_zone(spec);
        by_zone.into_values().map(|n| n.min(per_zone)).sum()
    } else {
        by_zone.into_values().sum()
    }
}

/// How many tasks of a job that is spread over zones one zone may hold: half, rounded up.
pub(super) fn max_tasks_per_zone(spec: &JobSpec) -> u64 {
    u64::from(spec.task_count.div_ceil(2))
}

#[cfg(test)]
mod tests;
