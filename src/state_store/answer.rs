//! Decodes the responses of the state service and classifies their errors.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service;
use serde::Deserialize;

use crate::reactor::CallError;

/// Status of a request above the rate limit, which was not executed.
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// Error of a call that returned no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// The call returned no complete response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The state service responded with an error status.
    #[error("status {0}")]
    Status(u16),
    /// The body doesn't match the protocol.
    #[error("response can't be decoded: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

impl AnswerError {
    /// Whether the request was refused because of the rate limit.
    pub(super) fn is_rate_limited(&self) -> bool {
        matches!(self, AnswerError::Status(STATUS_TOO_MANY_REQUESTS))
    }

    /// Logs the error. An undecodable response is a fault; the other errors are expected
    /// while the state service is unavailable.
    pub(super) fn log(&self, request: &str) {
        match self {
            AnswerError::Unreadable(_) => log::error!("{request}: {self}"),
            _ => log::debug!("{request}: {self}"),
        }
    }
}

/// Decodes the body of a response with status 200.
pub(super) fn read_answer<T: for<'a> Deserialize<'a>>(
    result: Result<Response, CallError>,
) -> Result<T, AnswerError> {
    let response = result?;
    if response.status != 200 {
        return Err(AnswerError::Status(response.status));
    }
    read_body(&response)
}

/// Decodes the body of a response with any status.
pub(super) fn read_body<T: for<'a> Deserialize<'a>>(response: &Response) -> Result<T, AnswerError> {
    Ok(state_service::decode(&response.body)?)
}
