//! Machine types that some jobs depend on: what is kept clear on them.

use super::*;

/// Which machine types are kept clear, and for how much: those that are the only
/// ones on which some recent job fits. Jobs that fit elsewhere may have the rest.
#[derive(Debug, Default)]
pub struct ConstrainedTypes {
    types: BTreeMap<String, (Room, Micros, u32)>,
}

impl ConstrainedTypes {
    /// Remembers a job, if it is one that fits on one type only. Returns whether
    /// something else is to be kept clear now.
    pub fn note(&mut self, spec: &JobSpec, r: &Replica, now: Micros) -> bool {
        let Some(f) = only_fitting_type(spec, r) else {
            return false;
        };
        let gang = if spec.kind == JobKind::Gang {
            spec.tasks
        } else {
            1
        };
        let new = !self.types.contains_key(&f);
        let e = self.types.entry(f).or_insert(((0, 0, 0), now, 1));
        let was = (e.0, now < e.1 + CONSTRAINED_TYPE_TTL);
        e.0 .0 = e.0 .0.max(spec.cpus);
        e.0 .1 = e.0 .1.max(spec.gpus);
        e.0 .2 = e.0 .2.max(spec.mem);
        e.1 = now;
        e.2 = e.2.max(gang);
        new || was != (e.0, true)
    }

    /// What is kept clear on machines of a type.
    pub fn kept_for(&self, machine_type: &str, now: Micros) -> Option<Room> {
        self.types
            .get(machine_type)
            .filter(|(_, seen, _)| now < seen + CONSTRAINED_TYPE_TTL)
            .map(|(n, ..)| *n)
    }

    /// The largest gang seen that fits on this type only.
    pub fn largest(&self, machine_type: &str) -> u32 {
        self.types.get(machine_type).map_or(0, |t| t.2)
    }
}

/// The one type on which a job fits, if there is just one.
pub fn only_fitting_type(s: &JobSpec, r: &Replica) -> Option<String> {
    let mut fit = r
        .machine_types
        .values()
        .map(|f| &f.value)
        .filter(|f: &&MachineType| s.fits_type(f));
    match (fit.next(), fit.next()) {
        (Some(f), None) if r.machine_types.len() > 1 => Some(f.name.clone()),
        _ => None,
    }
}

/// How long a type is kept clear for jobs that fit nowhere else, after the last
/// of them was seen.
const CONSTRAINED_TYPE_TTL: Micros = 180 * SECOND;
