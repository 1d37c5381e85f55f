//! Status codes of the answers to users and workers.

/// The request was carried out, or its answer is in the body.
pub(super) const OK: u16 = 200;
/// A job was accepted.
pub(super) const CREATED: u16 = 201;
/// The request can't be parsed, or never could be carried out.
pub(super) const BAD_REQUEST: u16 = 400;
/// There is no such job or path.
pub(super) const NOT_FOUND: u16 = 404;
/// The path doesn't support the method.
pub(super) const METHOD_NOT_ALLOWED: u16 = 405;
/// The machine is another controller's; the body may name it.
pub(super) const MISDIRECTED: u16 = 421;
/// The submission is well-formed but can't be accepted.
pub(super) const UNPROCESSABLE: u16 = 422;
/// Too many submissions are in progress.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;
/// Nothing certain can be answered just now.
pub(super) const UNAVAILABLE: u16 = 503;

/// How soon refused requesters may retry, in seconds, unless there is a reason for longer.
pub(super) const RETRY_AFTER_S: u32 = 1;
