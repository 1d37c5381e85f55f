//! HTTP/1.1, as much of it as the interfaces use: one message at a time on a
//! connection, bodies by length or in chunks, everything bounded.
//!
//! The parser looks at the whole buffer each time more bytes come; bodies are
//! small (64 KiB for requests), so looking again costs less than keeping state.

use thiserror::Error;

/// The longest start line plus headers that is read.
pub const MAX_HEAD: usize = 8 * 1024;
/// The largest request body that users, workers and operators may send.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// The largest answer taken from the state service or the cloud.
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
    /// Broken start line, header or framing.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// A version other than HTTP/1.0 or 1.1.
    #[error("unsupported version")]
    Version,
}

impl HttpError {
    /// The status to answer with before closing.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::Malformed(_) => 400,
            HttpError::Version => 505,
        }
    }
}

/// A request as read from a peer.
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
    /// Whether the peer wants the connection closed afterwards.
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
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Default::default()
        }
    }

    /// A refusal that says when to come back.
    pub fn refusal(status: u16, after: u32) -> Self {
        Response {
            status,
            retry_after: Some(after),
            ..Default::default()
        }
    }
}

struct Head<'a> {
    start: &'a str,
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep: bool,
    retry_after: Option<u32>,
    end: usize,
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

fn parse_head(buf: &[u8]) -> Result<Option<Head<'_>>, HttpError> {
    let seen = &buf[..buf.len().min(MAX_HEAD)];
    let Some(end) = find(seen, b"\r\n\r\n") else {
        return if buf.len() >= MAX_HEAD {
            Err(HttpError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text =
        std::str::from_utf8(&buf[..end]).map_err(|_| HttpError::Malformed("head not text"))?;
    let mut lines = text.split("\r\n");
    let mut head = Head {
        start: lines.next().unwrap_or(""),
        length: None,
        chunked: false,
        close: false,
        keep: false,
        retry_after: None,
        end: end + 4,
    };
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(HttpError::Malformed("header without colon"))?;
        if name.is_empty() || name.bytes().any(|b| b <= b' ' || b == 127) {
            return Err(HttpError::Malformed("header name"));
        }
        let value = value.trim_matches([' ', '\t']);
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || value.len() > 12 || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed("content-length"));
            }
            let n = value
                .parse()
                .map_err(|_| HttpError::Malformed("content-length"))?;
            if head.length.is_some_and(|m| m != n) {
                return Err(HttpError::Malformed("two content-lengths"));
            }
            head.length = Some(n);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || head.chunked {
                return Err(HttpError::Malformed("transfer-encoding"));
            }
            head.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for word in value.split(',') {
                head.close |= word.trim().eq_ignore_ascii_case("close");
                head.keep |= word.trim().eq_ignore_ascii_case("keep-alive");
            }
        } else if name.eq_ignore_ascii_case("retry-after") {
            head.retry_after = value.parse().ok();
        }
    }
    if head.chunked && head.length.is_some() {
        return Err(HttpError::Malformed("length and chunks"));
    }
    Ok(Some(head))
}

/// Decodes a chunked body; `None` while incomplete. Returns body and bytes used.
fn parse_chunks(buf: &[u8], limit: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let rest = &buf[at..];
        let Some(eol) = find(&rest[..rest.len().min(64)], b"\r\n") else {
            return if rest.len() >= 64 {
                Err(HttpError::Malformed("chunk size"))
            } else {
                Ok(None)
            };
        };
        let line =
            std::str::from_utf8(&rest[..eol]).map_err(|_| HttpError::Malformed("chunk size"))?;
        let digits = line.split(';').next().unwrap_or("").trim();
        if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed("chunk size"));
        }
        let size =
            usize::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed("chunk size"))?;
        if body.len() + size > limit {
            return Err(HttpError::BodyTooLong);
        }
        at += eol + 2;
        if size == 0 {
            // Trailers are not used by anyone here: only the empty one is taken.
            return match buf.get(at..at + 2) {
                None => Ok(None),
                Some(b"\r\n") => Ok(Some((body, at + 2))),
                Some(_) => Err(HttpError::Malformed("trailer")),
            };
        }
        match buf.get(at..at + size + 2) {
            None => return Ok(None),
            Some(chunk) if chunk.ends_with(b"\r\n") => body.extend_from_slice(&chunk[..size]),
            Some(_) => return Err(HttpError::Malformed("chunk end")),
        }
        at += size + 2;
    }
}

fn parse_body(
    buf: &[u8],
    head: &Head<'_>,
    limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let rest = &buf[head.end..];
    if head.chunked {
        return Ok(parse_chunks(rest, limit)?.map(|(b, n)| (b, head.end + n)));
    }
    let n = head.length.unwrap_or(0);
    if n > limit {
        return Err(HttpError::BodyTooLong);
    }
    Ok(rest.get(..n).map(|b| (b.to_vec(), head.end + n)))
}

/// Reads a request from the front of `buf`; `None` while incomplete. Returns it
/// with the number of bytes it took.
pub fn parse_request(buf: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    let Some(head) = parse_head(buf)? else {
        return Ok(None);
    };
    let mut words = head.start.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HttpError::Malformed("request line"));
    };
    let old = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        v if v.starts_with("HTTP/") => return Err(HttpError::Version),
        _ => return Err(HttpError::Malformed("request line")),
    };
    if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Err(HttpError::Malformed("method"));
    }
    if !target.starts_with('/') || target.bytes().any(|b| b <= b' ' || b == 127) {
        return Err(HttpError::Malformed("target"));
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some((body, used)) = parse_body(buf, &head, MAX_REQUEST_BODY)? else {
        return Ok(None);
    };
    let close = head.close || (old && !head.keep);
    Ok(Some((
        Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            body,
            close,
        },
        used,
    )))
}

/// Reads a response from the front of `buf`; `None` while incomplete. Bodies are bounded by
/// [`MAX_RESPONSE_BODY`].
pub fn parse_response(buf: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    parse_response_within(buf, MAX_RESPONSE_BODY)
}

/// Reads a response whose body may have up to `limit` bytes; `None` while incomplete.
pub fn parse_response_within(
    buf: &[u8],
    limit: usize,
) -> Result<Option<(Response, usize)>, HttpError> {
    let Some(head) = parse_head(buf)? else {
        return Ok(None);
    };
    let rest = head
        .start
        .strip_prefix("HTTP/1.")
        .ok_or(HttpError::Version)?;
    let status = rest
        .get(2..5)
        .filter(|_| rest.as_bytes().get(1) == Some(&b' '))
        .and_then(|s| s.parse::<u16>().ok())
        .filter(|s| (100..1000).contains(s))
        .ok_or(HttpError::Malformed("status line"))?;
    let got = if status == 204 || status == 304 {
        Some((Vec::new(), head.end))
    } else {
        parse_body(buf, &head, limit)?
    };
    let Some((body, used)) = got else {
        return Ok(None);
    };
    Ok(Some((
        Response {
            status,
            retry_after: head.retry_after,
            body,
            close: head.close,
        },
        used,
    )))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

/// Appends a response to `out`.
pub fn write_response(out: &mut Vec<u8>, r: &Response) {
    use std::io::Write;
    let _ = write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        r.status,
        reason(r.status),
        r.body.len()
    );
    if let Some(s) = r.retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if r.close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&r.body);
}

/// Appends a request to `out`.
pub fn write_request(out: &mut Vec<u8>, method: &str, host: &str, target: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(out, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            out,
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// One value of a query string, undecoded.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v)
}

#[cfg(test)]
mod tests;
