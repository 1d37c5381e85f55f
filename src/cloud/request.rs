//! Requests to the cloud, and the HTTP calls by which they are sent.

use super::inventory::InventoryRead;
use super::offer::Offer;
use super::wire;
use salttiller_records::units::{Micros, SECOND};

/// Timeout of a call.
const CALL_TIMEOUT: Micros = 3 * SECOND;

/// An HTTP call to the cloud.
#[derive(Debug)]
pub struct CloudCall {
    /// Id of the call, to be passed back with the response.
    pub call_id: u64,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Timeout of the call.
    pub timeout: Micros,
}

/// A rental without a response yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRental {
    /// The offer from which machines are rented.
    pub offer: Offer,
    /// The region for which the machines are rented.
    pub region: String,
    /// Number of machines.
    pub count: u32,
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub(super) enum Request {
    /// Reads the machine types that the cloud offers.
    MachineTypes,
    /// Rents machines. A retry with the same idempotency key rents no additional machines.
    Rent {
        rental: PendingRental,
        idempotency_key: String,
    },
    /// Releases machines.
    Release(Vec<String>),
    /// Reads the next page of the inventory.
    Inventory(InventoryRead),
}

impl Request {
    /// Returns the rental, if the request is one.
    pub(super) fn rental(&self) -> Option<&PendingRental> {
        match self {
            Request::Rent { rental, .. } => Some(rental),
            _ => None,
        }
    }

    /// Whether the request is retried unchanged after a failure until the response is definite.
    /// Other requests are dropped; the caller requests them again if it needs the result.
    ///
    /// Guards against an inventory of many pages that is never read completely while the cloud
    /// refuses a part of the calls: a failed page is read again, and the pages before it are kept.
    pub(super) fn is_retried(&self, now: Micros) -> bool {
        match self {
            Request::Rent { .. } | Request::Release(_) => true,
            Request::Inventory(read) => read.is_worth_continuing(now),
            Request::MachineTypes => false,
        }
    }

    /// Returns the call by which the request is sent.
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
