//! What the cloud offers for rent.

use std::collections::BTreeMap;

use crate::state_store::replica::Versioned;
use salttiller_records::model::MachineType;

/// What can be rented: machines of a type in a zone, spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
}

/// All offers of the machine types: by type, then zone, spot first.
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
