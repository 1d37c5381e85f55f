//! Client of the cloud's API. Sends one call at a time and stays within this controller's share
//! of the rate limit.

use std::collections::BTreeSet;

use thiserror::Error;

use super::inventory::{Inventory, InventoryRead, PageOutcome};
use super::offer::Offer;
use super::pacing::Pacing;
use super::queue::RequestQueue;
use super::request::{CloudCall, PendingRental, Request};
use super::wire;
use crate::reactor::CallError;
use crate::settings::Settings;
use salttiller_protocol::http::Response;
use salttiller_records::model::MachineType;
use salttiller_records::units::{Micros, SECOND};

/// Maximum number of machines per rental, as limited by the cloud.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Time until the next check for a due call when none is scheduled.
const IDLE_POLL_INTERVAL: Micros = SECOND;

/// Outcome of a call to the cloud.
#[derive(Debug, PartialEq)]
pub enum CloudEvent {
    /// The machine types that the cloud offers.
    MachineTypes(Vec<MachineType>),
    /// Machines were rented.
    Rented {
        /// The offer from which the machines were rented.
        offer: Offer,
        /// The region for which the machines were rented.
        region: String,
        /// Names of the machines; fewer than requested if capacity ran out.
        machines: Vec<String>,
        /// Number of machines that were requested.
        requested: u32,
    },
    /// The cloud has no capacity for an offer.
    NoCapacity(Offer),
    /// The cloud confirmed the release of these machines.
    Released(Vec<String>),
    /// The complete inventory.
    Inventory(Inventory),
    /// The cloud's API failed or didn't respond.
    Unavailable,
}

/// Error of a call that returned no usable response.
#[derive(Debug, Error)]
pub enum CloudError {
    /// The call returned no complete response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The cloud responded with an error status, because of its rate limit or an outage.
    #[error("status {0}")]
    Status(u16),
    /// The body doesn't match the cloud's API.
    #[error("response can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Client of the cloud's API.
///
/// Rentals and releases are retried unchanged until the cloud's response is definite. Both can
/// be retried safely: a repeated idempotency key rents no additional machines, and a released
/// machine is never used again.
pub struct CloudClient {
    queue: RequestQueue,
    /// The call without a response yet: its id and its request.
    in_flight: Option<(u64, Request)>,
    next_call_id: u64,
    pacing: Pacing,
    /// Machines whose release has been requested but not confirmed.
    releasing: BTreeSet<String>,
}

impl CloudClient {
    /// Creates a client that stays within this controller's share of the cloud's rate limit.
    pub fn new(settings: &Settings) -> Self {
        CloudClient {
            queue: RequestQueue::default(),
            in_flight: None,
            next_call_id: 1,
            pacing: Pacing::new(settings),
            releasing: BTreeSet::new(),
        }
    }

    /// Sets whether this controller is the leader, whose share of the rate limit is larger.
    pub fn set_leading(&mut self, leading: bool) {
        self.pacing.set_leading(leading);
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.pacing.is_failing()
    }

    /// Requests the machine types, unless such a request is already pending.
    pub fn request_machine_types(&mut self) {
        let is_same = |request: &Request| matches!(request, Request::MachineTypes);
        if !self.pending().any(is_same) {
            self.queue.push(Request::MachineTypes);
        }
    }

    /// Requests the inventory, unless such a request is already pending.
    pub fn request_inventory(&mut self) {
        let is_same = |request: &Request| matches!(request, Request::Inventory(_));
        if !self.pending().any(is_same) {
            let first_page = Request::Inventory(InventoryRead::default());
            self.queue.push(first_page);
        }
    }

    /// Requests without a response yet. The request in flight comes last.
    fn pending(&self) -> impl Iterator<Item = &Request> {
        let sent = self.in_flight.as_ref().map(|(_, request)| request);
        self.queue.iter().chain(sent)
    }

    /// Queues a rental of machines. No controller may have used the idempotency key before.
    pub fn rent(&mut self, offer: Offer, region: String, count: u32, idempotency_key: String) {
        self.queue.push_rental(Request::Rent {
            rental: PendingRental {
                offer,
                region,
                count: count.clamp(1, MAX_MACHINES_PER_RENTAL),
            },
            idempotency_key,
        });
    }

