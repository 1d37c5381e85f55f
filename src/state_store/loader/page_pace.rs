//! Pace of the requests of a full read.
//!
//! All controllers may read at the same time, and each knows only its own requests. Each one
//! therefore stays below its share of the state service's request rate from the first request
//! on. Responses with status 429 show that the sum is too high: they lower the rate, and
//! successes raise it slowly.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::state_store::answer::AnswerError;
use crate::state_store::backoff::Backoff;

/// Fraction of this controller's request rate that a full read may use. The rest is for leases and
/// commits.
const READ_SHARE: f64 = 0.8;
/// Factor by which a 429 response lowers the rate.
const RATE_DECREASE: f64 = 0.7;
/// Fraction of the maximum rate by which a success raises the rate.
const RATE_INCREASE: f64 = 0.05;
/// Fraction of the maximum rate below which 429 responses don't lower the rate.
const MIN_RATE_SHARE: f64 = 0.25;
/// Delay after the first of consecutive 429 responses, if the rate doesn't require a longer one.
const RATE_LIMITED_DELAY: Micros = 50 * MILLISECOND;
/// Maximum delay after consecutive 429 responses. They are cheap for the state service, so that
/// the next attempt can follow soon.
const MAX_RATE_LIMITED_DELAY: Micros = SECOND;
/// Delay after the first of consecutive requests that failed otherwise.
const FAILURE_DELAY: Micros = 250 * MILLISECOND;
/// Maximum delay after consecutive requests that failed otherwise.
const MAX_FAILURE_DELAY: Micros = 3 * SECOND;

/// Number of records per page that a full read requests while no page fails; the state service's
/// maximum.
const MAX_PAGE_SIZE: u32 = 1000;
/// Minimum number of records per page after failures.
const MIN_PAGE_SIZE: u32 = 50;

/// Earliest time of the next request, and the number of records that it asks for.
#[derive(Debug)]
pub(super) struct PagePace {
    /// Requests per second.
    rate: f64,
    max_rate: f64,
    next_at: Micros,
    backoff: Backoff,
    page_size: u32,
}

impl PagePace {
    /// Returns the pace of a controller that may send `request_rate` requests per second.
    pub(super) fn new(request_rate: f64) -> Self {
        let max_rate = request_rate * READ_SHARE;
        PagePace {
            rate: max_rate,
            max_rate,
            next_at: 0,
            backoff: Backoff::default(),
            page_size: MAX_PAGE_SIZE,
        }
    }

    /// Earliest time of the next request.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Number of records of the next page.
    pub(super) fn page_size(&self) -> u32 {
        self.page_size
    }

    /// Records that a request was sent.
    pub(super) fn sent(&mut self, now: Micros) {
        self.next_at = now + (SECOND as f64 / self.rate) as Micros;
    }

    /// Records that a request succeeded.
    pub(super) fn succeeded(&mut self) {
        self.backoff.reset();
        self.rate = (self.rate + self.max_rate * RATE_INCREASE).min(self.max_rate);
        self.page_size = (self.page_size * 2).min(MAX_PAGE_SIZE);
    }

    /// Delays the next request after a failed one.
    pub(super) fn failed(&mut self, error: &AnswerError, now: Micros) {
        let delay = if error.is_rate_limited() {
            self.rate = (self.rate * RATE_DECREASE).max(self.max_rate * MIN_RATE_SHARE);
            self.backoff
                .next_delay(RATE_LIMITED_DELAY, MAX_RATE_LIMITED_DELAY)
        } else {
            self.backoff.next_delay(FAILURE_DELAY, MAX_FAILURE_DELAY)
        };
        if error.may_depend_on_size() {
            self.page_size = (self.page_size / 2).max(MIN_PAGE_SIZE);
        }
        self.next_at = self.next_at.max(now + delay);
    }
}
