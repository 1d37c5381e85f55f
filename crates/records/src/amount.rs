//! Processors and cards together, with arithmetic that never wraps.

/// Processors and cards together, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaAmount {
    /// Processors.
    pub cpus: u64,
    /// Cards.
    pub gpus: u64,
}

impl QuotaAmount {
    /// More than any machines together have.
    pub const UNBOUNDED: QuotaAmount = QuotaAmount {
        cpus: u64::MAX,
        gpus: u64::MAX,
    };

    /// Sum, never wrapping.
    pub fn plus(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_add(o.cpus),
            gpus: self.gpus.saturating_add(o.gpus),
        }
    }

    /// Difference, never below zero.
    pub fn minus(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_sub(o.cpus),
            gpus: self.gpus.saturating_sub(o.gpus),
        }
    }

    /// `n` times this.
    pub fn times(self, n: u64) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }

    /// Whether this fits into `o`.
    pub fn within(self, o: QuotaAmount) -> bool {
        self.cpus <= o.cpus && self.gpus <= o.gpus
    }

    /// The smaller of each.
    pub fn min(self, o: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.min(o.cpus),
            gpus: self.gpus.min(o.gpus),
        }
    }
}
