//! What a machine has and what a task takes: processors, accelerators and memory.

/// Processors and accelerators in millionths, memory in millionths of a GB.
///
/// The order of the fields is the order in which amounts are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Resources {
    /// Processors, millionths.
    pub cpus: u64,
    /// Accelerators, millionths.
    pub gpus: u64,
    /// Memory, millionths of a GB.
    pub memory: u64,
}

impl Resources {
    /// Nothing at all.
    pub const ZERO: Resources = Resources {
        cpus: 0,
        gpus: 0,
        memory: 0,
    };

    /// Sum of each.
    #[must_use]
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }

    /// Difference of each, never below zero.
    #[must_use]
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// The smaller of each.
    #[must_use]
    pub fn min_each(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// The larger of each.
    #[must_use]
    pub fn max_each(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory: self.memory.max(other.memory),
        }
    }

    /// Whether each of these amounts is at most that of `capacity`.
    #[must_use]
    pub fn fits_in(self, capacity: Resources) -> bool {
        self.cpus <= capacity.cpus && self.gpus <= capacity.gpus && self.memory <= capacity.memory
    }
}

impl From<(u64, u64, u64)> for Resources {
    /// Processors, accelerators, memory: the form in messages between controllers.
    fn from((cpus, gpus, memory): (u64, u64, u64)) -> Self {
        Resources { cpus, gpus, memory }
    }
}

impl From<Resources> for (u64, u64, u64) {
    fn from(amounts: Resources) -> Self {
        (amounts.cpus, amounts.gpus, amounts.memory)
    }
}
