//! The last changes that a controller saw, by which it recognises the state service's history
//! after it could not reach it for a while.

use std::collections::VecDeque;

use salttiller_records::history::{Fingerprint, RECOGNISED_CHANGES};

/// The last changes, in the order of their revisions.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: VecDeque<Fingerprint>,
    /// All changes up to this revision were noted.
    reached: u64,
}

impl RecentChanges {
    /// Nothing is known but that all up to a revision was read.
    pub fn starting_at(revision: u64) -> Self {
        RecentChanges {
            changes: VecDeque::new(),
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
        self.drop_oldest();
    }

    /// Keeps [`RECOGNISED_CHANGES`], and the revision of the oldest of these whole.
    fn drop_oldest(&mut self) {
        let Some(first) = self.changes.len().checked_sub(RECOGNISED_CHANGES) else {
            return;
        };
        let oldest = self.changes[first].version;
        while self.changes.front().is_some_and(|c| c.version < oldest) {
            self.changes.pop_front();
        }
    }

    /// From which revision on to ask, so that the answer shows all changes that are known.
    pub fn compare_from(&self) -> u64 {
        let oldest = self.changes.front();
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
