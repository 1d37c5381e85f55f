//! Decoded requests and responses.

/// A request that was received from a client.
#[derive(Debug, PartialEq, Eq, Clone)]
pub struct Request {
    /// Method in its original spelling.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark. Empty if the target has no query.
    pub query: String,
    /// Body without its transfer encoding.
    pub body: Vec<u8>,
    /// Whether the client requests that the connection is closed after the response.
    pub close: bool,
}

/// A response that was received or is sent.
#[derive(Debug, PartialEq, Eq, Clone, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of `Retry-After` in whole seconds.
    pub retry_after: Option<u32>,
    /// Body without its transfer encoding.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// Returns a response with a body.
    #[must_use]
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Default::default()
        }
    }

    /// Returns an error response without a body. The client may retry after `retry_after` seconds.
    #[must_use]
    pub fn refusal(status: u16, retry_after: u32) -> Self {
        Response {
            status,
            retry_after: Some(retry_after),
            ..Default::default()
        }
    }
}
