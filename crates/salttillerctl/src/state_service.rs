//! Single requests to the state service.

use std::net::SocketAddr;
use std::time::Duration;

use salttiller_protocol::client::{Client, ClientError};
use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{decode, encode, Pair};
use salttiller_records::record::{value, DataLossHoldRecord};
use salttiller_records::Key;
use serde_json::json;
use thiserror::Error;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the state service gave no usable answer.
#[derive(Debug, Error)]
pub(crate) enum StateServiceError {
    /// There was no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The answer's status is not one of those expected.
    #[error("status {0}")]
    Status(u16),
    /// The answer can't be decoded.
    #[error("an answer can't be read: {0}")]
    InvalidAnswer(#[source] rmp_serde::decode::Error),
    /// The record of the hold is not of the expected form.
    #[error("the hold's record: {0}")]
    InvalidHoldRecord(#[source] serde_json::Error),
}

/// The record of a hold, with its version for conditional changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionedHold {
    /// The record.
    pub record: DataLossHoldRecord,
    /// Revision of its last change.
    pub version: u64,
}

/// How a conditional change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(crate) enum CompareAndSwap {
    /// The change is committed.
    Committed,
    /// The record had changed in between; nothing was written.
    Conflict,
}

/// Reads the record of a hold; `None` if there is none.
///
/// # Errors
/// There was no usable answer, or the record is not a hold's.
pub(crate) fn read_hold(
    state_service: SocketAddr,
) -> Result<Option<VersionedHold>, StateServiceError> {
    let target = format!("/store/{}", Key::DataLossHold.text());
    let response = call(state_service, "GET", &target, &[])?;
    match response.status {
        404 => Ok(None),
        200 => {
            let pair: Pair = decode(&response.body).map_err(StateServiceError::InvalidAnswer)?;
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

/// Replaces the record of a hold unless it changed since it was read.
///
/// # Errors
/// There was no usable answer: the change may be committed or not.
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
    Client::new(state_service).call(method, target, body, ANSWER_TIMEOUT)
}
