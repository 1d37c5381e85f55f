//! JSON documents that `salttillerctl archive` prints, each with a published schema.
//!
//! Names, field order and doc comments of these types are part of the published schemas in
//! docs/schemas: a doc comment appears there as `description`. A change to these types requires
//! the same change to the schemas, and an incompatible change increments [`DOCUMENT_VERSION`].
//! The documents call a snapshot "image".

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Format version of the documents.
pub const DOCUMENT_VERSION: u32 = 1;

/// All records at one revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExportDocument {
    /// Version of this form.
    pub version: u32,
    /// The deployment.
    pub deployment: String,
    /// Segment of the archive.
    pub segment: u64,
    /// Revision of the state service at which the records stood so.
    pub revision: u64,
    /// The last revision that the segment covers.
    pub known_until_revision: u64,
    /// Time of day of the last answer of the state service, seconds since 1970.
    pub known_until_s: f64,
    /// Revision of the image that the records were made from.
    #[serde(rename = "image_revision")]
    pub snapshot_revision: u64,
    /// Changes applied to the image.
    pub changes_applied: u64,
    /// The records, in the order of their keys.
    pub records: Vec<ExportedRecord>,
}

/// A record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExportedRecord {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// What an archive holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListDocument {
    /// Version of this form.
    pub version: u32,
    /// The deployment.
    pub deployment: String,
    /// Size of the file.
    pub file_bytes: u64,
    /// Segments, oldest first.
    pub segments: Vec<ListedSegment>,
}

/// A run of changes without a hole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListedSegment {
    /// Its number.
    pub segment: u64,
    /// Why it doesn't continue the one before it.
    pub gap: ListedGap,
    /// Changes are complete after this revision …
    pub after_revision: u64,
    /// … up to and with this one.
    pub until_revision: u64,
    /// Time of day of the last answer, seconds since 1970.
    pub last_contact_s: f64,
    /// Change batches that are kept.
    pub batches: u64,
    /// Complete images, oldest first.
    #[serde(rename = "images")]
    pub snapshots: Vec<ListedSnapshot>,
}

/// A hole between two segments.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListedGap {
    /// Why.
    pub cause: String,
    /// The last revision that is surely archived before it.
    pub after_revision: u64,
    /// Time of day of the last answer before it, seconds since 1970.
    pub last_contact_s: f64,
    /// Time of day at which it was noticed, seconds since 1970.
    #[serde(rename = "noticed_s")]
    pub detected_s: f64,
}

/// All records at one revision, as listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ListedImage")]
pub struct ListedSnapshot {
    /// Its revision.
    pub revision: u64,
    /// Time of day at which it was begun, seconds since 1970.
    #[serde(rename = "begun_s")]
    pub started_s: f64,
    /// Number of records.
    pub records: u64,
}
