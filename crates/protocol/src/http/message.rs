//! Requests and responses, decoded.

/// A request as read from a client.
#[derive(Debug, PartialEq, Eq, Clone)]
pub struct Request {
    /// Method, as sent.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if none.
    pub query: String,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// Whether the client wants the connection closed afterwards.
    pub close: bool,
}

/// A response, read or to be written.
#[derive(Debug, PartialEq, Eq, Clone, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// `Retry-After` in whole seconds.
    pub retry_after: Option<u32>,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// Whether the connection closes afterwards.
    pub close: bool,
}

impl Response {
    /// A response with a body.
    #[must_use]
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Default::default()
        }
    }

    /// A refusal that says after how many seconds to retry.
    #[must_use]
    pub fn refusal(status: u16, retry_after: u32) -> Self {
        Response {
            status,
            retry_after: Some(retry_after),
            ..Default::default()
        }
    }
}
