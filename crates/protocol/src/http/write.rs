//! Serializes requests and responses.

use std::io::Write;

use super::message::Response;

/// Appends a serialized response to `output`.
pub fn write_response(output: &mut Vec<u8>, response: &Response) {
    // Writes to a vector can't fail.
    let _ = write!(
        output,
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        let _ = write!(output, "Retry-After: {seconds}\r\n");
    }
    if response.close {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&response.body);
}

/// Appends a serialized request to `output`.
pub fn write_request(output: &mut Vec<u8>, method: &str, host: &str, target: &str, body: &[u8]) {
    // Writes to a vector can't fail.
    let _ = write!(output, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            output,
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body);
}

fn reason_phrase(status: u16) -> &'static str {
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
