//! Blocking requests to the state service that read and replace the record of a data-loss hold.

use std::net::SocketAddr;
use std::time::Duration;

use salttiller_protocol::client::{Client, ClientError};
use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, encode, Pair};
use salttiller_records::record::{value, DataLossHoldRecord};
use salttiller_records::Key;
use serde_json::json;
use thiserror::Error;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the state service gave no usable response.
#[derive(Debug, Error)]
pub(crate) enum StateServiceError {
    /// The request got no response.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The response can't be decoded.
    #[error("response can't be decoded: {0}")]
    InvalidResponse(#[source] rmp_serde::decode::Error),
    /// The record of the hold does not have the expected form.
    #[error("the hold's record can't be decoded: {0}")]
    InvalidHoldRecord(#[source] serde_json::Error),
}

/// The record of a hold with its version, which a compare-and-swap needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionedHold {
    /// Record of the hold.
    pub record: DataLossHoldRecord,
    /// Revision of the record's last change.
    pub version: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(crate) enum CompareAndSwap {
    /// The change was committed.
    Committed,
    /// The record had changed since it was read; nothing was written.
    Conflict,
}

/// Reads the record of a hold. Returns `None` if there is no record.
///
/// # Errors
/// Returns an error if there was no usable response, or if the record can't be decoded.
pub(crate) fn read_hold(
    state_service: SocketAddr,
) -> Result<Option<VersionedHold>, StateServiceError> {
    let target = format!("/store/{}", Key::DataLossHold.text());
    let response = call(state_service, "GET", &target, &[])?;
    match response.status {
        404 => Ok(None),
        200 => {
            let pair: Pair = decode(&response.body).map_err(StateServiceError::InvalidResponse)?;
            let record =
                serde_json::from_value(pair.value).map_err(StateServiceError::InvalidHoldRecord)?;
            Ok(Some(VersionedHold {
                record,
                version: pair.version,
            }))
        }
        status => Err(StateServiceError::Status(status)),
    }
}

/// Replaces the record of a hold unless the record has changed since it was read.
///
/// # Errors
/// Returns an error if there was no usable response. The change may or may not have been committed
/// in that case.
pub(crate) fn replace_hold(
    state_service: SocketAddr,
    hold: &VersionedHold,
) -> Result<CompareAndSwap, StateServiceError> {
    let key = Key::DataLossHold.text();
    let transaction = json!({
        "when": [{"k": key, "mark": hold.version}],
        "apply": [{"put": key, "value": value(&hold.record)}],
    });
    let response = call(state_service, "POST", "/commit", &encode(&transaction))?;
    match response.status {
        200 => Ok(CompareAndSwap::Committed),
        409 => Ok(CompareAndSwap::Conflict),
        status => Err(StateServiceError::Status(status)),
    }
}

fn call(
    state_service: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Result<Response, ClientError> {
    Client::new(state_service).call(method, target, body, REQUEST_TIMEOUT)
}
