//! Tests of http.

use super::*;
use proptest::prelude::*;

#[test]
fn requests_good_and_bad() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(MAX_HEAD));
    type Want = Result<Option<(&'static str, usize)>, u16>;
    let cases: Vec<(&str, Want)> = vec![
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
    for (text, want) in cases {
        let got = parse_request(text.as_bytes());
        match (got, want) {
            (Ok(None), Ok(None)) => {}
            (Ok(Some((r, used))), Ok(Some((body, left)))) => {
                assert_eq!(r.body, body.as_bytes(), "{text}");
                assert_eq!(text.len() - used, left, "{text}");
            }
            (Err(e), Err(status)) => assert_eq!(e.status(), status, "{text}"),
            (g, w) => panic!("{text}: {g:?}, wanted {w:?}"),
        }
    }
}

#[test]
fn responses() {
    let ok = b"HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nhi";
    let (r, used) = parse_response(ok).unwrap().unwrap();
    assert_eq!((r.status, r.retry_after, used), (429, Some(3), ok.len()));
    for bad in [
        "HTTP/1.1 xx\r\n\r\n",
        "HTTP/2 200\r\n\r\n",
        "HTTP/1.1 20\r\n\r\n",
    ] {
        assert!(parse_response(bad.as_bytes()).is_err(), "{bad}");
    }
}

proptest! {
    #[test]
    fn any_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
    }

    /// However a message is split on its way, it is read the same.
    #[test]
    fn splits_do_not_matter(body in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..400) {
        let mut out = Vec::new();
        write_request(&mut out, "POST", "h", "/work?x=1", &body);
        let cut = cut.min(out.len() - 1);
        prop_assert_eq!(parse_request(&out[..cut]), Ok(None));
        let (r, used) = parse_request(&out).unwrap().unwrap();
        prop_assert_eq!(used, out.len());
        prop_assert_eq!(&r.body, &body);
        prop_assert_eq!(query_value(&r.query, "x"), Some("1"));
    }
}
