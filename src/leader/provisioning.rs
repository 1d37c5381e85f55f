//! Provisioning health: limits rentals from degraded pools, whose machines boot late or never.
//!
//! The regions' owners report overdue and booted machines. Overdue machines may never boot, so
//! they don't count as capacity, and replacements are rented: from another pool if one fits, from
//! the degraded pool only a few at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::Offer;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::ProvisioningHealth;
use crate::region::is_provisioning_degraded;
use salttiller_records::units::{Micros, SECOND};

use super::pool::Pool;

/// Time for which an owner's report is valid.
const REPORT_TTL: Micros = 6 * SECOND;
/// Number of machines of a degraded pool rented at a time, to probe whether they boot.
const PROBE_MACHINES: u32 = 2;
/// Interval between two probes of a pool, in which the machines of the first may boot.
const PROBE_INTERVAL: Micros = 20 * SECOND;
/// Cost factor of a degraded pool when offers are compared, so that other fitting pools are
/// selected first.
const DEGRADED_COST_FACTOR: f64 = 8.0;

/// Provisioning health of one pool, over all regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolProvisioning {
    /// The pool: type, zone, spot or on-demand.
    pub offer: Offer,
    /// Number of machines that should have booted by now.
    pub overdue: u32,
    /// Number of machines that booted recently.
    pub arrived: u32,
    /// Time for which the first machine has been overdue.
    pub longest_overdue: Micros,
}

impl PoolProvisioning {
    fn is_degraded(&self) -> bool {
        is_provisioning_degraded(self.overdue, self.arrived)
    }
}

/// A region owner's report on the provisioning of its machines.
#[derive(Debug)]
struct ProvisioningReport {
    received_at: Micros,
    pools: Vec<ProvisioningHealth>,
}

/// The last report of each region, and the time of the last probe of each degraded pool.
#[derive(Debug, Default)]
pub(super) struct ProvisioningReports {
    by_region: BTreeMap<String, ProvisioningReport>,
    probed_at: BTreeMap<Offer, Micros>,
}

impl ProvisioningReports {
    /// Handles an owner's report on the provisioning of its machines.
    pub(super) fn on_report(
        &mut self,
        region: String,
        pools: Vec<ProvisioningHealth>,
        now: Micros,
    ) {
        let report = ProvisioningReport {
            received_at: now,
            pools,
        };
        self.by_region.insert(region, report);
    }

    /// Removes expired reports.
    pub(super) fn expire(&mut self, now: Micros) {
        self.by_region
            .retain(|_, report| now < report.received_at + REPORT_TTL);
    }

    /// Returns the degraded pools.
    pub(super) fn degraded_pools(&self) -> Vec<PoolProvisioning> {
        let pools: BTreeSet<Pool<'_>> = self.reported_pools().map(Pool::from).collect();
        pools
            .into_iter()
            .map(|pool| self.pool(&pool.to_offer()))
            .filter(PoolProvisioning::is_degraded)
            .collect()
    }

    /// Returns the factor by which a pool's cost is multiplied when offers are compared.
    pub(super) fn cost_factor(&self, offer: &Offer) -> f64 {
        if self.pool(offer).is_degraded() && !is_disabled(Safeguard::DegradedProvisioning) {
            DEGRADED_COST_FACTOR
        } else {
            1.0
        }
    }

    /// Returns how many of `wanted` machines to rent now. The overdue machines of a degraded pool
    /// may still boot, so only the machines wanted beyond them are rented, or a periodic probe.
    #[must_use]
    pub(super) fn limit(&mut self, offer: &Offer, wanted: u32, now: Micros) -> u32 {
        let pool = self.pool(offer);
        if !pool.is_degraded() || is_disabled(Safeguard::DegradedProvisioning) {
            return wanted;
        }
        let beyond_overdue = wanted.saturating_sub(pool.overdue);
        let is_probe_due = self
            .probed_at
            .get(offer)
            .is_none_or(|probed_at| now > *probed_at + PROBE_INTERVAL);
        if beyond_overdue == 0 && !is_probe_due {
            return 0;
        }
        self.probed_at.insert(offer.clone(), now);
        beyond_overdue.max(PROBE_MACHINES.min(wanted))
    }

    /// Returns the provisioning health of a pool, combined from the reports of all regions.
    fn pool(&self, offer: &Offer) -> PoolProvisioning {
        let mut pool = PoolProvisioning {
            offer: offer.clone(),
            overdue: 0,
            arrived: 0,
            longest_overdue: 0,
        };
        for reported in self
            .reported_pools()
            .filter(|p| Pool::from(*p) == Pool::from(offer))
        {
            pool.overdue += reported.overdue;
            pool.arrived += reported.arrived;
            pool.longest_overdue = pool.longest_overdue.max(reported.overdue_us);
        }
        pool
    }

    fn reported_pools(&self) -> impl Iterator<Item = &ProvisioningHealth> {
        self.by_region.values().flat_map(|report| &report.pools)
    }
}

#[cfg(test)]
mod tests;
