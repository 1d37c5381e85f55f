//! Messages of the state service in MessagePack. Its own words occur in serde's `rename` only.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record as a page shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of the record's last change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A page of records, in the order of their keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The records.
    pub pairs: Vec<Pair>,
    /// Whether more follow.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store as the page was read.
    #[serde(rename = "almanac")]
    pub revision: u64,
}

/// One change, as a watch shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// The response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the store as the response was made.
    #[serde(rename = "almanac")]
    pub revision: u64,
    /// All changes after the revision asked from.
    pub events: Vec<Event>,
}

/// The response to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Revision of the transaction, or of the store if a condition failed.
    #[serde(rename = "almanac")]
    pub revision: u64,
}

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason as text.
    pub error: String,
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Its id.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// Reads a body in MessagePack.
///
/// # Errors
/// Not MessagePack of the expected form.
pub fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(body)
}

/// Writes a body in MessagePack, maps keyed by text.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Messages are plain maps of text and numbers: this can't fail.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

#[cfg(test)]
mod tests;
