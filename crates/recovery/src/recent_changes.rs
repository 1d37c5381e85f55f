//! The last changes that a controller saw, by which it recognises the state service's history.
//!
//! Kept are the last changes that were compared, and all since: were only the newest kept,
//! many changes of another history could push out those of ours before they are ever compared.

use salttiller_records::history::{last_whole_revisions, Fingerprint};

/// The last changes, in ascending order of their revisions.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: Vec<Fingerprint>,
    /// All changes up to this revision were noted.
    reached: u64,
}

impl RecentChanges {
    /// Nothing is known but that everything up to a revision was read.
    #[must_use]
    pub fn starting_at(revision: u64) -> Self {
        RecentChanges {
            changes: Vec::new(),
            reached: revision,
        }
    }

    /// The last revision that was noted.
    #[must_use]
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Notes the changes of an answer that is complete up to `revision`. Those that were noted
    /// before are ignored.
    pub fn append(&mut self, mut changes: Vec<Fingerprint>, revision: u64) {
        let known_until = self.reached;
        changes.retain(|change| change.version > known_until);
        changes.sort();
        self.changes.extend(changes);
        self.reached = self.reached.max(revision);
    }

    /// All changes up to a revision were compared: of these only the last are kept.
    pub fn confirm(&mut self, until: u64) {
        let first_unconfirmed = self
            .changes
            .partition_point(|change| change.version <= until);
        let unconfirmed = self.changes.split_off(first_unconfirmed);
        self.changes = last_whole_revisions(std::mem::take(&mut self.changes));
        self.changes.extend(unconfirmed);
    }

    /// The revision after which to ask for changes, so that the answer shows all known ones.
    #[must_use]
    pub fn compare_after(&self) -> u64 {
        let oldest = self.changes.first();
        oldest.map_or(self.reached, |change| change.version.saturating_sub(1))
    }

    /// Whether an answer with the changes after [`RecentChanges::compare_after`] shows the same
    /// history. Changes after those that are known don't matter.
    #[must_use]
    pub fn agrees_with(&self, shown: &[Fingerprint]) -> bool {
        let is_known = |change: &&Fingerprint| change.version <= self.reached;
        let mut shown: Vec<&Fingerprint> = shown.iter().filter(is_known).collect();
        shown.sort();
        shown.into_iter().eq(self.changes.iter())
    }
}

#[cfg(test)]
mod tests;
