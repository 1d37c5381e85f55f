//! MessagePack messages of the state service. The state service's own field names occur only in
//! serde's `rename` attributes.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record in a [`Page`].
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

/// A page of records, in ascending order of their keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Records of the page.
    pub pairs: Vec<Pair>,
    /// Whether more records follow. A message without this field is the last page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "almanac")]
    pub revision: u64,
}

/// A change in the response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key of the record, if the change is a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key of the record, if the change is a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// New value of the record, if the change is a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// The response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the store when the response was created.
    #[serde(rename = "almanac")]
    pub revision: u64,
    /// All changes after the requested revision whose keys have the requested prefix.
    pub events: Vec<Event>,
}

/// The response to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Revision of the transaction, or of the store if a condition failed.
    #[serde(rename = "almanac")]
    pub revision: u64,
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
}

/// The response to the acquisition of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedLease {
    /// Id of the lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// Decodes a MessagePack body.
///
/// # Errors
/// Returns an error if the body is not valid MessagePack or does not match the message.
pub fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(body)
}

/// Encodes a body as MessagePack. Structs become maps with field names as keys.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Messages consist of maps, text and numbers, so their encoding can't fail.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

#[cfg(test)]
mod tests;
