//! Machine types, as the cloud offers them.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::units::Micros;

/// A machine type, as the cloud describes it and `flavor/NAME` stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// Processors, millionths.
    pub cpus: u64,
    /// Accelerators, millionths.
    pub gpus: u64,
    /// Memory, millionths of a GB.
    #[serde(rename = "mem")]
    pub memory: u64,
    /// Rate at which images are fetched, millionths of a GB a second.
    #[serde(rename = "fetch")]
    pub fetch_rate: u64,
    /// Price an hour, millionths.
    pub price: u64,
    /// Spot price an hour, millionths.
    pub spot_price: u64,
    /// Nominal boot time.
    #[serde(rename = "boot")]
    pub boot_time: Micros,
    /// Zones that offer it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// What an empty machine of this type offers.
    #[must_use]
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// Price of a machine an hour, on-demand or spot, in millionths.
    #[must_use]
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }

    /// Price of one of its processors an hour: price by amount of processors.
    #[must_use]
    pub fn price_per_cpu(&self, spot: bool) -> f64 {
        self.price_of(spot) as f64 / self.cpus.max(1) as f64
    }
}
