//! The resources that quotas limit, processors and accelerators, with arithmetic that never wraps.

use serde::{Deserialize, Serialize};

/// Processors and accelerators, in millionths. Stored as `[cpus, gpus]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct QuotaAmount {
    /// Processors.
    pub cpus: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl QuotaAmount {
    /// More than any machines together have.
    pub const UNBOUNDED: QuotaAmount = QuotaAmount {
        cpus: u64::MAX,
        gpus: u64::MAX,
    };

    /// Sum, never wrapping.
    #[must_use]
    pub fn plus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Difference, never below zero.
    #[must_use]
    pub fn minus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// `n` times this.
    #[must_use]
    pub fn times(self, n: u64) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }

    /// Whether this fits into `other`.
    #[must_use]
    pub fn within(self, other: QuotaAmount) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// The smaller of each.
    #[must_use]
    pub fn min(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
        }
    }
}

impl From<(u64, u64)> for QuotaAmount {
    /// Processors, accelerators.
    fn from((cpus, gpus): (u64, u64)) -> Self {
        QuotaAmount { cpus, gpus }
    }
}

impl From<QuotaAmount> for (u64, u64) {
    fn from(amount: QuotaAmount) -> Self {
        (amount.cpus, amount.gpus)
    }
}
