//! Pools of machines: a borrowed key of machine type, zone and spot or on-demand.

use crate::cloud::Offer;
use crate::peer_protocol::{PoolCapacity, ProvisioningHealth};

/// Key of a pool. Ordered by type, then zone, then on-demand before spot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Pool<'a> {
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

impl Pool<'_> {
    /// Returns the cloud's offer of machines of this pool.
    pub(super) fn to_offer(self) -> Offer {
        Offer {
            machine_type: self.machine_type.to_owned(),
            zone: self.zone.to_owned(),
            spot: self.spot,
        }
    }
}

impl<'a> From<&'a Offer> for Pool<'a> {
    fn from(offer: &'a Offer) -> Self {
        Pool {
            machine_type: &offer.machine_type,
            zone: &offer.zone,
            spot: offer.spot,
        }
    }
}

impl<'a> From<&'a PoolCapacity> for Pool<'a> {
    fn from(reported: &'a PoolCapacity) -> Self {
        Pool {
            machine_type: &reported.machine_type,
            zone: &reported.zone,
            spot: reported.spot,
        }
    }
}

impl<'a> From<&'a ProvisioningHealth> for Pool<'a> {
    fn from(reported: &'a ProvisioningHealth) -> Self {
        Pool {
            machine_type: &reported.machine_type,
            zone: &reported.zone,
            spot: reported.spot,
        }
    }
}
