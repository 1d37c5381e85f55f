//! Offers: the kinds of machines that can be rented from the cloud.

use std::collections::BTreeMap;

use crate::state_store::replica::Versioned;
use salttiller_records::model::MachineType;

/// Machines of a type in a zone, either spot or on-demand, that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot instances rather than on-demand.
    pub spot: bool,
}

/// Returns all offers of the machine types, ordered by type, then zone, with spot first.
#[must_use]
pub fn offers(machine_types: &BTreeMap<String, Versioned<MachineType>>) -> Vec<Offer> {
    machine_types
        .values()
        .flat_map(|versioned| {
            let MachineType { name, zones, .. } = &versioned.value;
            zones.iter().flat_map(move |zone| {
                [true, false].map(|spot| Offer {
                    machine_type: name.clone(),
                    zone: zone.clone(),
                    spot,
                })
            })
        })
        .collect()
}
