//! The records as they were at a revision that the archive covers.

use std::collections::BTreeMap;

use crate::database::View;
use crate::error::ArchiveError;
use crate::form::{Change, Segment, StoredRecord};

/// All records, by key.
pub type State = BTreeMap<String, StoredRecord>;

/// Which moment is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Segment; `None`: the newest that covers the revision.
    pub segment: Option<u64>,
    /// Revision; `None`: the last one known.
    pub revision: Option<u64>,
}

/// The records at a moment, and where they come from.
#[derive(Debug, Clone, PartialEq)]
pub struct Reconstructed {
    /// The segment.
    pub segment_id: u64,
    /// What the archive says of it.
    pub segment: Segment,
    /// The revision.
    pub revision: u64,
    /// Revision of the image that it starts from.
    pub image_revision: u64,
    /// Time of day at which that image was begun.
    pub image_begun: u64,
    /// Changes applied to the image.
    pub changes: u64,
    /// The records.
    pub state: State,
}

/// Makes a change to the records.
fn apply_change(state: &mut State, change: Change) {
    match change.value {
        Some(value) => {
            let version = change.version;
            state.insert(change.key, StoredRecord { version, value });
        }
        None => {
            state.remove(&change.key);
        }
    }
}

/// The records of an image.
pub fn image_state(view: &View, image: u64) -> Result<State, ArchiveError> {
    let mut state = State::new();
    view.each_record(image, |key, record| {
        state.insert(key.to_owned(), record);
        Ok(())
    })?;
    Ok(state)
}

/// The records at a moment: the last image before it, and the changes since.
pub fn at(view: &View, moment: Moment) -> Result<Reconstructed, ArchiveError> {
    let mut segments = view.segments()?;
    segments.retain(|(id, _)| moment.segment.is_none_or(|wanted| wanted == *id));
    for (id, segment) in segments.into_iter().rev() {
        let revision = moment.revision.unwrap_or(segment.until);
        if revision > segment.until {
            continue;
        }
        let images = view.complete_images(id)?;
        let image = images.into_iter().rev().find(|(_, at, _)| *at <= revision);
        if let Some((image_id, image_revision, image)) = image {
            let mut state = image_state(view, image_id)?;
            let span = (image_revision, revision);
            let changes = advance(view, id, &segment, &mut state, span)?;
            return Ok(Reconstructed {
                segment_id: id,
                revision,
                image_revision,
                image_begun: image.begun,
                changes,
                state,
                segment,
            });
        }
    }
    Err(ArchiveError::NotKept(not_kept(moment)))
}

/// Makes the changes of a segment after one revision up to another; returns how many.
pub fn advance(
    view: &View,
    segment_id: u64,
    segment: &Segment,
    state: &mut State,
    (after, until): (u64, u64),
) -> Result<u64, ArchiveError> {
    let mut applied = 0;
    view.each_batch(segment_id, segment.first_batch, |_, batch| {
        let wanted = |c: &Change| c.version > after && c.version <= until;
        for change in batch.changes.into_iter().filter(wanted) {
            applied += 1;
            apply_change(state, change);
        }
        Ok(())
    })?;
    Ok(applied)
}

fn not_kept(moment: Moment) -> String {
    let segment = match moment.segment {
        Some(id) => format!(" in segment {id}"),
        None => String::new(),
    };
    match moment.revision {
        Some(revision) => format!("no image with the changes up to revision {revision}{segment}"),
        None => format!("no complete image{segment}"),
    }
}
