//! Tests of the state service's wire forms.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde_json::json;

use super::*;

/// The entries of a fixture file: a line with a name, then indented lines with its bytes in
/// hexadecimal. Lines that begin with `#` are comments.
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

/// Written to these bytes, read from them, and refused if cut at any length.
#[track_caller]
fn keeps<T>(name: &str, message: &T)
where
    T: Serialize + for<'a> Deserialize<'a> + PartialEq + Debug,
{
    let bytes = &entries(include_str!("fixtures/messages.hex"))[name];
    assert_eq!(&encode(message), bytes, "written: {name}");
    assert_eq!(&decode::<T>(bytes).unwrap(), message, "read: {name}");
    for length in 0..bytes.len() {
        let read = decode::<T>(&bytes[..length]);
        assert!(read.is_err(), "{name} cut to {length}: {read:?}");
    }
}

#[test]
fn messages_keep_their_bytes() {
    let pair = |key: &str, value, version| Pair {
        key: key.into(),
        value,
        version,
    };
    keeps(
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
    keeps(
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
    keeps("revision", &Revision { revision: 70_002 });
    let error = "no such lease".into();
    keeps("refused", &Refused { error });
    keeps("granted", &Granted { lease: 300 });
}

#[test]
fn messages_that_lack_something_are_refused() {
    let files = entries(include_str!("fixtures/refused.hex"));
    assert_eq!(files.len(), 12);
    for (name, bytes) in files {
        let (kind, _) = name.split_once(' ').unwrap();
        let refused = match kind {
            "page" => decode::<Page>(&bytes).is_err(),
            "changes" => decode::<Changes>(&bytes).is_err(),
            "revision" => decode::<Revision>(&bytes).is_err(),
            "refused" => decode::<Refused>(&bytes).is_err(),
            "granted" => decode::<Granted>(&bytes).is_err(),
            other => panic!("{other}"),
        };
        assert!(refused, "{name}");
    }
}

/// What may be left out: `more` of a page.
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
