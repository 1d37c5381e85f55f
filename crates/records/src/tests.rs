//! Tests of the published forms: keys, records and bitmaps.

mod job_records;
mod keys_and_bitmaps;
mod older_versions;
mod records;

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use crate::record::value;

/// The record is written to this text, fields in this order, and the text is read as it.
#[track_caller]
fn keeps<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(record: &T, text: &str) {
    assert_eq!(serde_json::to_string(record).unwrap(), text);
    assert_eq!(
        value(record),
        serde_json::from_str::<Value>(text).unwrap(),
        "as a value"
    );
    reads(text, record);
}

/// The text is read as the record.
#[track_caller]
fn reads<T: DeserializeOwned + PartialEq + std::fmt::Debug>(text: &str, record: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), record, "{text}");
    let value: Value = serde_json::from_str(text).unwrap();
    assert_eq!(&serde_json::from_value::<T>(value).unwrap(), record);
}

/// None of the texts is read.
#[track_caller]
fn refuses<T: DeserializeOwned + std::fmt::Debug>(texts: &[&str]) {
    for text in texts {
        let value: Value = serde_json::from_str(text).unwrap();
        let read = serde_json::from_value::<T>(value);
        assert!(read.is_err(), "{text}: {read:?}");
    }
}

/// The text, an object, is refused without any one of its fields.
#[track_caller]
fn refuses_without_any_field<T: DeserializeOwned + std::fmt::Debug>(text: &str) {
    let whole: serde_json::Map<String, Value> = serde_json::from_str(text).unwrap();
    for field in whole.keys() {
        let mut part = whole.clone();
        part.remove(field);
        refuses::<T>(&[&Value::Object(part).to_string()]);
    }
}
