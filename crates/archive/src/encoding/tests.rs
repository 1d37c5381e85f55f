//! Tests of the stored form of entries. Version 0.6 wrote the expected bytes before any of these
//! types was renamed. The bytes must not change while the format number stays the same.

mod fixtures;

use serde_json::json;

use salttiller_records::history::Fingerprint;

use super::*;
use crate::digest::RecordDigest;
use crate::model::{Change, ChangeBatch, Gap, GapCause, Segment, Snapshot, StoredRecord};

const RECORD: &str = "f3d9c50782a776657273696f6e09a576616c756597cc81cca16ecc9201cca161";
const BATCH: &str = concat!(
    "14bc5b3484a5616674657201a5756e74696c02a8726563656976656403a76368616e67657392",
    "83a776657273696f6e02a36b6579a473742f61a576616c756597cc81cca16ecc9201cca16183",
    "a776657273696f6e02a36b6579a473742f62a576616c7565c0",
);
const SEGMENT: &str = concat!(
    "732b749489a367617084a56361757365ae46697273745265636f7264696e67ae61667465725f",
    "7265766973696f6e03ac6c6173745f636f6e7461637404a76e6f746963656405a56166746572",
    "01a5756e74696c02a8766572696669656403ab66697273745f626174636804aa6e6578745f62",
    "6174636805a7636f6e746578749183a776657273696f6e07a36b6579a473742f61a863686563",
    "6b73756dce8cdc1683ac6c6173745f636f6e7461637406a5656e64656484a5636175736581b0",
    "5265766973696f6e57656e744261636b81a2746f08ae61667465725f7265766973696f6e03ac",
    "6c6173745f636f6e7461637404a76e6f746963656405",
);
const SNAPSHOT: &str = concat!(
    "241067eb86a77365676d656e7401a87265766973696f6e02aa66697273745f7061676503a562",
    "6567756e04a77265636f72647305a66469676573749106",
);
const GAP_CHANGES_COMPACTED: &str = concat!(
    "0a90c5b184a56361757365ae4368616e6765734e6f744b657074ae61667465725f7265766973",
    "696f6e03ac6c6173745f636f6e7461637404a76e6f746963656405",
);
const GAP_HISTORY_REPLACED: &str = concat!(
    "5cc851e684a56361757365af486973746f72795265706c61636564ae61667465725f72657669",
    "73696f6e03ac6c6173745f636f6e7461637404a76e6f746963656405",
);
/// SHA-256 of a single record with the key `st/a`.
const DIGEST: &str = "8a1709fe9b2b3958228ce2609cc0adcf8171c8025cc9653cd2ecb3c3016df5f3";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn record() -> StoredRecord {
    StoredRecord::new(9, &json!({"n": [1, "a"]}))
}

fn gap(cause: GapCause) -> Gap {
    Gap {
        cause,
        after_revision: 3,
        last_contact: 4,
        detected: 5,
    }
}

fn batch() -> ChangeBatch {
    let change = |key: &str, value| Change {
        version: 2,
        key: key.to_owned(),
        value,
    };
    ChangeBatch {
        after: 1,
        until: 2,
        received: 3,
        changes: vec![change("st/a", Some(record().value)), change("st/b", None)],
    }
}

fn segment() -> Segment {
    Segment {
        gap: gap(GapCause::FirstRecording),
        after: 1,
        until: 2,
        verified_until: 3,
        first_batch: 4,
        next_batch: 5,
        preceding_changes: vec![Fingerprint::new(7, "st/a".to_owned(), Some(b"x"))],
        last_contact: 6,
        ended_by: Some(gap(GapCause::RevisionWentBack { to: 8 })),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        segment: 1,
        revision: Some(2),
        first_page_revision: 3,
        started: 4,
        records: 5,
        digest: vec![6],
    }
}

/// Checks that an entry is encoded to the expected bytes and that they decode to the entry.
fn check_encoding<T>(entry: T, expected: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let bytes = encode_entry(&entry);
    assert_eq!(hex(&bytes), expected, "{entry:?}");
    assert_eq!(decode_entry::<T>(&bytes).unwrap(), entry);
}

/// Guards against a change of the stored form of entries or of the digest.
#[test]
fn encoded_bytes_of_entries_are_unchanged() {
    check_encoding(record(), RECORD);
    check_encoding(batch(), BATCH);
    check_encoding(segment(), SEGMENT);
    check_encoding(snapshot(), SNAPSHOT);
    check_encoding(gap(GapCause::ChangesCompacted), GAP_CHANGES_COMPACTED);
    check_encoding(gap(GapCause::HistoryReplaced), GAP_HISTORY_REPLACED);
    let mut digest = RecordDigest::default();
    digest.add("st/a", &record());
    assert_eq!(hex(&digest.finish().digest), DIGEST);
}

/// Guards against damaged entries that are accepted: truncated bytes, a changed byte, and a valid
/// entry of another type.
#[test]
fn damaged_entries_are_refused() {
    let whole = encode_entry(&record());
    let mut changed = whole.clone();
    changed[5] ^= 1;
    let other = encode_entry(&"text");
    let decode = decode_entry::<StoredRecord>;
    assert!(matches!(decode(&whole[..3]), Err(EntryError::Truncated)));
    assert!(matches!(decode(&whole[..9]), Err(EntryError::Checksum)));
    assert!(matches!(decode(&changed), Err(EntryError::Checksum)));
    assert!(matches!(decode(&other), Err(EntryError::Form(_))));
}
