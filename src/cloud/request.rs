//! Requests to the cloud, and the calls that carry them.

use super::inventory::InventoryRead;
use super::offer::Offer;
use super::wire;
use salttiller_records::units::{Micros, SECOND};

/// How long a call may take.
const CALL_TIMEOUT: Micros = 3 * SECOND;

/// A call to the cloud.
#[derive(Debug)]
pub struct CloudCall {
    /// Handed back with the response.
    pub call_id: u64,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, encoded.
    pub body: Vec<u8>,
    /// How long it may take.
    pub timeout: Micros,
}

/// A rental that was requested and is not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRental {
    /// What is rented.
    pub offer: Offer,
    /// Region that the machines are for.
    pub region: String,
    /// How many machines.
    pub count: u32,
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub(super) enum Request {
    /// The machine types that are offered.
    MachineTypes,
    /// Rent machines. Repeated under the same key, it rents nothing more.
    Rent {
        rental: PendingRental,
        idempotency_key: String,
    },
    /// Release machines.
    Release(Vec<String>),
    /// The next page of the inventory.
    Inventory(InventoryRead),
}

impl Request {
    /// The rental, if it is one.
    pub(super) fn rental(&self) -> Option<&PendingRental> {
        match self {
            Request::Rent { rental, .. } => Some(rental),
            _ => None,
        }
    }

    /// Whether it is repeated unchanged after a failure until the answer is definite. What is
    /// only read is requested anew by whoever needs it.
    pub(super) fn is_repeated(&self) -> bool {
        matches!(self, Request::Rent { .. } | Request::Release(_))
    }

    /// The call that carries it.
    pub(super) fn call(&self, call_id: u64) -> CloudCall {
        let (method, target, body) = match self {
            Request::MachineTypes => ("GET", "/flavors".to_owned(), Vec::new()),
            Request::Rent {
                rental,
                idempotency_key,
            } => {
                let body = wire::encode_rent(&rental.offer, rental.count, idempotency_key);
                ("POST", "/machines".to_owned(), body)
            }
            Request::Release(names) => {
                let body = wire::encode_release(names);
                ("POST", "/machines/release".to_owned(), body)
            }
            Request::Inventory(read) => ("GET", read.target(), Vec::new()),
        };
        CloudCall {
            call_id,
            method,
            target,
            body,
            timeout: CALL_TIMEOUT,
        }
    }
}
