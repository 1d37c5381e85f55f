//! Machine types that the cloud offers.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::units::Micros;

/// A machine type of the cloud. Stored as `flavor/NAME`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Processors, in millionths.
    pub cpus: u64,
    /// Accelerators, in millionths.
    pub gpus: u64,
    /// Memory, in millionths of a GB.
    #[serde(rename = "mem")]
    pub memory: u64,
    /// Rate at which images are fetched, in millionths of a GB per second.
    #[serde(rename = "fetch")]
    pub fetch_rate: u64,
    /// On-demand price per hour, in millionths.
    pub price: u64,
    /// Spot price per hour, in millionths.
    pub spot_price: u64,
    /// Nominal boot time.
    #[serde(rename = "boot")]
    pub boot_time: Micros,
    /// Zones in which the type is available.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the resources of an empty machine of this type.
    #[must_use]
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// Returns the price of a machine per hour, in millionths. `spot` selects the spot price.
    #[must_use]
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }

    /// Returns the price of a machine per hour divided by its number of processors.
    #[must_use]
    pub fn price_per_cpu(&self, spot: bool) -> f64 {
        self.price_of(spot) as f64 / self.cpus.max(1) as f64
    }
}
