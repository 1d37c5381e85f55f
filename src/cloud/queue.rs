//! Queue of requests to the cloud that have not been sent. Rentals come first, in the order in
//! which they were queued, then all other requests.

use std::collections::VecDeque;

use super::offer::Offer;
use super::request::Request;

/// Maximum number of machines per release request.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Queue of requests that have not been sent.
#[derive(Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<Request>,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.iter()
    }

    pub(super) fn pop(&mut self) -> Option<Request> {
        self.requests.pop_front()
    }

    /// Adds a request behind all others.
    pub(super) fn push(&mut self, request: Request) {
        self.requests.push_back(request);
    }

    /// Adds a request before all others, for a retry or the next page of an inventory.
    pub(super) fn push_front(&mut self, request: Request) {
        self.requests.push_front(request);
    }

    /// Adds a rental behind the rentals at the front.
    pub(super) fn push_rental(&mut self, request: Request) {
        let rentals = self.requests.iter().take_while(|r| r.rental().is_some());
        let position = rentals.count();
        self.requests.insert(position, request);
    }

    /// Adds a machine to the release request at the back, or to a new request.
    ///
    /// Guards against calls that release only a few machines each, because the rate limit on
    /// calls would then limit how fast machines are released.
    pub(super) fn push_release(&mut self, machine: String) {
        match self.requests.back_mut() {
            Some(Request::Release(names)) if names.len() < MAX_MACHINES_PER_RELEASE => {
                names.push(machine);
            }
            _ => self.push(Request::Release(vec![machine])),
        }
    }

    /// Drops all rentals.
    pub(super) fn drop_rentals(&mut self) {
        self.requests.retain(|request| request.rental().is_none());
    }

    /// Drops all rentals of an offer.
    pub(super) fn drop_rentals_of(&mut self, offer: &Offer) {
        self.requests
            .retain(|request| request.rental().is_none_or(|rental| rental.offer != *offer));
    }
}
