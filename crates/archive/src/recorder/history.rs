//! What the recorder knows of the history that it records, by which it recognises it.

use salttiller_records::history::{last_whole_revisions, Fingerprint};

use crate::fault_injection::{is_disabled, Safeguard};
use crate::model::Change;

/// The end of the recorded history.
#[derive(Debug, Default)]
pub(super) struct RecordedHistory {
    /// All changes up to this revision are archived, those after the segment's start.
    cursor: u64,
    /// Up to this revision the state service has been seen to have the same history.
    verified_until: u64,
    /// The last changes up to `verified_until`, and all after it, in ascending order.
    recent: Vec<Fingerprint>,
}

impl RecordedHistory {
    /// The end of a segment that is on disk.
    pub(super) fn resumed(cursor: u64, verified_until: u64, recent: Vec<Fingerprint>) -> Self {
        RecordedHistory {
            cursor,
            verified_until,
            recent,
        }
    }

    /// The start of a segment after a revision.
    pub(super) fn starting(after: u64, preceding_changes: Vec<Fingerprint>) -> Self {
        let recent = if is_disabled(Safeguard::PrecedingChanges) {
            Vec::new()
        } else {
            last_whole_revisions(preceding_changes)
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

    /// The revision after which to ask for changes, so that the answer shows all recent ones.
    pub(super) fn compare_after(&self) -> u64 {
        let oldest = self.recent.first();
        oldest.map_or(self.cursor, |change| change.version.saturating_sub(1))
    }

    /// Whether the changes up to the cursor that the state service shows are the recorded ones.
    pub(super) fn agrees_with(&self, shown: &[Fingerprint]) -> bool {
        shown == self.recent || is_disabled(Safeguard::HistoryComparison)
    }

    /// Given the changes of another history, the last revision that is certainly of the
    /// recorded one.
    ///
    /// Recorded changes since the last comparison that the other history shows too may have
    /// come from it, unnoticed; before them are those that it never had.
    pub(super) fn last_revision_before(&self, other: &[Fingerprint]) -> u64 {
        let is_shared = |change: &&Fingerprint| other.contains(change);
        let unverified = |change: &&Fingerprint| change.version > self.verified_until;
        let mut newest_first = self.recent.iter().filter(unverified).rev().peekable();
        if !newest_first.peek().is_some_and(is_shared) {
            return self.cursor;
        }
        let last_own = newest_first.find(|change| !is_shared(change));
        last_own.map_or(self.verified_until, |change| change.version)
    }

    /// Adds archived changes up to a revision.
    pub(super) fn append(&mut self, changes: &[Change], revision: u64) {
        self.recent.extend(changes.iter().map(Change::fingerprint));
        self.cursor = revision;
    }

    /// The history was compared up to the cursor.
    pub(super) fn verify(&mut self) {
        self.verified_until = self.cursor;
        // Only here: guards against many changes of another history pushing out all by
        // which ours is recognised, before they were ever compared.
        self.recent = last_whole_revisions(std::mem::take(&mut self.recent));
    }

    /// Nothing is known of the history any more but where its record ended.
    pub(super) fn forget_changes(&mut self) {
        self.recent.clear();
    }
}
