//! The subset of HTTP/1.1 that the interfaces use: one message at a time on a connection, with a
//! `Content-Length` or a chunked body. The sizes of heads and bodies are limited.
//!
//! The parser keeps no state: it parses the whole buffer again whenever more bytes arrive. Bodies
//! are small (at most 64 KiB for requests), so this costs less than an incremental parser.

mod body;
mod head;
mod message;
mod parse;
mod write;

pub use message::{Request, Response};
pub use parse::{parse_request, parse_response, parse_response_within};
pub use write::{write_request, write_response};

use thiserror::Error;

/// Maximum size of a start line with its headers, in bytes.
pub const MAX_HEAD: usize = 8 * 1024;
/// Maximum size of a request body from users, workers and operators, in bytes.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Maximum size of a response body from the state service or the cloud, in bytes.
pub const MAX_RESPONSE_BODY: usize = 8 * 1024 * 1024;

/// Error of the parser. The connection can't be used after any of these errors.
#[derive(Debug, Error, PartialEq, Eq, Clone, Copy)]
pub enum HttpError {
    /// The head is longer than [`MAX_HEAD`].
    #[error("message head exceeds the size limit")]
    HeadTooLong,
    /// The body is longer than the caller's limit.
    #[error("message body exceeds the size limit")]
    BodyTooLong,
    /// The start line, a header or the framing is malformed. The text names the part.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("unsupported HTTP version")]
    Version,
}

impl HttpError {
    /// Returns the status code of the response that is sent before the connection is closed.
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

/// Returns the value of a parameter of a query string, without percent-decoding.
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
