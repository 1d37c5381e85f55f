//! Kinds of machines that come up late or never, as the regions' owners tell. What is
//! booting is a forecast, not a fact: overdue machines are no supply, so their place is
//! rented again, of another kind if one fits; of the same only a few at a time.

use super::*;
use crate::peer_protocol::ProvisioningHealth;
use crate::region::is_provisioning_trouble;

/// How long an owner's word holds.
const VALID: Micros = 6 * SECOND;
/// Machines of a kind in trouble that are rented at a time, to see whether they come up.
const PROBE: u32 = 2;
/// How long a probe is given before the next.
const PROBE_EVERY: Micros = 20 * SECOND;
/// How much dearer a kind in trouble counts: another that fits goes first.
const PENALTY: f64 = 8.0;

/// What is known of one kind over all regions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolProvisioning {
    /// Machines that should have come up.
    pub overdue: u32,
    /// Machines that came up lately.
    pub arrived: u32,
    /// For how long the first has been overdue.
    pub since: Micros,
}

impl PoolProvisioning {
    fn in_trouble(self) -> bool {
        is_provisioning_trouble(self.overdue, self.arrived)
    }
}

/// The regions' last words on boots.
#[derive(Debug, Default)]
pub struct ProvisioningReports {
    by_region: BTreeMap<String, (Micros, Vec<ProvisioningHealth>)>,
    probed: BTreeMap<Offer, Micros>,
}

impl ProvisioningReports {
    /// An owner tells how machines of its region come up.
    pub fn note(&mut self, region: String, lines: Vec<ProvisioningHealth>, now: Micros) {
        self.by_region.insert(region, (now, lines));
    }

    /// Forgets what is too old to go by.
    pub fn expire(&mut self, now: Micros) {
        self.by_region.retain(|_, (at, _)| now < *at + VALID);
    }

    /// What is known of a kind.
    pub fn kind(&self, offer: &Offer) -> PoolProvisioning {
        let mut all = PoolProvisioning::default();
        let lines = self.by_region.values().flat_map(|(_, lines)| lines);
        for l in lines {
            if l.machine_type == offer.machine_type && l.zone == offer.zone && l.spot == offer.spot
            {
                all.overdue += l.overdue;
                all.arrived += l.arrived;
                all.since = all.since.max(l.overdue_us);
            }
        }
        all
    }

    /// The kinds that come up badly.
    pub fn in_trouble(&self) -> Vec<(Offer, PoolProvisioning)> {
        let lines = self.by_region.values().flat_map(|(_, lines)| lines);
        let kinds: BTreeSet<Offer> = lines
            .map(|l| Offer {
                machine_type: l.machine_type.clone(),
                zone: l.zone.clone(),
                spot: l.spot,
            })
            .collect();
        let known = kinds.into_iter().map(|o| {
            let boots = self.kind(&o);
            (o, boots)
        });
        known.filter(|(_, boots)| boots.in_trouble()).collect()
    }

    /// By how much dearer a kind counts than it costs.
    pub(super) fn penalty(&self, offer: &Offer) -> f64 {
        if self.kind(offer).in_trouble() && !is_disabled(Safeguard::BootTrouble) {
            PENALTY
        } else {
            1.0
        }
    }

    /// How many of `count` machines to ask for now: of a kind in trouble those that are
    /// overdue may yet come, so no more than what they leave, and a probe now and then.
    pub(super) fn limit(&mut self, offer: &Offer, count: u32, now: Micros) -> u32 {
        let boots = self.kind(offer);
        if !boots.in_trouble() || is_disabled(Safeguard::BootTrouble) {
            return count;
        }
        let rest = count.saturating_sub(boots.overdue);
        let due = self
            .probed
            .get(offer)
            .is_none_or(|at| now > *at + PROBE_EVERY);
        if rest == 0 && !due {
            return 0;
        }
        self.probed.insert(offer.clone(), now);
        rest.max(PROBE.min(count))
    }
}

#[cfg(test)]
mod tests;
