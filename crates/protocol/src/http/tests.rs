//! Tests of the HTTP parser and serializer.

use super::*;
use proptest::prelude::*;

/// Guards against malformed requests that are accepted, and against valid or incomplete requests
/// that are rejected. `Ok(Some((body, rest)))` stands for a request with this body and `rest` bytes
/// after it, `Ok(None)` for an incomplete request, `Err(status)` for a rejected one.
#[test]
fn requests_are_parsed_or_rejected() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(MAX_HEAD));
    type Expected = Result<Option<(&'static str, usize)>, u16>;
    let cases: Vec<(&str, Expected)> = vec![
        ("GET /ready HTTP/1.1\r\n\r\n", Ok(Some(("", 0)))),
        ("GET /ready HTTP/1.1\r\n", Ok(None)),
        ("POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", Ok(None)),
        ("POST /work HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", Ok(Some(("abc", 0)))),
        ("POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", Ok(Some(("abc", 3)))),
        (
            "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n",
            Ok(Some(("abc", 0))),
        ),
        ("POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc", Ok(None)),
        ("POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd", Err(400)),
        ("POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Err(400)),
        ("POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", Err(413)),
        ("POST /w HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", Err(400)),
        (
            "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
            Err(400),
        ),
        ("POST /w HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Err(400)),
        ("POST /w HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(400)),
        ("POST /w HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", Err(413)),
        ("GET /w HTTP/2.0\r\n\r\n", Err(505)),
        ("GET  /w HTTP/1.1\r\n\r\n", Err(400)),
        ("get /w HTTP/1.1\r\n\r\n", Err(400)),
        ("GET w HTTP/1.1\r\n\r\n", Err(400)),
        ("GET /w HTTP/1.1\r\nno colon\r\n\r\n", Err(400)),
        ("GET /w HTTP/1.1\r\n bad: x\r\n\r\n", Err(400)),
        ("\r\n\r\n", Err(400)),
        (&long, Err(431)),
    ];
    for (text, expected) in cases {
        let actual = parse_request(text.as_bytes());
        match (actual, expected) {
            (Ok(None), Ok(None)) => {}
            (Ok(Some((request, length))), Ok(Some((body, rest)))) => {
                assert_eq!(request.body, body.as_bytes(), "{text}");
                assert_eq!(text.len() - length, rest, "{text}");
            }
            (Err(error), Err(status)) => assert_eq!(error.status(), status, "{text}"),
            (actual, expected) => panic!("{text}: expected {expected:?}, got {actual:?}"),
        }
    }
}

/// Guards against a response whose status or `Retry-After` is lost, and against malformed status
/// lines that are accepted.
#[test]
fn responses_are_parsed_or_rejected() {
    let valid = b"HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nhi";
    let (response, length) = parse_response(valid).unwrap().unwrap();
    assert_eq!(
        (response.status, response.retry_after, length),
        (429, Some(3), valid.len())
    );
    for malformed in [
        "HTTP/1.1 xx\r\n\r\n",
        "HTTP/2 200\r\n\r\n",
        "HTTP/1.1 20\r\n\r\n",
    ] {
        assert!(
            parse_response(malformed.as_bytes()).is_err(),
            "expected {malformed:?} to be rejected"
        );
    }
}

proptest! {
    /// Guards against a panic on arbitrary input from the network.
    #[test]
    fn any_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
    }

    /// Guards against a request that is parsed before all of its bytes have arrived, and against a
    /// complete request that is parsed with other content than was written.
    #[test]
    fn a_request_is_parsed_once_complete(body in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..400) {
        let mut bytes = Vec::new();
        write_request(&mut bytes, "POST", "h", "/work?x=1", &body);
        let cut = cut.min(bytes.len() - 1);
        prop_assert_eq!(parse_request(&bytes[..cut]), Ok(None));
        let (request, length) = parse_request(&bytes).unwrap().unwrap();
        prop_assert_eq!(length, bytes.len());
        prop_assert_eq!(&request.body, &body);
        prop_assert_eq!(query_value(&request.query, "x"), Some("1"));
    }
}
