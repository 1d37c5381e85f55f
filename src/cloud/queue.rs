//! Requests to the cloud that are not sent yet: rentals first, in the order in which they
//! were made, then the others.

use std::collections::VecDeque;

use super::offer::Offer;
use super::request::Request;

/// Most machines that are released by a request.
const MAX_RELEASED_AT_ONCE: usize = 100;

/// The queue of requests.
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

    /// Adds a request before all others: one that is repeated or continued.
    pub(super) fn push_front(&mut self, request: Request) {
        self.requests.push_front(request);
    }

    /// Adds a rental behind the rentals at the front.
    pub(super) fn push_rental(&mut self, request: Request) {
        let rentals = self.requests.iter().take_while(|r| r.rental().is_some());
        let position = rentals.count();
        self.requests.insert(position, request);
    }

    /// Adds a machine to release.
    ///
    /// Guards against a call for every few machines: the rate of calls, not the machines,
    /// would then say how fast they are released.
    pub(super) fn push_release(&mut self, machine: String) {
        match self.requests.back_mut() {
            Some(Request::Release(names)) if names.len() < MAX_RELEASED_AT_ONCE => {
                names.push(machine);
            }
            _ => self.push(Request::Release(vec![machine])),
        }
    }

    /// Drops all rentals.
    pub(super) fn drop_rentals(&mut self) {
        self.requests.retain(|request| request.rental().is_none());
    }

    /// Drops the rentals of an offer.
    pub(super) fn drop_rentals_of(&mut self, offer: &Offer) {
        self.requests
            .retain(|request| request.rental().is_none_or(|rental| rental.offer != *offer));
    }
}
