//! Bodies of requests and answers that the protocol crate does not share, in MessagePack.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /commit`.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Transaction {
    /// All must hold, or nothing is changed.
    #[serde(default, rename = "when")]
    pub(super) conditions: Vec<Condition>,
    /// Changes, made at one revision.
    #[serde(default, rename = "apply")]
    pub(super) operations: Vec<Operation>,
}

/// A record must be at this version.
#[derive(Debug, Deserialize)]
pub(super) struct Condition {
    /// Key of the record.
    #[serde(rename = "k")]
    pub(super) key: String,
    /// Its version; 0: there is no such record.
    #[serde(rename = "mark")]
    pub(super) version: u64,
}

/// A put or a deletion.
#[derive(Debug, Deserialize)]
pub(super) struct Operation {
    /// Key of the record that is put.
    #[serde(default)]
    pub(super) put: Option<String>,
    /// Key of the record that is deleted.
    #[serde(default)]
    pub(super) delete: Option<String>,
    /// The value that is put.
    #[serde(default)]
    pub(super) value: Value,
    /// The lease with which the record ends.
    #[serde(default, rename = "tenure")]
    pub(super) lease: Option<u64>,
}

/// Answer to a transaction of which a condition does not hold.
#[derive(Debug, Serialize)]
pub(super) struct Conflict {
    /// Keys whose conditions do not hold.
    pub(super) failed: Vec<String>,
    /// Revision of the store.
    #[serde(rename = "almanac")]
    pub(super) revision: u64,
}

/// Body of `POST /grants`.
#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    /// How long the lease lasts without renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub(super) duration_ms: u64,
}

/// An answer without content.
#[derive(Debug, Serialize)]
pub(super) struct Empty {}
