//! Offers that the cloud had no capacity for, and until when they are not requested again.

use std::collections::BTreeMap;

use super::offer::Offer;
use salttiller_records::units::{Micros, SECOND};

/// Backoff after a refusal is this, doubled for each refusal in a row ...
const BASE: Micros = 4 * SECOND;
/// ... so many of which count ...
const MAX_REFUSALS: u32 = 4;
/// ... up to this.
const MAX_BACKOFF: Micros = 30 * SECOND;

/// Exponential backoff by offer.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    record_refusal: BTreeMap<Offer, Backoff>,
}

/// Backoff of an offer.
#[derive(Debug, Default)]
struct Backoff {
    until: Micros,
    refusals: u32,
}

impl CapacityBackoff {
    /// Records that an offer was refused, or filled only in part.
    pub fn record_refusal(&mut self, offer: &Offer, now: Micros) {
        let backoff = self.record_refusal.entry(offer.clone()).or_default();
        backoff.refusals = (backoff.refusals + 1).min(MAX_REFUSALS);
        backoff.until = now + (BASE << backoff.refusals).min(MAX_BACKOFF);
    }

    /// Records that an offer was filled.
    pub fn record_success(&mut self, offer: &Offer) {
        self.record_refusal.remove(offer);
    }

    /// Whether an offer is not to be requested for now.
    #[must_use]
    pub fn is_backing_off(&self, offer: &Offer, now: Micros) -> bool {
        self.record_refusal
            .get(offer)
            .is_some_and(|backoff| now < backoff.until)
    }

    /// Whether any offer is not to be requested for now.
    #[must_use]
    pub fn any_backing_off(&self, now: Micros) -> bool {
        self.record_refusal
            .values()
            .any(|backoff| now < backoff.until)
    }
}
