//! Exponential backoff for offers that the cloud refused for lack of capacity.

use std::collections::BTreeMap;

use super::offer::Offer;
use salttiller_records::units::{Micros, SECOND};

/// Base of the backoff, which doubles with each consecutive refusal, including the first.
const BASE_BACKOFF: Micros = 4 * SECOND;
/// Maximum number of consecutive refusals that double the backoff.
const MAX_COUNTED_REFUSALS: u32 = 4;
/// Maximum backoff after a refusal.
const MAX_BACKOFF: Micros = 30 * SECOND;

/// Exponential backoff of each refused offer.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    backoffs: BTreeMap<Offer, Backoff>,
}

/// Backoff of a refused offer.
#[derive(Debug, Default)]
struct Backoff {
    until: Micros,
    refusals: u32,
}

impl CapacityBackoff {
    /// Records that a rental of an offer was refused, or filled only in part, and starts its
    /// backoff.
    pub fn record_refusal(&mut self, offer: &Offer, now: Micros) {
        let backoff = self.backoffs.entry(offer.clone()).or_default();
        backoff.refusals = (backoff.refusals + 1).min(MAX_COUNTED_REFUSALS);
        backoff.until = now + (BASE_BACKOFF << backoff.refusals).min(MAX_BACKOFF);
    }

    /// Records that a rental of an offer was filled, and ends its backoff.
    pub fn record_success(&mut self, offer: &Offer) {
        self.backoffs.remove(offer);
    }

    /// Whether an offer must not be requested at `now`.
    #[must_use]
    pub fn is_backing_off(&self, offer: &Offer, now: Micros) -> bool {
        self.backoffs
            .get(offer)
            .is_some_and(|backoff| now < backoff.until)
    }

    /// Whether there is any offer that must not be requested at `now`.
    #[must_use]
    pub fn any_backing_off(&self, now: Micros) -> bool {
        self.backoffs.values().any(|backoff| now < backoff.until)
    }
}
