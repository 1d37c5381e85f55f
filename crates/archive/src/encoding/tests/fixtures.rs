//! Fixtures with the stored bytes of every kind of entry in the archive's file.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde_json::json;

use super::*;

/// Parses a fixture file. Each entry is a line with its name, followed by indented lines with its
/// bytes in hexadecimal. Lines that begin with `#` are comments.
fn parse_fixture(text: &str) -> BTreeMap<&str, Vec<u8>> {
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

/// Checks that an entry is encoded to the bytes of a fixture and decoded from them, and that the
/// bytes are refused if truncated at any length or with any byte inverted.
#[track_caller]
fn check_fixture<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, entry: &T) {
    let bytes = &parse_fixture(include_str!("fixtures/entries.hex"))[name];
    assert_eq!(&encode_entry(entry), bytes, "encoding of {name}");
    assert_eq!(
        decode_entry::<T>(bytes).ok().as_ref(),
        Some(entry),
        "decoding of {name}"
    );
    for at in 0..bytes.len() {
        assert!(
            decode_entry::<T>(&bytes[..at]).is_err(),
            "{name} truncated to {at} bytes must be refused"
        );
        let mut inverted = bytes.clone();
        inverted[at] ^= 0xff;
        assert!(
            decode_entry::<T>(&inverted).is_err(),
            "{name} with byte {at} inverted must be refused"
        );
    }
}

fn gap(cause: GapCause) -> Gap {
    Gap {
        cause,
        after_revision: 300,
        last_contact: 1 << 40,
        detected: 70_000,
    }
}

/// Value of a record in MessagePack.
const VALUE: [u8; 11] = [
    0x82, 0xa1, b'n', 0xcd, 0x01, 0x2c, 0xa2, b's', b't', 0xa1, b'o',
];

/// Guards against a change of the stored form of any kind of entry.
#[test]
fn stored_entries_match_their_fixtures() {
    check_fixture("format", &1u64);
    check_fixture("deployment", &"t-0,t-1".to_owned());
    let record = StoredRecord::new(5, &json!({"st": "o", "n": 300}));
    assert_eq!(record.value, VALUE);
    check_fixture("record", &record);
    let change = |version, key: &str, value| Change {
        version,
        key: key.into(),
        value,
    };
    let changes = vec![
        change(5, "st/job/req-1", Some(VALUE.to_vec())),
        change(6, "st/hold", None),
    ];
    let context = changes.iter().map(Change::fingerprint).collect::<Vec<_>>();
    check_fixture(
        "batch",
        &ChangeBatch {
            after: 4,
            until: 6,
            received: 1 << 40,
            changes,
        },
    );
    let segment = |cause, ended_by| Segment {
        gap: gap(cause),
        after: 4,
        until: 70_000,
        verified_until: 69_999,
        first_batch: 2,
        next_batch: 130,
        preceding_changes: context.clone(),
        last_contact: (1 << 40) + 5,
        ended_by,
    };
    check_fixture("segment", &segment(GapCause::FirstRecording, None));
    let went_back = gap(GapCause::RevisionWentBack { to: 200 });
    check_fixture(
        "segment after changes not kept",
        &segment(GapCause::ChangesCompacted, Some(went_back)),
    );
    let replaced = gap(GapCause::HistoryReplaced);
    check_fixture(
        "segment of another history",
        &segment(GapCause::HistoryReplaced, Some(replaced)),
    );
    let snapshot = |revision, records, digest| Snapshot {
        segment: 1,
        revision,
        first_page_revision: 300,
        started: 1 << 40,
        records,
        digest,
    };
    check_fixture("image being read", &snapshot(None, 0, Vec::new()));
    let mut digest = RecordDigest::default();
    digest.add("st/hold", &StoredRecord::new(6, &json!("x")));
    digest.add("st/job/req-1", &record);
    let complete = digest.finish();
    let (records, digest) = (complete.records, complete.digest);
    assert_eq!(digest, DIGEST, "{digest:02x?}");
    check_fixture("image", &snapshot(Some(310), records, digest));
}

/// SHA-256 over two records, each hashed as key length, key, version, value length and value.
const DIGEST: [u8; 32] = [
    0x65, 0x6c, 0xb1, 0xd7, 0x28, 0xa6, 0xac, 0x6c, 0x3c, 0x90, 0xb7, 0x73, 0x8b, 0x49, 0xe6, 0x37,
    0x6f, 0xc6, 0x1f, 0xfb, 0x04, 0xc4, 0x4c, 0x7f, 0xeb, 0x42, 0x2d, 0x60, 0x1a, 0x16, 0x5f, 0x06,
];

/// Guards against the acceptance of entries that have a valid checksum but lack a field.
#[test]
fn entries_with_missing_fields_are_refused() {
    let incomplete = parse_fixture(include_str!("fixtures/refused.hex"));
    assert_eq!(incomplete.len(), 20);
    for (name, body) in incomplete {
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        let (kind, _) = name.split_once(' ').unwrap();
        let refused = match kind {
            "record" => decode_entry::<StoredRecord>(&bytes).is_err(),
            "batch" => decode_entry::<ChangeBatch>(&bytes).is_err(),
            "segment" => decode_entry::<Segment>(&bytes).is_err(),
            "image" => decode_entry::<Snapshot>(&bytes).is_err(),
            other => panic!("unknown kind of entry in the fixture: {other}"),
        };
        assert!(refused, "{name} must be refused");
    }
}
