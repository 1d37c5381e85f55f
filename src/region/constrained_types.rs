//! Capacity reservations on machine types for constrained jobs.
//!
//! A job is constrained if it fits on exactly one machine type, and flexible otherwise. Each
//! region and the leader keep a [`ConstrainedTypes`] for the jobs they see.

use std::collections::BTreeMap;

use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::Resources;

use crate::state_store::replica::Replica;

/// Time for which capacity of a type stays reserved after its last constrained job was seen.
const CONSTRAINED_TYPE_TTL: Micros = 180 * SECOND;

/// Demand of recent constrained jobs for one machine type.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Maximum of each resource that one task requests.
    per_task: Resources,
    last_seen: Micros,
    largest_gang: u32,
}

impl Demand {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.last_seen + CONSTRAINED_TYPE_TTL
    }
}

/// Machine types that recent constrained jobs depend on, with the capacity that is reserved
/// on each machine of the type. Flexible jobs may use only the unreserved capacity.
#[derive(Debug, Default)]
pub struct ConstrainedTypes {
    types: BTreeMap<String, Demand>,
}

impl ConstrainedTypes {
    /// Records the demand of a job if the job is constrained. Returns whether the capacity to
    /// reserve has changed.
    pub fn record_job(&mut self, spec: &JobSpec, replica: &Replica, now: Micros) -> bool {
        let Some(machine_type) = only_fitting_type(spec, replica) else {
            return false;
        };
        let gang_size = match spec.kind {
            JobKind::Gang => spec.task_count,
            JobKind::Array | JobKind::Service => 1,
        };
        let is_new = !self.types.contains_key(&machine_type);
        let demand = self.types.entry(machine_type).or_insert(Demand {
            per_task: Resources::ZERO,
            last_seen: now,
            largest_gang: 1,
        });
        let (reserved_before, was_recent) = (demand.per_task, demand.is_recent(now));
        demand.per_task = demand.per_task.max_each(spec.resources_per_task());
        demand.last_seen = now;
        demand.largest_gang = demand.largest_gang.max(gang_size);
        is_new || !was_recent || reserved_before != demand.per_task
    }

    /// Capacity reserved on each machine of a type for constrained jobs.
    pub fn reserved_on(&self, machine_type: &str, now: Micros) -> Option<Resources> {
        let demand = self.types.get(machine_type)?;
        demand.is_recent(now).then_some(demand.per_task)
    }

    /// Number of tasks of the largest constrained gang seen for a type.
    pub fn largest_gang(&self, machine_type: &str) -> u32 {
        self.types
            .get(machine_type)
            .map_or(0, |demand| demand.largest_gang)
    }
}

/// Returns the machine type on which a job fits if there is exactly one.
///
/// Returns `None` while only one machine type is known, because every job would count as
/// constrained.
#[must_use]
pub fn only_fitting_type(spec: &JobSpec, replica: &Replica) -> Option<String> {
    let types = replica.machine_types.values().map(|record| &record.value);
    let mut fitting = types.filter(|machine_type| spec.fits_machine_type(machine_type));
    match (fitting.next(), fitting.next()) {
        (Some(only), None) if replica.machine_types.len() > 1 => Some(only.name.clone()),
        _ => None,
    }
}
