//! Tests of the wire format of the state service's messages.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde_json::json;

use super::*;

/// Parses a fixture file. Each entry is a line with its name, followed by indented lines with its
/// bytes in hexadecimal. Lines that begin with `#` are comments.
fn entries(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let mut entries: BTreeMap<&str, Vec<u8>> = BTreeMap::new();
    let mut name = "";
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let Some(hex) = line.strip_prefix("  ") else {
            name = line;
            continue;
        };
        let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
        let bytes = (0..hex.len()).step_by(2).map(digit);
        entries.entry(name).or_default().extend(bytes);
    }
    entries
}

/// Asserts that the message is encoded to the bytes of the fixture and decoded from them, and that
/// the bytes are rejected when they are truncated to any length.
#[track_caller]
fn assert_keeps_bytes<T>(name: &str, message: &T)
where
    T: Serialize + for<'a> Deserialize<'a> + PartialEq + Debug,
{
    let bytes = &entries(include_str!("fixtures/messages.hex"))[name];
    assert_eq!(&encode(message), bytes, "encoding of {name}");
    assert_eq!(&decode::<T>(bytes).unwrap(), message, "decoding of {name}");
    for length in 0..bytes.len() {
        let decoded = decode::<T>(&bytes[..length]);
        assert!(
            decoded.is_err(),
            "expected {name} truncated to {length} bytes to be rejected: {decoded:?}"
        );
    }
}

/// Guards against a change of the wire format of messages.
#[test]
fn messages_keep_their_bytes() {
    let pair = |key: &str, value, version| Pair {
        key: key.into(),
        value,
        version,
    };
    assert_keeps_bytes(
        "page",
        &Page {
            pairs: vec![
                pair("st/token", json!(9), 300),
                pair("st/leader", json!({"holder": "t-0", "run": 7}), 70_000),
            ],
            more: true,
            revision: 1 << 33,
        },
    );
    assert_keeps_bytes(
        "changes",
        &Changes {
            revision: 70_002,
            events: vec![
                Event {
                    put: Some("st/token".into()),
                    delete: None,
                    value: Some(json!(10)),
                    version: 70_001,
                },
                Event {
                    put: None,
                    delete: Some("st/hold".into()),
                    value: None,
                    version: 70_002,
                },
            ],
        },
    );
    assert_keeps_bytes("revision", &Revision { revision: 70_002 });
    let error = "no such lease".into();
    assert_keeps_bytes("refused", &ErrorBody { error });
    assert_keeps_bytes("granted", &GrantedLease { lease: 300 });
}

/// Guards against messages that are accepted although a required field is missing or has the wrong
/// type.
#[test]
fn messages_without_a_required_field_are_rejected() {
    let entries = entries(include_str!("fixtures/refused.hex"));
    assert_eq!(entries.len(), 12);
    for (name, bytes) in entries {
        let (kind, _) = name.split_once(' ').unwrap();
        let rejected = match kind {
            "page" => decode::<Page>(&bytes).is_err(),
            "changes" => decode::<Changes>(&bytes).is_err(),
            "revision" => decode::<Revision>(&bytes).is_err(),
            "refused" => decode::<ErrorBody>(&bytes).is_err(),
            "granted" => decode::<GrantedLease>(&bytes).is_err(),
            other => panic!("unknown message {other} in the fixture"),
        };
        assert!(rejected, "expected the message to be rejected: {name}");
    }
}

/// Guards against a page that is rejected because the optional field `more` is missing.
#[test]
fn a_page_without_more_is_the_last() {
    let body = rmp_serde::to_vec_named(&json!({"pairs": [], "almanac": 3})).unwrap();
    let page = Page {
        pairs: Vec::new(),
        more: false,
        revision: 3,
    };
    assert_eq!(decode::<Page>(&body).unwrap(), page);
}
