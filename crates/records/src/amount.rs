//! Amounts of the resources that quotas limit, which are processors and accelerators. The
//! arithmetic never overflows.

use serde::{Deserialize, Serialize};

/// An amount of processors and accelerators, in millionths. Stored as `[cpus, gpus]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct QuotaAmount {
    /// Number of processors, in millionths.
    pub cpus: u64,
    /// Number of accelerators, in millionths.
    pub gpus: u64,
}

impl QuotaAmount {
    /// An amount that exceeds the capacity of all machines together.
    pub const UNBOUNDED: QuotaAmount = QuotaAmount {
        cpus: u64::MAX,
        gpus: u64::MAX,
    };

    /// Returns the sum, saturating at the numeric bounds.
    #[must_use]
    pub fn plus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub fn minus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns the amount multiplied by `n`, saturating at the numeric bounds.
    #[must_use]
    pub fn times(self, n: u64) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }

    /// Whether neither amount exceeds the amount of the same resource in `other`.
    #[must_use]
    pub fn within(self, other: QuotaAmount) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
        }
    }
}

impl From<(u64, u64)> for QuotaAmount {
    /// Converts a pair of processors and accelerators, in millionths.
    fn from((cpus, gpus): (u64, u64)) -> Self {
        QuotaAmount { cpus, gpus }
    }
}

impl From<QuotaAmount> for (u64, u64) {
    fn from(amount: QuotaAmount) -> Self {
        (amount.cpus, amount.gpus)
    }
}
