//! Whether an archive is whole: checksums, numbering, and images against the changes between.

use serde::Serialize;

use crate::database::{Archive, View};
use crate::error::ArchiveError;
use crate::form::{RecordDigest, Segment};
use crate::reconstruct::{advance, image_state, State};

/// What was checked and held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Verified {
    /// Segments.
    pub segments: u64,
    /// Complete images, each against its digest.
    pub images: u64,
    /// Images that equal the one before them with the changes between.
    pub images_from_changes: u64,
    /// Change batches.
    pub batches: u64,
    /// Changes.
    pub changes: u64,
}

/// Checks an archive; the first thing that is wrong is the error.
pub fn verify(archive: &Archive) -> Result<Verified, ArchiveError> {
    archive.check_integrity()?;
    archive.read(|view| {
        let mut verified = Verified::default();
        for (id, segment) in view.segments()? {
            verified.segments += 1;
            check_batches(view, id, &segment, &mut verified)?;
            check_images(view, id, &segment, &mut verified)?;
        }
        Ok(verified)
    })
}

fn check_batches(
    view: &View,
    id: u64,
    segment: &Segment,
    verified: &mut Verified,
) -> Result<(), ArchiveError> {
    let damaged = |reason: String| ArchiveError::damaged(view.path(), reason);
    let mut expected = segment.first_batch;
    let mut until = segment.after;
    view.each_batch(id, segment.first_batch, |number, batch| {
        let name = format!("change batch {id}/{number}");
        if number != expected {
            return Err(damaged(format!("change batch {id}/{expected} is missing")));
        }
        if batch.after < until || batch.until > segment.until {
            return Err(damaged(format!("{name} is out of order")));
        }
        let mut last = batch.after;
        for change in &batch.changes {
            if change.version <= batch.after || change.version < last {
                return Err(damaged(format!("{name} holds changes out of order")));
            }
            last = change.version;
        }
        if last > batch.until {
            return Err(damaged(format!("{name} holds changes past its end")));
        }
        expected += 1;
        until = batch.until;
        verified.batches += 1;
        verified.changes += batch.changes.len() as u64;
        Ok(())
    })?;
    if expected != segment.next_batch {
        return Err(damaged(format!("change batch {id}/{expected} is missing")));
    }
    Ok(())
}

fn check_images(
    view: &View,
    id: u64,
    segment: &Segment,
    verified: &mut Verified,
) -> Result<(), ArchiveError> {
    let damaged = |reason: String| ArchiveError::damaged(view.path(), reason);
    let mut previous: Option<(u64, State)> = None;
    for (image_id, revision, image) in view.complete_images(id)? {
        let state = image_state(view, image_id)?;
        let mut digest = RecordDigest::default();
        for (key, record) in &state {
            digest.add(key, record);
        }
        if digest.finish() != (image.records, image.digest) {
            return Err(damaged(format!("image {image_id} fails its digest")));
        }
        if let Some((from, mut older)) = previous.take() {
            advance(view, id, segment, &mut older, (from, revision))?;
            if older != state {
                let reason = format!(
                    "image {image_id} differs from the one before it with the changes between"
                );
                return Err(damaged(reason));
            }
            verified.images_from_changes += 1;
        }
        verified.images += 1;
        previous = Some((revision, state));
    }
    Ok(())
}
