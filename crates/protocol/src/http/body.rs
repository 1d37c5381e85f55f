//! Parses message bodies with a `Content-Length` and chunked bodies.

use super::head::{find, Head};
use super::HttpError;

const END_OF_LINE: &[u8] = b"\r\n";
/// Maximum length of a line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 64;
/// Maximum number of hexadecimal digits of a chunk size. A longer number exceeds every body limit.
const MAX_SIZE_DIGITS: usize = 8;

/// Parses the body after `head` in `bytes`. Returns the body and the total length of head and body
/// in bytes, or `None` while the body is incomplete.
pub(super) fn parse_body(
    bytes: &[u8],
    head: &Head<'_>,
    limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let rest = bytes.get(head.body_start..).unwrap_or_default();
    if head.chunked {
        let parsed = parse_chunks(rest, limit)?;
        return Ok(parsed.map(|(body, length)| (body, head.body_start + length)));
    }
    let length = head.content_length.unwrap_or(0);
    if length > limit {
        return Err(HttpError::BodyTooLong);
    }
    let body = rest.get(..length);
    Ok(body.map(|body| (body.to_vec(), head.body_start + length)))
}

/// Decodes a chunked body. Returns the body and its encoded length in bytes, or `None` while it is
/// incomplete.
fn parse_chunks(bytes: &[u8], limit: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut position = 0;
    loop {
        let rest = bytes.get(position..).unwrap_or_default();
        let Some((size, line_length)) = parse_chunk_size(rest)? else {
            return Ok(None);
        };
        if body.len() + size > limit {
            return Err(HttpError::BodyTooLong);
        }
        position += line_length;
        let end = position + size + END_OF_LINE.len();
        let Some(chunk) = bytes.get(position..end) else {
            return Ok(None);
        };
        let Some(data) = chunk.strip_suffix(END_OF_LINE) else {
            // None of the interfaces uses trailers: only an empty trailer is accepted.
            let part = if size == 0 {
                "trailer"
            } else {
                "missing line end after a chunk"
            };
            return Err(HttpError::Malformed(part));
        };
        position = end;
        if size == 0 {
            return Ok(Some((body, position)));
        }
        body.extend_from_slice(data);
    }
}

/// Parses the line with the size of a chunk. Returns the size and the length of the line in bytes,
/// or `None` while the line is incomplete.
fn parse_chunk_size(bytes: &[u8]) -> Result<Option<(usize, usize)>, HttpError> {
    let malformed = HttpError::Malformed("chunk size");
    let within_limit = bytes.get(..MAX_CHUNK_LINE).unwrap_or(bytes);
    let Some(length) = find(within_limit, END_OF_LINE) else {
        return if bytes.len() >= MAX_CHUNK_LINE {
            Err(malformed)
        } else {
            Ok(None)
        };
    };
    let line = within_limit.get(..length).unwrap_or_default();
    let line = std::str::from_utf8(line).map_err(|_| malformed)?;
    let digits = line.split(';').next().unwrap_or("").trim();
    let all_digits = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !all_digits {
        return Err(malformed);
    }
    let size = usize::from_str_radix(digits, 16).map_err(|_| malformed)?;
    Ok(Some((size, length + END_OF_LINE.len())))
}
