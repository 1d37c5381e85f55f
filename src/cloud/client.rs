//! The client of the cloud: one call at a time, paced under the cloud's rate.

use std::collections::BTreeSet;

use thiserror::Error;

use super::inventory::{InventoryRead, ListedMachine, NextPage};
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

/// Most machines that are rented by a request: the most that the cloud gives.
const MAX_RENTED_AT_ONCE: u32 = 50;
/// How soon to look again when no call is due.
const IDLE_INTERVAL: Micros = SECOND;

/// What the cloud answered.
#[derive(Debug, PartialEq)]
pub enum CloudEvent {
    /// The machine types that are offered.
    MachineTypes(Vec<MachineType>),
    /// Machines were rented.
    Rented {
        /// What they are.
        offer: Offer,
        /// Region that they are for.
        region: String,
        /// Their names; fewer than requested if capacity ran out.
        machines: Vec<String>,
        /// How many were requested.
        requested: u32,
    },
    /// There is no capacity for an offer.
    NoCapacity(Offer),
    /// These machines are surely gone.
    Released(Vec<String>),
    /// The whole inventory.
    Inventory(Vec<ListedMachine>),
    /// The cloud's interface fails or doesn't answer.
    Unavailable,
}

/// Why a call has no usable answer.
#[derive(Debug, Error)]
pub enum CloudError {
    /// No response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Refused, for its rate or an outage.
    #[error("status {0}")]
    Status(u16),
    /// The body is not what was expected.
    #[error("unreadable body: {0}")]
    Encoding(#[from] rmp_serde::decode::Error),
}

/// A client of the cloud.
///
/// Renting and releasing are repeated unchanged until the answer is definite: a repeated
/// idempotency key rents nothing more, and a machine once released never serves again.
pub struct CloudClient {
    queue: RequestQueue,
    /// The call that is not answered yet, by its id.
    in_flight: Option<(u64, Request)>,
    next_call_id: u64,
    pacing: Pacing,
    /// Machines whose release was requested and is not confirmed.
    releasing: BTreeSet<String>,
}

impl CloudClient {
    /// A client within this controller's share of the cloud's rate.
    pub fn new(settings: &Settings) -> Self {
        CloudClient {
            queue: RequestQueue::default(),
            in_flight: None,
            next_call_id: 1,
            pacing: Pacing::new(settings),
            releasing: BTreeSet::new(),
        }
    }

    /// Sets whether this controller leads, which gives it the larger share of the rate.
    pub fn set_leading(&mut self, leading: bool) {
        self.pacing.set_leading(leading);
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.pacing.is_failing()
    }

    /// Requests the machine types, unless they are already being requested.
    pub fn request_machine_types(&mut self) {
        let is_same = |request: &Request| matches!(request, Request::MachineTypes);
        if !self.pending().any(is_same) {
            self.queue.push(Request::MachineTypes);
        }
    }

    /// Requests the inventory, unless it is already being requested.
    pub fn request_inventory(&mut self) {
        let is_same = |request: &Request| matches!(request, Request::Inventory(_));
        if !self.pending().any(is_same) {
            let first_page = Request::Inventory(InventoryRead::default());
            self.queue.push(first_page);
        }
    }

    /// Requests that are not answered yet; the one that was sent comes last.
    fn pending(&self) -> impl Iterator<Item = &Request> {
        let sent = self.in_flight.as_ref().map(|(_, request)| request);
        self.queue.iter().chain(sent)
    }

    /// Rents machines. The idempotency key must never have been used by any controller.
    pub fn rent(&mut self, offer: Offer, region: String, count: u32, idempotency_key: String) {
        self.queue.push_rental(Request::Rent {
            rental: PendingRental {
                offer,
                region,
                count: count.clamp(1, MAX_RENTED_AT_ONCE),
            },
            idempotency_key,
        });
    }

    /// Rentals that are not answered yet.
    #[must_use]
    pub fn pending_rentals(&self) -> Vec<PendingRental> {
        self.pending()
            .filter_map(Request::rental)
            .cloned()
            .collect()
    }

    /// Drops rentals that have not been sent: this controller no longer leads.
    pub fn cancel_unsent_rentals(&mut self) {
        self.queue.drop_rentals();
    }

    /// Releases machines; those already being released are left out.
    pub fn release(&mut self, machines: Vec<String>) {
        for machine in machines {
            if self.releasing.insert(machine.clone()) {
                self.queue.push_release(machine);
            }
        }
    }

    /// The next call, if one is due, and when to look again.
    pub fn next_call(&mut self, now: Micros) -> (Option<CloudCall>, Micros) {
        if self.in_flight.is_some() || self.queue.is_empty() {
            return (None, now + IDLE_INTERVAL);
        }
        if now < self.pacing.next_at() {
            return (None, self.pacing.next_at());
        }
        let Some(request) = self.queue.pop() else {
            return (None, now + IDLE_INTERVAL);
        };
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.pacing.on_call(now);
        let call = request.call(call_id);
        self.in_flight = Some((call_id, request));
        (Some(call), now + IDLE_INTERVAL)
    }

    /// Takes the result of a call; one that is not awaited is ignored.
    pub fn on_response(
        &mut self,
        call_id: u64,
        result: Result<Response, CallError>,
        now: Micros,
    ) -> Vec<CloudEvent> {
        let Some((_, request)) = self.in_flight.take_if(|(id, _)| *id == call_id) else {
            return Vec::new();
        };
        match self.complete(&request, result) {
            Ok(events) => events,
            Err(error) => {
                log::info!("call to the cloud failed, backing off: {error}");
                self.pacing.on_failure(now);
                if request.is_repeated() {
                    self.queue.push_front(request);
                }
                vec![CloudEvent::Unavailable]
            }
        }
    }

    /// What follows from a result that is definite.
    fn complete(
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
            Request::Inventory(read) => match read.add(wire::decode_inventory(body)?) {
                NextPage::Follows(read) => {
                    self.queue.push_front(Request::Inventory(read));
                    return Ok(Vec::new());
                }
                NextPage::Complete(machines) => CloudEvent::Inventory(machines),
            },
        };
        Ok(vec![event])
    }
}
