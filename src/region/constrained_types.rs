//! Machine types that some jobs depend on: capacity that is reserved for those jobs.
//!
//! A job is constrained if it fits on one machine type only, else flexible. Regions and the
//! leader each keep a [`ConstrainedTypes`] of the jobs they see.

use std::collections::BTreeMap;

use salttiller_records::model::{JobKind, JobSpec};
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::Resources;

use crate::state_store::replica::Replica;

/// How long a type stays reserved for jobs that fit nowhere else, after the last of them was
/// seen.
const CONSTRAINED_TYPE_TTL: Micros = 180 * SECOND;

/// What recent jobs that fit on one machine type only ask of it.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// The most that one task takes, each amount by itself.
    per_task: Resources,
    last_seen: Micros,
    largest_gang: u32,
}

impl Demand {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.last_seen + CONSTRAINED_TYPE_TTL
    }
}

/// The machine types that are the only ones on which some recent job fits, with the capacity
/// that is reserved on each of their machines. Flexible jobs, which fit elsewhere too, may use
/// the rest.
#[derive(Debug, Default)]
pub struct ConstrainedTypes {
    types: BTreeMap<String, Demand>,
}

impl ConstrainedTypes {
    /// Notes a job, if it is one that fits on one type only. Returns whether the capacity to
    /// reserve has changed.
    pub fn note(&mut self, spec: &JobSpec, replica: &Replica, now: Micros) -> bool {
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

    /// What is reserved on each machine of a type for the jobs that depend on it.
    pub fn reserved_on(&self, machine_type: &str, now: Micros) -> Option<Resources> {
        let demand = self.types.get(machine_type)?;
        demand.is_recent(now).then_some(demand.per_task)
    }

    /// The largest gang seen that fits on this type only.
    pub fn largest_gang(&self, machine_type: &str) -> u32 {
        self.types
            .get(machine_type)
            .map_or(0, |demand| demand.largest_gang)
    }
}

/// The one type on which a job fits, if there is just one.
///
/// `None` as well while only one type is known: all jobs would depend on it.
#[must_use]
pub fn only_fitting_type(spec: &JobSpec, replica: &Replica) -> Option<String> {
    let types = replica.machine_types.values().map(|record| &record.value);
    let mut fitting = types.filter(|machine_type| spec.fits_machine_type(machine_type));
    match (fitting.next(), fitting.next()) {
        (Some(only), None) if replica.machine_types.len() > 1 => Some(only.name.clone()),
        _ => None,
    }
}
