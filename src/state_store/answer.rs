//! Answers of the state service, and why one can't be used.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service;
use serde::Deserialize;

use crate::reactor::CallError;

/// Why a call brought no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// There is no whole answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The state service refused or couldn't answer.
    #[error("status {0}")]
    Status(u16),
    /// The body isn't what the protocol says.
    #[error("answer can't be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

impl AnswerError {
    /// Logs the error. An answer that can't be read is a fault; the others are usual while
    /// the state service is away.
    pub(super) fn log(&self, request: &str) {
        match self {
            AnswerError::Unreadable(_) => log::error!("{request}: {self}"),
            _ => log::debug!("{request}: {self}"),
        }
    }
}

/// Reads the body of an answer with status 200.
pub(super) fn read_answer<T: for<'a> Deserialize<'a>>(
    result: Result<Response, CallError>,
) -> Result<T, AnswerError> {
    let response = result?;
    if response.status != 200 {
        return Err(AnswerError::Status(response.status));
    }
    read_body(&response)
}

/// Reads the body of an answer, whatever its status.
pub(super) fn read_body<T: for<'a> Deserialize<'a>>(response: &Response) -> Result<T, AnswerError> {
    Ok(state_service::decode(&response.body)?)
}
