//! HTTP/1.1, as much of it as the interfaces use: one message at a time on a connection,
//! bodies by length or in chunks, everything bounded.
//!
//! The parser looks at the whole buffer each time more bytes come; bodies are small (64 KiB
//! for requests), so looking again costs less than keeping state.

mod body;
mod head;
mod message;
mod parse;
mod write;

pub use message::{Request, Response};
pub use parse::{parse_request, parse_response, parse_response_within};
pub use write::{write_request, write_response};

use thiserror::Error;

/// The longest start line plus headers that is read.
pub const MAX_HEAD: usize = 8 * 1024;
/// The largest request body that users, workers and operators may send.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// The largest response body that is read from the state service or the cloud.
pub const MAX_RESPONSE_BODY: usize = 8 * 1024 * 1024;

/// Why a message can't be read; all are final for their connection.
#[derive(Debug, Error, PartialEq, Eq, Clone, Copy)]
pub enum HttpError {
    /// Head longer than [`MAX_HEAD`].
    #[error("head too long")]
    HeadTooLong,
    /// Body longer than the reader's limit.
    #[error("body too long")]
    BodyTooLong,
    /// Broken start line, header or framing; names the part.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// A version other than HTTP/1.0 or 1.1.
    #[error("unsupported version")]
    Version,
}

impl HttpError {
    /// The status to answer with before closing.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::Malformed(_) => 400,
            HttpError::Version => 505,
        }
    }
}

/// One value of a query string, undecoded.
#[must_use]
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

#[cfg(test)]
mod tests;
