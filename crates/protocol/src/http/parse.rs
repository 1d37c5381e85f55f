//! Parses requests and responses.

use super::body::parse_body;
use super::head::parse_head;
use super::message::{Request, Response};
use super::{HttpError, MAX_REQUEST_BODY, MAX_RESPONSE_BODY};

/// Parses the request at the start of `bytes`. Returns the request and its length in bytes, or
/// `None` while it is incomplete.
///
/// # Errors
/// Returns an error if the request is malformed, too long or not supported. The caller must close
/// the connection.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    let Some(head) = parse_head(bytes)? else {
        return Ok(None);
    };
    let line = parse_request_line(head.start_line)?;
    let Some((body, length)) = parse_body(bytes, &head, MAX_REQUEST_BODY)? else {
        return Ok(None);
    };
    let (path, query) = line.target.split_once('?').unwrap_or((line.target, ""));
    let request = Request {
        method: line.method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body,
        close: head.close || (line.is_http_1_0 && !head.keep_alive),
    };
    Ok(Some((request, length)))
}

struct RequestLine<'a> {
    method: &'a str,
    target: &'a str,
    /// Whether the version is HTTP/1.0, where a connection is closed after the response unless the
    /// request has `Connection: keep-alive`.
    is_http_1_0: bool,
}

fn parse_request_line(line: &str) -> Result<RequestLine<'_>, HttpError> {
    let mut words = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HttpError::Malformed("request line"));
    };
    let is_http_1_0 = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        other if other.starts_with("HTTP/") => return Err(HttpError::Version),
        _ => return Err(HttpError::Malformed("request line")),
    };
    if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Err(HttpError::Malformed("method"));
    }
    let unprintable = |byte| byte <= b' ' || byte == 127;
    if !target.starts_with('/') || target.bytes().any(unprintable) {
        return Err(HttpError::Malformed("target"));
    }
    Ok(RequestLine {
        method,
        target,
        is_http_1_0,
    })
}

/// Parses the response at the start of `bytes`, whose body may have up to [`MAX_RESPONSE_BODY`]
/// bytes. Returns the response and its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// Returns an error if the response is malformed, too long or not supported. The caller must close
/// the connection.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    parse_response_within(bytes, MAX_RESPONSE_BODY)
}

/// Parses the response at the start of `bytes`, whose body may have up to `limit` bytes. Returns
/// the response and its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// Returns an error if the response is malformed, too long or not supported. The caller must close
/// the connection.
pub fn parse_response_within(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(Response, usize)>, HttpError> {
    let Some(head) = parse_head(bytes)? else {
        return Ok(None);
    };
    let status = parse_status_line(head.start_line)?;
    let has_no_body = status == 204 || status == 304;
    let parsed = if has_no_body {
        Some((Vec::new(), head.body_start))
    } else {
        parse_body(bytes, &head, limit)?
    };
    Ok(parsed.map(|(body, length)| {
        let response = Response {
            status,
            retry_after: head.retry_after,
            body,
            close: head.close,
        };
        (response, length)
    }))
}

fn parse_status_line(line: &str) -> Result<u16, HttpError> {
    let rest = line.strip_prefix("HTTP/1.").ok_or(HttpError::Version)?;
    rest.get(2..5)
        .filter(|_| rest.as_bytes().get(1) == Some(&b' '))
        .and_then(|digits| digits.parse::<u16>().ok())
        .filter(|status| (100..1000).contains(status))
        .ok_or(HttpError::Malformed("status line"))
}
