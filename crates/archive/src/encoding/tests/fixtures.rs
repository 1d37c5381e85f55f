//! Bytes of every form in which the archive's file keeps its entries.

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

/// Written to these bytes, read from them, and refused if cut at any length or with any
/// byte inverted.
#[track_caller]
fn keeps<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, entry: &T) {
    let bytes = &entries(include_str!("fixtures/entries.hex"))[name];
    assert_eq!(&encode_entry(entry), bytes, "written: {name}");
    assert_eq!(
        decode_entry::<T>(bytes).ok().as_ref(),
        Some(entry),
        "read: {name}"
    );
    for at in 0..bytes.len() {
        assert!(
            decode_entry::<T>(&bytes[..at]).is_err(),
            "{name} cut to {at}"
        );
        let mut inverted = bytes.clone();
        inverted[at] ^= 0xff;
        assert!(decode_entry::<T>(&inverted).is_err(), "{name} at {at}");
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

/// The value of a record, in MessagePack.
const VALUE: [u8; 11] = [
    0x82, 0xa1, b'n', 0xcd, 0x01, 0x2c, 0xa2, b's', b't', 0xa1, b'o',
];

#[test]
fn entries_keep_their_bytes() {
    keeps("format", &1u64);
    keeps("deployment", &"t-0,t-1".to_owned());
    let record = StoredRecord::new(5, &json!({"st": "o", "n": 300}));
    assert_eq!(record.value, VALUE);
    keeps("record", &record);
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
    keeps(
        "batch",
        &ChangeBatch {
            after: 4,
            until: 6,
            received: 1 << 40,
            changes,
        },
    );
    let segment = |cause, ended| Segment {
        gap: gap(cause),
        after: 4,
        until: 70_000,
        verified_until: 69_999,
        first_batch: 2,
        next_batch: 130,
        preceding_changes: context.clone(),
        last_contact: (1 << 40) + 5,
        ended_by: ended,
    };
    keeps("segment", &segment(GapCause::FirstRecording, None));
    let went_back = gap(GapCause::RevisionWentBack { to: 200 });
    keeps(
        "segment after changes not kept",
        &segment(GapCause::ChangesCompacted, Some(went_back)),
    );
    let replaced = gap(GapCause::HistoryReplaced);
    keeps(
        "segment of another history",
        &segment(GapCause::HistoryReplaced, Some(replaced)),
    );
    let image = |revision, records, digest| Snapshot {
        segment: 1,
        revision,
        first_page_revision: 300,
        started: 1 << 40,
        records,
        digest,
    };
    keeps("image being read", &image(None, 0, Vec::new()));
    let mut digest = RecordDigest::default();
    digest.add("st/hold", &StoredRecord::new(6, &json!("x")));
    digest.add("st/job/req-1", &record);
    let complete = digest.finish();
    let (records, digest) = (complete.records, complete.digest);
    assert_eq!(digest, DIGEST, "{digest:02x?}");
    keeps("image", &image(Some(310), records, digest));
}

/// SHA-256 over two records, each as the lengths of key and value, key, version and value.
const DIGEST: [u8; 32] = [
    0x65, 0x6c, 0xb1, 0xd7, 0x28, 0xa6, 0xac, 0x6c, 0x3c, 0x90, 0xb7, 0x73, 0x8b, 0x49, 0xe6, 0x37,
    0x6f, 0xc6, 0x1f, 0xfb, 0x04, 0xc4, 0x4c, 0x7f, 0xeb, 0x42, 0x2d, 0x60, 0x1a, 0x16, 0x5f, 0x06,
];

/// Entries whose checksum is right but that lack something are refused.
#[test]
fn entries_that_lack_something_are_refused() {
    let files = entries(include_str!("fixtures/refused.hex"));
    assert_eq!(files.len(), 20);
    for (name, body) in files {
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        let (kind, _) = name.split_once(' ').unwrap();
        let refused = match kind {
            "record" => decode_entry::<StoredRecord>(&bytes).is_err(),
            "batch" => decode_entry::<ChangeBatch>(&bytes).is_err(),
            "segment" => decode_entry::<Segment>(&bytes).is_err(),
            "image" => decode_entry::<Snapshot>(&bytes).is_err(),
            other => panic!("{other}"),
        };
        assert!(refused, "{name}");
    }
}
