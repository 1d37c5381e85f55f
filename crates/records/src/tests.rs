//! Tests of the published forms of keys, records and bitmaps.

mod job_records;
mod keys_and_bitmaps;
mod older_versions;
mod records;

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use crate::record::value;

/// Asserts that the record is encoded to this text, with the fields in this order, and that the
/// text is decoded to the record.
#[track_caller]
fn assert_keeps_text<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    record: &T,
    text: &str,
) {
    assert_eq!(serde_json::to_string(record).unwrap(), text);
    assert_eq!(
        value(record),
        serde_json::from_str::<Value>(text).unwrap(),
        "the record as a value"
    );
    assert_decodes(text, record);
}

/// Asserts that the text is decoded to the record, directly and as a value.
#[track_caller]
fn assert_decodes<T: DeserializeOwned + PartialEq + std::fmt::Debug>(text: &str, record: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), record, "{text}");
    let value: Value = serde_json::from_str(text).unwrap();
    assert_eq!(&serde_json::from_value::<T>(value).unwrap(), record);
}

/// Asserts that none of the texts is decoded.
#[track_caller]
fn assert_rejected<T: DeserializeOwned + std::fmt::Debug>(texts: &[&str]) {
    for text in texts {
        let value: Value = serde_json::from_str(text).unwrap();
        let decoded = serde_json::from_value::<T>(value);
        assert!(
            decoded.is_err(),
            "expected {text} to be rejected: {decoded:?}"
        );
    }
}

/// Asserts that the text, which must be an object, is rejected if any one of its fields is missing.
#[track_caller]
fn assert_all_fields_required<T: DeserializeOwned + std::fmt::Debug>(text: &str) {
    let complete: serde_json::Map<String, Value> = serde_json::from_str(text).unwrap();
    for field in complete.keys() {
        let mut partial = complete.clone();
        partial.remove(field);
        assert_rejected::<T>(&[&Value::Object(partial).to_string()]);
    }
}
