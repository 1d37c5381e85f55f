//! Resources of machines and tasks: processors, accelerators and memory.

/// An amount of processors, accelerators and memory.
///
/// The derived ordering compares the fields in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Resources {
    /// Processors, in millionths.
    pub cpus: u64,
    /// Accelerators, in millionths.
    pub gpus: u64,
    /// Memory, in millionths of a GB.
    pub memory: u64,
}

impl Resources {
    /// The empty amount.
    pub const ZERO: Resources = Resources {
        cpus: 0,
        gpus: 0,
        memory: 0,
    };

    /// Returns the sum of each resource.
    #[must_use]
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min_each(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max_each(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory: self.memory.max(other.memory),
        }
    }

    /// Whether no amount exceeds the amount of the same resource in `capacity`.
    #[must_use]
    pub fn fits_in(self, capacity: Resources) -> bool {
        self.cpus <= capacity.cpus && self.gpus <= capacity.gpus && self.memory <= capacity.memory
    }
}

impl From<(u64, u64, u64)> for Resources {
    /// Converts from processors, accelerators and memory, which is the form in messages between
    /// controllers.
    fn from((cpus, gpus, memory): (u64, u64, u64)) -> Self {
        Resources { cpus, gpus, memory }
    }
}

impl From<Resources> for (u64, u64, u64) {
    fn from(amounts: Resources) -> Self {
        (amounts.cpus, amounts.gpus, amounts.memory)
    }
}
