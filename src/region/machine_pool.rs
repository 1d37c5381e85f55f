//! Pools of machines that are interchangeable for placement, because they have the same type,
//! zone, and spot or on-demand billing.

use std::rc::Rc;

use salttiller_records::model::JobSpec;

/// Key of a machine pool, ordered by type, then zone, then on-demand before spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// Machine type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Whether the machines are spot instances rather than on-demand.
    pub spot: bool,
}

impl MachinePool {
    /// Returns the key of the pool of machines of this type, zone and billing.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachinePool {
            machine_type: Rc::from(machine_type),
            zone: Rc::from(zone),
            spot,
        }
    }

    /// Whether a job's constraints permit its tasks to run in this pool, regardless of their size.
    pub fn permits(&self, spec: &JobSpec) -> bool {
        spec.permits_placement(&self.machine_type, &self.zone, self.spot)
    }
}
