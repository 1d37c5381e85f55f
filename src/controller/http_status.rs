//! HTTP status codes of the responses to users and workers.

/// The request succeeded.
pub(super) const OK: u16 = 200;
/// A job was accepted.
pub(super) const CREATED: u16 = 201;
/// The request can't be parsed or is invalid.
pub(super) const BAD_REQUEST: u16 = 400;
/// There is no such job or path.
pub(super) const NOT_FOUND: u16 = 404;
/// The path doesn't support the method.
pub(super) const METHOD_NOT_ALLOWED: u16 = 405;
/// The machine belongs to another controller, which the body may name.
pub(super) const MISDIRECTED: u16 = 421;
/// The submission is well-formed but can't be accepted.
pub(super) const UNPROCESSABLE: u16 = 422;
/// Too many submissions are in progress.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;
/// The request can't be answered reliably at present.
pub(super) const UNAVAILABLE: u16 = 503;

/// Default Retry-After value of refused requests.
pub(super) const RETRY_AFTER_S: u32 = 1;
