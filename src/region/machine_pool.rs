//! Machines that are interchangeable for placement: one type, one zone, spot or on-demand.

use std::rc::Rc;

use salttiller_records::model::JobSpec;

/// Key of a pool; ordered by type, then zone, then on-demand before spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// Machine type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot (preemptible) or on-demand.
    pub spot: bool,
}

impl MachinePool {
    /// The pool of machines of this type, zone and kind.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachinePool {
            machine_type: Rc::from(machine_type),
            zone: Rc::from(zone),
            spot,
        }
    }

    /// Whether a job's constraints let its tasks run in this pool, whatever their size.
    pub fn permits(&self, spec: &JobSpec) -> bool {
        spec.permits_placement(&self.machine_type, &self.zone, self.spot)
    }
}
