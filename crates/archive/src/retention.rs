//! Retention: deletes snapshots and changes that the policy no longer retains.

use salttiller_records::units::Micros;

use crate::database::{Archive, ArchiveTransaction};
use crate::error::ArchiveError;
use crate::model::CompleteSnapshot;

/// Limits on the retained snapshots. The newest complete snapshot and all changes after it are
/// always retained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Maximum number of complete snapshots.
    pub max_snapshots: usize,
    /// Maximum age of a snapshot, counted from the time at which it was started.
    pub max_age: Micros,
}

/// Numbers of items that a pruning pass deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrunedCounts {
    /// Number of deleted snapshots.
    pub snapshots: usize,
    /// Number of deleted segments.
    pub segments: usize,
}

/// Deletes, in one transaction, the snapshots and changes that the policy does not retain.
///
/// # Errors
/// Returns an error if the archive can't be read or written. In this case, nothing is deleted.
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

/// Splits the complete snapshots, given oldest first, into expired and retained ones.
fn split_expired(
    snapshots: Vec<CompleteSnapshot>,
    policy: RetentionPolicy,
    wall_clock: Micros,
) -> (Vec<CompleteSnapshot>, Vec<CompleteSnapshot>) {
    let count = snapshots.len();
    let first_by_count = count.saturating_sub(policy.max_snapshots.max(1));
    let is_expired = |index: usize, snapshot: &CompleteSnapshot| {
        let is_newest = index + 1 == count;
        let too_old = snapshot.snapshot.started.saturating_add(policy.max_age) < wall_clock;
        !is_newest && (index < first_by_count || too_old)
    };
    let mut expired = Vec::new();
    let mut retained = Vec::new();
    for (index, snapshot) in snapshots.into_iter().enumerate() {
        if is_expired(index, &snapshot) {
            expired.push(snapshot);
        } else {
            retained.push(snapshot);
        }
    }
    (expired, retained)
}

/// Deletes the segments before the segment of the oldest retained snapshot and returns their
/// number. The last segment is always kept, because it is being recorded and may not have a
/// snapshot yet.
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
