//! The last changes that a controller saw, by which it recognises the state service's history.
//!
//! Kept are the last ones that were compared, and all since: were the newest alone kept, many
//! changes of another history could push out those of ours before they are ever compared.

use salttiller_records::history::{last_whole_revisions, Fingerprint};

/// The last changes, in the order of their revisions.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: Vec<Fingerprint>,
    /// All changes up to this revision were noted.
    reached: u64,
}

impl RecentChanges {
    /// Nothing is known but that all up to a revision was read.
    pub fn starting_at(revision: u64) -> Self {
        RecentChanges {
            changes: Vec::new(),
            reached: revision,
        }
    }

    /// The last revision that was noted.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Notes the changes of an answer that is complete up to `revision`; those that were noted
    /// before are passed over.
    pub fn note(&mut self, mut changes: Vec<Fingerprint>, revision: u64) {
        let known = self.reached;
        changes.retain(|c| c.version > known);
        changes.sort();
        self.changes.extend(changes);
        self.reached = self.reached.max(revision);
    }

    /// All changes up to a revision were compared: of these only the last are kept.
    pub fn confirm(&mut self, until: u64) {
        let compared = self.changes.partition_point(|c| c.version <= until);
        let since = self.changes.split_off(compared);
        self.changes = last_whole_revisions(std::mem::take(&mut self.changes));
        self.changes.extend(since);
    }

    /// From which revision on to ask, so that the answer shows all changes that are known.
    pub fn compare_from(&self) -> u64 {
        let oldest = self.changes.first();
        oldest.map_or(self.reached, |c| c.version.saturating_sub(1))
    }

    /// Whether an answer that was asked for from [`RecentChanges::compare_from`] on shows the
    /// same changes.
    pub fn agree_with(&self, shown: &[Fingerprint]) -> bool {
        let mut shown: Vec<&Fingerprint> =
            shown.iter().filter(|c| c.version <= self.reached).collect();
        shown.sort();
        shown.into_iter().eq(self.changes.iter())
    }
}