    /// Rentals without a response yet.
    #[must_use]
    pub fn pending_rentals(&self) -> Vec<PendingRental> {
        self.pending()
            .filter_map(Request::rental)
            .cloned()
            .collect()
    }

    /// Drops the rentals that have not been sent, because this controller is no longer the
    /// leader.
    pub fn cancel_unsent_rentals(&mut self) {
        self.queue.drop_rentals();
    }

    /// Queues the release of machines, except those that are already being released.
    pub fn release(&mut self, machines: Vec<String>) {
        for machine in machines {
            if self.releasing.insert(machine.clone()) {
                self.queue.push_release(machine);
            }
        }
    }

    /// Returns the next call, if one is due, and the time at which to call this method again.
    pub fn next_call(&mut self, now: Micros) -> (Option<CloudCall>, Micros) {
        if self.in_flight.is_some() || self.queue.is_empty() {
            return (None, now + IDLE_POLL_INTERVAL);
        }
        if now < self.pacing.next_call_at() {
            return (None, self.pacing.next_call_at());
        }
        let Some(mut request) = self.queue.pop() else {
            return (None, now + IDLE_POLL_INTERVAL);
        };
        if let Request::Inventory(read) = &mut request {
            read.sent(now);
        }
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.pacing.on_call(now);
        let call = request.call(call_id);
        self.in_flight = Some((call_id, request));
        (Some(call), now + IDLE_POLL_INTERVAL)
    }

    /// Handles the result of a call. Ignores results of calls other than the one in flight.
    pub fn on_response(
        &mut self,
        call_id: u64,
        result: Result<Response, CallError>,
        now: Micros,
    ) -> Vec<CloudEvent> {
        let Some((_, request)) = self.in_flight.take_if(|(id, _)| *id == call_id) else {
            return Vec::new();
        };
        match self.handle_result(&request, result) {
            Ok(events) => events,
            Err(error) => {
                log::info!("call to the cloud failed, backing off: {error}");
                self.pacing.on_failure(now);
                if request.is_retried(now) {
                    self.queue.push_front(request);
                }
                vec![CloudEvent::Unavailable]
            }
        }
    }

    /// Returns the events of a definite result. Any other result is an error.
    fn handle_result(
        &mut self,
        request: &Request,
        result: Result<Response, CallError>,
    ) -> Result<Vec<CloudEvent>, CloudError> {
        let response = result?;
        let events = match (response.status, request) {
            (200, _) => self.on_success(request, &response.body)?,
            (503, Request::Rent { rental, .. }) if wire::is_no_capacity(&response.body) => {
                self.queue.drop_rentals_of(&rental.offer);
                vec![CloudEvent::NoCapacity(rental.offer.clone())]
            }
            (400, _) => {
                log::error!("request to the cloud rejected as malformed: {request:?}");
                let offer = request.rental().map(|rental| rental.offer.clone());
                return Ok(offer.into_iter().map(CloudEvent::NoCapacity).collect());
            }
            (status, _) => return Err(CloudError::Status(status)),
        };
        self.pacing.on_success();
        Ok(events)
    }

    fn on_success(
        &mut self,
        request: &Request,
        body: &[u8],
    ) -> Result<Vec<CloudEvent>, CloudError> {
        let event = match request {
            Request::MachineTypes => CloudEvent::MachineTypes(wire::decode_machine_types(body)?),
            Request::Rent { rental, .. } => CloudEvent::Rented {
                offer: rental.offer.clone(),
                region: rental.region.clone(),
                machines: wire::decode_rented(body)?,
                requested: rental.count,
            },
            Request::Release(names) => {
                for name in names {
                    self.releasing.remove(name);
                }
                CloudEvent::Released(names.clone())
            }
            Request::Inventory(read) => {
                let page = wire::decode_inventory(body)?;
                match read.clone().add_page(page) {
                    PageOutcome::Incomplete(read) => {
                        self.queue.push_front(Request::Inventory(read));
                        return Ok(Vec::new());
                    }
                    PageOutcome::Complete(inventory) => CloudEvent::Inventory(inventory),
                }
            }
        };
        Ok(vec![event])
    }
}
