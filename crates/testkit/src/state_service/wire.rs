//! MessagePack bodies of the requests and responses that the protocol crate does not define.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /commit`.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Transaction {
    /// Conditions of the transaction. If any of them fails, nothing is changed.
    #[serde(default, rename = "when")]
    pub(super) conditions: Vec<Condition>,
    /// Changes of the transaction, which all get the same revision.
    #[serde(default, rename = "apply")]
    pub(super) operations: Vec<Operation>,
}

/// Condition that a record has this version.
#[derive(Debug, Deserialize)]
pub(super) struct Condition {
    /// Key of the record.
    #[serde(rename = "k")]
    pub(super) key: String,
    /// Expected version of the record. 0 if the record must not exist.
    #[serde(rename = "mark")]
    pub(super) version: u64,
}

/// A put or a deletion of a record.
#[derive(Debug, Deserialize)]
pub(super) struct Operation {
    /// Key of the record, if the operation is a put.
    #[serde(default)]
    pub(super) put: Option<String>,
    /// Key of the record, if the operation is a deletion.
    #[serde(default)]
    pub(super) delete: Option<String>,
    /// New value of the record, if the operation is a put.
    #[serde(default)]
    pub(super) value: Value,
    /// Id of the lease at whose end the record is deleted.
    #[serde(default, rename = "tenure")]
    pub(super) lease: Option<u64>,
}

/// Response to a transaction with a failed condition.
#[derive(Debug, Serialize)]
pub(super) struct Conflict {
    /// Keys of the failed conditions.
    pub(super) failed: Vec<String>,
    /// Revision of the store.
    #[serde(rename = "almanac")]
    pub(super) revision: u64,
}

/// Body of `POST /grants`.
#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    /// Duration of the lease without renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub(super) duration_ms: u64,
}

/// An empty response body.
#[derive(Debug, Serialize)]
pub(super) struct Empty {}
