//! The last known changes, which identify the history of the state service.
//!
//! The last compared changes are kept, together with all later ones. If only the newest changes
//! were kept, many changes of another history could displace all changes of the known history
//! before they are compared.

use salttiller_records::history::{last_complete_revisions, Fingerprint};

/// The last known changes, in ascending order of their revisions.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: Vec<Fingerprint>,
    /// Revision up to which all changes were added.
    last_revision: u64,
}

impl RecentChanges {
    /// Returns an empty list, to which the changes after a full read at `revision` can be added.
    #[must_use]
    pub fn starting_at(revision: u64) -> Self {
        RecentChanges {
            changes: Vec::new(),
            last_revision: revision,
        }
    }

    /// Returns the revision up to which all changes were added.
    #[must_use]
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Adds the changes of a response that is complete up to `revision`. Changes that were added
    /// before are ignored.
    pub fn append(&mut self, mut changes: Vec<Fingerprint>, revision: u64) {
        let known_until = self.last_revision;
        changes.retain(|change| change.version > known_until);
        changes.sort();
        self.changes.extend(changes);
        self.last_revision = self.last_revision.max(revision);
    }

    /// Marks the changes up to the revision `until` as compared and keeps only the last of them.
    pub fn confirm(&mut self, until: u64) {
        let first_unconfirmed = self
            .changes
            .partition_point(|change| change.version <= until);
        let unconfirmed = self.changes.split_off(first_unconfirmed);
        self.changes = last_complete_revisions(std::mem::take(&mut self.changes));
        self.changes.extend(unconfirmed);
    }

    /// Returns the revision after which to request changes so that the response contains all known
    /// changes.
    #[must_use]
    pub fn compare_after(&self) -> u64 {
        let oldest = self.changes.first();
        oldest.map_or(self.last_revision, |change| {
            change.version.saturating_sub(1)
        })
    }

    /// Whether `shown`, the changes of a response after [`RecentChanges::compare_after`], belongs
    /// to the known history. Changes after the last known revision are ignored.
    #[must_use]
    pub fn agrees_with(&self, shown: &[Fingerprint]) -> bool {
        let is_known = |change: &&Fingerprint| change.version <= self.last_revision;
        let mut shown: Vec<&Fingerprint> = shown.iter().filter(is_known).collect();
        shown.sort();
        shown.into_iter().eq(self.changes.iter())
    }
}

#[cfg(test)]
mod tests;
