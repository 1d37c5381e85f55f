//! Documents for scripts and other tools, each with a published JSON schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use salttiller_records::units::to_seconds;

use crate::database::{Archive, View};
use crate::error::ArchiveError;
use crate::form::{Gap, GapCause};
use crate::reconstruct::{at, Moment};

/// Version of the documents' form.
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
    pub image_revision: u64,
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
    pub images: Vec<ListedImage>,
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
    pub noticed_s: f64,
}

/// All records at one revision, as listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListedImage {
    /// Its revision.
    pub revision: u64,
    /// Time of day at which it was begun, seconds since 1970.
    pub begun_s: f64,
    /// Number of records.
    pub records: u64,
}

/// The records at a moment, as a document.
pub fn export(archive: &Archive, moment: Moment) -> Result<ExportDocument, ArchiveError> {
    archive.read(|view| {
        let found = at(view, moment)?;
        let mut records = Vec::with_capacity(found.state.len());
        for (key, record) in found.state {
            let value = record.decoded().ok_or_else(|| {
                ArchiveError::damaged(view.path(), format!("record {key} can't be read"))
            })?;
            let version = record.version;
            records.push(ExportedRecord {
                key,
                version,
                value,
            });
        }
        Ok(ExportDocument {
            version: DOCUMENT_VERSION,
            deployment: archive.deployment().to_owned(),
            segment: found.segment_id,
            revision: found.revision,
            known_until_revision: found.segment.until,
            known_until_s: to_seconds(found.segment.last_contact),
            image_revision: found.image_revision,
            changes_applied: found.changes,
            records,
        })
    })
}

/// What an archive holds, as a document.
pub fn list(archive: &Archive) -> Result<ListDocument, ArchiveError> {
    archive.read(|view| {
        let mut segments = Vec::new();
        for (id, segment) in view.segments()? {
            segments.push(ListedSegment {
                segment: id,
                gap: listed_gap(&segment.gap),
                after_revision: segment.after,
                until_revision: segment.until,
                last_contact_s: to_seconds(segment.last_contact),
                batches: segment.next_batch - segment.first_batch,
                images: listed_images(view, id)?,
            });
        }
        Ok(ListDocument {
            version: DOCUMENT_VERSION,
            deployment: archive.deployment().to_owned(),
            file_bytes: view.file_bytes()?,
            segments,
        })
    })
}

fn listed_images(view: &View, segment: u64) -> Result<Vec<ListedImage>, ArchiveError> {
    let images = view.complete_images(segment)?.into_iter();
    Ok(images
        .map(|(_, revision, image)| ListedImage {
            revision,
            begun_s: to_seconds(image.begun),
            records: image.records,
        })
        .collect())
}

fn listed_gap(gap: &Gap) -> ListedGap {
    ListedGap {
        cause: gap_cause(&gap.cause),
        after_revision: gap.after_revision,
        last_contact_s: to_seconds(gap.last_contact),
        noticed_s: to_seconds(gap.noticed),
    }
}

fn gap_cause(cause: &GapCause) -> String {
    match cause {
        GapCause::FirstRecording => "first recording".to_owned(),
        GapCause::ChangesNotKept => "the state service no longer kept the changes".to_owned(),
        GapCause::RevisionWentBack { to } => format!("the revision went back to {to}"),
        GapCause::HistoryReplaced => "the state service shows another history".to_owned(),
    }
}
