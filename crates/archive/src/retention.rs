//! What is dropped once newer images make it unneeded.

use salttiller_records::units::Micros;

use crate::database::{Archive, Step};
use crate::error::ArchiveError;
use crate::form::Image;

/// What is kept. The newest complete image and all that follows it always are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Most complete images.
    pub images: usize,
    /// Greatest age of an image.
    pub age: Micros,
}

/// What a pass dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Dropped {
    /// Images.
    pub images: usize,
    /// Whole segments.
    pub segments: usize,
}

/// Which of the complete images, oldest first, are to go.
fn expired(images: &[(u64, Image)], retention: Retention, wall: Micros) -> Vec<u64> {
    let Some(newest) = images.len().checked_sub(1) else {
        return Vec::new();
    };
    let kept_from = images.len().saturating_sub(retention.images.max(1));
    let too_old = |image: &Image| image.begun.saturating_add(retention.age) < wall;
    images[..newest]
        .iter()
        .enumerate()
        .filter(|(place, (_, image))| *place < kept_from || too_old(image))
        .map(|(_, (id, _))| *id)
        .collect()
}

/// Drops what retention no longer keeps, in one transaction.
pub fn prune(
    archive: &Archive,
    retention: Retention,
    wall: Micros,
) -> Result<Dropped, ArchiveError> {
    archive.write(|step| prune_step(step, retention, wall))
}

fn prune_step(
    step: &mut Step<'_>,
    retention: Retention,
    wall: Micros,
) -> Result<Dropped, ArchiveError> {
    let mut images = step.images()?;
    images.retain(|(_, image)| image.revision.is_some());
    let expired = expired(&images, retention, wall);
    for id in &expired {
        step.drop_image(*id)?;
    }
    images.retain(|(id, _)| !expired.contains(id));
    let mut dropped = Dropped {
        images: expired.len(),
        segments: 0,
    };
    let mut segments = step.segments()?;
    // The last segment is the one that is recorded, whether it has an image yet or not.
    segments.pop();
    let oldest_kept = images.first().map_or(0, |(_, image)| image.segment);
    for (id, _) in segments.iter().filter(|(id, _)| *id < oldest_kept) {
        step.drop_segment(*id)?;
        dropped.segments += 1;
    }
    for (_, image) in &images[..images.len().min(1)] {
        step.drop_changes_until(image.segment, image.revision.unwrap_or(0))?;
    }
    Ok(dropped)
}
