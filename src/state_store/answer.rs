//! Decodes the responses of the state service and classifies their errors.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{self, Page};
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
    /// A page without records announces further pages, which can't be requested without a key.
    #[error("empty page that announces further pages")]
    EmptyPage,
}

impl AnswerError {
    /// Whether the request was refused because of the rate limit.
    pub(super) fn is_rate_limited(&self) -> bool {
        matches!(self, AnswerError::Status(STATUS_TOO_MANY_REQUESTS))
    }

    /// Whether a smaller response might have succeeded.
    pub(super) fn may_depend_on_size(&self) -> bool {
        matches!(
            self,
            AnswerError::Call(CallError::NoResponse | CallError::TooLarge)
        )
    }

    /// Logs the error. An invalid response is a fault; the other errors are expected
    /// while the state service is unavailable.
    pub(super) fn log(&self, request: &str) {
        match self {
            AnswerError::Unreadable(_) | AnswerError::EmptyPage => log::error!("{request}: {self}"),
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

/// Decodes a page of a paged read.
pub(super) fn read_page(result: Result<Response, CallError>) -> Result<Page, AnswerError> {
    let page: Page = read_answer(result)?;
    if page.more && page.pairs.is_empty() {
        return Err(AnswerError::EmptyPage);
    }
    Ok(page)
}

/// Decodes the body of a response with any status.
pub(super) fn read_body<T: for<'a> Deserialize<'a>>(response: &Response) -> Result<T, AnswerError> {
    Ok(state_service::decode(&response.body)?)
}
