//! Retention: which snapshots and changes are deleted once newer snapshots replace them.

use salttiller_records::units::Micros;

use crate::database::{Archive, ArchiveTransaction};
use crate::error::ArchiveError;
use crate::model::CompleteSnapshot;

/// What is retained. The newest complete snapshot and all changes after it always are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Greatest number of complete snapshots.
    pub max_snapshots: usize,
    /// Greatest age of a snapshot, by the time at which it was started.
    pub max_age: Micros,
}

/// What a pass deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrunedCounts {
    /// Snapshots.
    pub snapshots: usize,
    /// Whole segments.
    pub segments: usize,
}

/// Deletes what the policy no longer retains, in one transaction.
///
/// # Errors
/// Those of reading and writing; nothing is deleted then.
pub fn prune(
    archive: &Archive,
    policy: RetentionPolicy,
    wall_clock: Micros,
) -> Result<PrunedCounts, ArchiveError> {
    archive.write(|transaction| {
        let snapshots = transaction.complete_snapshots()?;
        let (expired, retained) = split_expired(snapshots, policy, wall_clock);
        for snapshot in &expired {
            transaction.delete_snapshot(snapshot.id)?;
        }
        let oldest = retained.first();
        let segments = prune_segments(transaction, oldest.map_or(0, |s| s.snapshot.segment))?;
        if let Some(oldest) = oldest {
            transaction.delete_changes_until(oldest.snapshot.segment, oldest.revision)?;
        }
        Ok(PrunedCounts {
            snapshots: expired.len(),
            segments,
        })
    })
}

/// Splits the complete snapshots, oldest first, into those to delete and those to retain.
fn split_expired(
    snapshots: Vec<CompleteSnapshot>,
    policy: RetentionPolicy,
    wall_clock: Micros,
) -> (Vec<CompleteSnapshot>, Vec<CompleteSnapshot>) {
    let count = snapshots.len();
    let first_by_count = count.saturating_sub(policy.max_snapshots.max(1));
    let is_expired = |place: usize, snapshot: &CompleteSnapshot| {
        let is_newest = place + 1 == count;
        let too_old = snapshot.snapshot.started.saturating_add(policy.max_age) < wall_clock;
        !is_newest && (place < first_by_count || too_old)
    };
    let mut expired = Vec::new();
    let mut retained = Vec::new();
    for (place, snapshot) in snapshots.into_iter().enumerate() {
        if is_expired(place, &snapshot) {
            expired.push(snapshot);
        } else {
            retained.push(snapshot);
        }
    }
    (expired, retained)
}

/// Deletes the segments before the one of the oldest retained snapshot; returns their number.
/// The last segment stays, as it is being recorded, whether it has a snapshot yet or not.
fn prune_segments(
    transaction: &mut ArchiveTransaction<'_>,
    oldest_retained: u64,
) -> Result<usize, ArchiveError> {
    let mut segments = transaction.segments()?;
    segments.pop();
    segments.retain(|segment| segment.id < oldest_retained);
    for segment in &segments {
        transaction.delete_segment(segment.id)?;
    }
    Ok(segments.len())
}
