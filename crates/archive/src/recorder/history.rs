//! The end of the recorded history, which the recorder compares with the history of the state
//! service.

use salttiller_records::history::{last_complete_revisions, Fingerprint};

use crate::fault_injection::{is_disabled, Safeguard};
use crate::model::Change;

/// The end of the recorded history.
#[derive(Debug, Default)]
pub(super) struct RecordedHistory {
    /// All changes from the segment's start up to this revision are archived.
    cursor: u64,
    /// Last revision up to which a comparison found the same history at the state service.
    verified_until: u64,
    /// The last changes up to `verified_until` and all changes after it, in revision order.
    recent: Vec<Fingerprint>,
}

impl RecordedHistory {
    /// Returns the end of an archived segment.
    pub(super) fn resumed(cursor: u64, verified_until: u64, recent: Vec<Fingerprint>) -> Self {
        RecordedHistory {
            cursor,
            verified_until,
            recent,
        }
    }

    /// Returns the history of a new segment that starts after a revision.
    pub(super) fn at_segment_start(after: u64, preceding_changes: Vec<Fingerprint>) -> Self {
        let recent = if is_disabled(Safeguard::PrecedingChanges) {
            Vec::new()
        } else {
            last_complete_revisions(preceding_changes)
        };
        RecordedHistory::resumed(after, after, recent)
    }

    pub(super) fn cursor(&self) -> u64 {
        self.cursor
    }

    pub(super) fn verified_until(&self) -> u64 {
        self.verified_until
    }

    pub(super) fn recent(&self) -> &[Fingerprint] {
        &self.recent
    }

    /// Returns the revision after which changes must be requested to receive all recent changes.
    pub(super) fn comparison_start(&self) -> u64 {
        let oldest = self.recent.first();
        oldest.map_or(self.cursor, |change| change.version.saturating_sub(1))
    }

    /// Whether the changes up to the cursor that the state service reports equal the recorded ones.
    pub(super) fn agrees_with(&self, shown: &[Fingerprint]) -> bool {
        shown == self.recent || is_disabled(Safeguard::HistoryComparison)
    }

    /// Returns the last revision that certainly belongs to the recorded history, given the changes
    /// of another history.
    ///
    /// Changes recorded since the last comparison that the other history also has may come from
    /// the other history. The changes before them belong to the recorded history alone.
    pub(super) fn last_own_revision(&self, other: &[Fingerprint]) -> u64 {
        let is_shared = |change: &&Fingerprint| other.contains(change);
        let unverified = |change: &&Fingerprint| change.version > self.verified_until;
        let mut newest_first = self.recent.iter().filter(unverified).rev().peekable();
        if !newest_first.peek().is_some_and(is_shared) {
            return self.cursor;
        }
        let last_own = newest_first.find(|change| !is_shared(change));
        last_own.map_or(self.verified_until, |change| change.version)
    }

    /// Adds archived changes and moves the cursor to a revision.
    pub(super) fn append(&mut self, changes: &[Change], revision: u64) {
        self.recent.extend(changes.iter().map(Change::fingerprint));
        self.cursor = revision;
    }

    /// Marks the history as verified up to the cursor.
    pub(super) fn mark_verified(&mut self) {
        self.verified_until = self.cursor;
        // Guards against the loss of all changes that identify the recorded history: if the list
        // were shortened before a comparison, many changes of another history could displace
        // them. The list is therefore shortened only here.
        self.recent = last_complete_revisions(std::mem::take(&mut self.recent));
    }

    /// Removes all recent changes. The cursor does not change.
    pub(super) fn clear_changes(&mut self) {
        self.recent.clear();
    }
}
