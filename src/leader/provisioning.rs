//! Pools whose machines come up late or never, by the reports of the regions' owners.
//!
//! A machine that boots is a forecast, not a fact: overdue machines are no supply, so they are
//! rented again, from another pool if one fits; from the same only a few at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::Offer;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::ProvisioningHealth;
use crate::region::is_provisioning_degraded;
use salttiller_records::units::{Micros, SECOND};

use super::pool::Pool;

/// How long an owner's report counts.
const REPORT_TTL: Micros = 6 * SECOND;
/// Machines of a pool in trouble that are rented at a time, to see whether they come up.
const PROBE_MACHINES: u32 = 2;
/// Between two probes of a pool: how long the machines of one are given to come up.
const PROBE_INTERVAL: Micros = 20 * SECOND;
/// How much dearer a pool in trouble counts: any other that fits goes first.
const TROUBLE_COST_FACTOR: f64 = 8.0;

/// How the machines of one pool come up, over all regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolProvisioning {
    /// The pool: type, zone, spot or on-demand.
    pub offer: Offer,
    /// Machines that should have come up.
    pub overdue: u32,
    /// Machines that came up lately.
    pub arrived: u32,
    /// For how long the first has been overdue.
    pub longest_overdue: Micros,
}

impl PoolProvisioning {
    fn is_in_trouble(&self) -> bool {
        is_provisioning_degraded(self.overdue, self.arrived)
    }
}

/// A region owner's report of how its machines come up.
#[derive(Debug)]
struct ProvisioningReport {
    received_at: Micros,
    pools: Vec<ProvisioningHealth>,
}

/// The last report of each region, and the probes that were made by them.
#[derive(Debug, Default)]
pub(super) struct ProvisioningReports {
    by_region: BTreeMap<String, ProvisioningReport>,
    probed_at: BTreeMap<Offer, Micros>,
}

impl ProvisioningReports {
    /// An owner reports how the machines of its region come up.
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

    /// Forgets reports that are too old.
    pub(super) fn expire(&mut self, now: Micros) {
        self.by_region
            .retain(|_, report| now < report.received_at + REPORT_TTL);
    }

    /// The pools that come up badly.
    pub(super) fn in_trouble(&self) -> Vec<PoolProvisioning> {
        let pools: BTreeSet<Pool<'_>> = self.reported_pools().map(Pool::from).collect();
        pools
            .into_iter()
            .map(|pool| self.pool(&pool.to_offer()))
            .filter(PoolProvisioning::is_in_trouble)
            .collect()
    }

    /// The factor by which a pool's cost is multiplied when offers are compared.
    pub(super) fn cost_factor(&self, offer: &Offer) -> f64 {
        if self.pool(offer).is_in_trouble() && !is_disabled(Safeguard::DegradedProvisioning) {
            TROUBLE_COST_FACTOR
        } else {
            1.0
        }
    }

    /// How many of `wanted` machines to rent now. Of a pool in trouble the overdue machines may
    /// yet come, so it is no more than what they leave, and a probe now and then.
    #[must_use]
    pub(super) fn limit(&mut self, offer: &Offer, wanted: u32, now: Micros) -> u32 {
        let pool = self.pool(offer);
        if !pool.is_in_trouble() || is_disabled(Safeguard::DegradedProvisioning) {
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

    /// What all regions report of a pool.
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
