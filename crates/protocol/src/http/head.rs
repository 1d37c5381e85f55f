//! Parses the head of a message: its start line and headers.

use super::{HttpError, MAX_HEAD};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Maximum number of digits of a content length. A longer number exceeds every body limit.
const MAX_LENGTH_DIGITS: usize = 12;

/// The start line of a message and the headers that this parser evaluates.
pub(super) struct Head<'a> {
    /// Start line.
    pub(super) start_line: &'a str,
    /// Value of `Content-Length`.
    pub(super) content_length: Option<usize>,
    /// Whether the body is chunked.
    pub(super) chunked: bool,
    /// Whether the message has `Connection: close`.
    pub(super) close: bool,
    /// Whether the message has `Connection: keep-alive`.
    pub(super) keep_alive: bool,
    /// Value of `Retry-After`, if it is a number of seconds.
    pub(super) retry_after: Option<u32>,
    /// Offset of the body in the message, in bytes.
    pub(super) body_start: usize,
}

/// Returns the position of the first occurrence of a byte sequence.
pub(super) fn find(bytes: &[u8], sequence: &[u8]) -> Option<usize> {
    bytes
        .windows(sequence.len())
        .position(|window| window == sequence)
}

/// Parses the head at the start of `bytes`. Returns `None` while the head is incomplete.
pub(super) fn parse_head(bytes: &[u8]) -> Result<Option<Head<'_>>, HttpError> {
    let within_limit = bytes.get(..MAX_HEAD).unwrap_or(bytes);
    let Some(length) = find(within_limit, END_OF_HEAD) else {
        return if bytes.len() >= MAX_HEAD {
            Err(HttpError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = bytes.get(..length).unwrap_or_default();
    let text = std::str::from_utf8(text).map_err(|_| HttpError::Malformed("head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let mut head = Head {
        start_line: lines.next().unwrap_or(""),
        content_length: None,
        chunked: false,
        close: false,
        keep_alive: false,
        retry_after: None,
        body_start: length + END_OF_HEAD.len(),
    };
    for line in lines {
        head.add_header(line)?;
    }
    if head.chunked && head.content_length.is_some() {
        return Err(HttpError::Malformed(
            "both content-length and chunked transfer-encoding",
        ));
    }
    Ok(Some(head))
}

impl Head<'_> {
    fn add_header(&mut self, line: &str) -> Result<(), HttpError> {
        let (name, value) = line
            .split_once(':')
            .ok_or(HttpError::Malformed("header without colon"))?;
        if name.is_empty() || name.bytes().any(|byte| byte <= b' ' || byte == 127) {
            return Err(HttpError::Malformed("header name"));
        }
        let value = value.trim_matches([' ', '\t']);
        if name.eq_ignore_ascii_case("content-length") {
            self.set_content_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || self.chunked {
                return Err(HttpError::Malformed("transfer-encoding"));
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for option in value.split(',').map(str::trim) {
                self.close |= option.eq_ignore_ascii_case("close");
                self.keep_alive |= option.eq_ignore_ascii_case("keep-alive");
            }
        } else if name.eq_ignore_ascii_case("retry-after") {
            self.retry_after = value.parse().ok();
        }
        Ok(())
    }

    fn set_content_length(&mut self, value: &str) -> Result<(), HttpError> {
        let malformed = HttpError::Malformed("content-length");
        let all_digits = value.bytes().all(|byte| byte.is_ascii_digit());
        if value.is_empty() || value.len() > MAX_LENGTH_DIGITS || !all_digits {
            return Err(malformed);
        }
        let length = value.parse().map_err(|_| malformed)?;
        if self.content_length.is_some_and(|other| other != length) {
            return Err(HttpError::Malformed("conflicting content-length headers"));
        }
        self.content_length = Some(length);
        Ok(())
    }
}
