//! Whether the state service still has the history that this controller knows. Only active
//! with the operators' setting `detect_lost_records`.

use salttiller_protocol::state_service::{encode, Changes, Event};
use salttiller_records::history::Fingerprint;
use salttiller_records::key::Key;
use salttiller_records::units::{Micros, SECOND};
use salttiller_recovery::{Finding, RecentChanges};

use super::changes::Watch;
use super::replica::Replica;
use crate::fault_injection::{is_disabled, Safeguard};

/// How often the history is verified without an interruption.
const VERIFY_INTERVAL: Micros = 30 * SECOND;

/// The last changes that are known, and when they are compared with those of the state
/// service.
#[derive(Debug)]
pub(super) struct History {
    /// The last changes, if lost records are looked for.
    recent: Option<RecentChanges>,
    /// There was an interruption: the next barrier verifies the history.
    verify_next: bool,
    /// When the next barrier does so without one.
    verify_at: Micros,
}

impl History {
    /// A history without changes; `detect_lost_records`: whether it is verified at all.
    pub(super) fn new(detect_lost_records: bool) -> Self {
        History {
            recent: detect_lost_records.then(RecentChanges::default),
            verify_next: false,
            verify_at: 0,
        }
    }

    /// Has the next barrier verify the history.
    pub(super) fn verify_at_next_barrier(&mut self) {
        self.verify_next = true;
    }

    /// What a barrier asks for: the changes after `revision`, or from the last known changes
    /// on if the history is to be verified.
    #[must_use]
    pub(super) fn next_watch(&mut self, revision: u64, now: Micros) -> Watch {
        let verify = std::mem::take(&mut self.verify_next) || now >= self.verify_at;
        let verified = self.recent.as_ref().filter(|_| verify).cloned();
        let from = verified
            .as_ref()
            .map_or(revision, RecentChanges::compare_after);
        Watch { from, verified }
    }

    /// What an answer shows against the known history. If nothing, its changes are added.
    #[must_use]
    pub(super) fn check(
        &mut self,
        watch: &Watch,
        answer: &Changes,
        now: Micros,
    ) -> Option<Finding> {
        let recent = self.recent.as_mut()?;
        if is_disabled(Safeguard::KnownHistory) {
            return None;
        }
        // The revision asked from was shown by the state service itself, so a late answer
        // can't be below it.
        let verified = watch.verified.as_ref();
        let seen = verified.map_or(watch.from, RecentChanges::reached);
        if answer.revision < seen {
            let now = answer.revision;
            return Some(Finding::RevisionWentBack { seen, now });
        }
        let shown: Vec<Fingerprint> = answer.events.iter().filter_map(fingerprint).collect();
        if let Some(known) = verified {
            if !known.agrees_with(&shown) {
                return Some(Finding::HistoryReplaced { seen });
            }
            recent.confirm(seen);
            self.verify_at = now + VERIFY_INTERVAL;
        }
        recent.append(shown, answer.revision);
        deleted_record(answer)
    }

    /// What a full read shows against the copy that it replaces; `seen` is the revision that
    /// was known before its first page was asked for.
    #[must_use]
    pub(super) fn check_full_read(
        &self,
        known: &Replica,
        seen: u64,
        read: &Replica,
    ) -> Option<Finding> {
        self.recent.as_ref()?;
        let now = read.revision;
        if now < seen {
            return Some(Finding::RevisionWentBack { seen, now });
        }
        // What changed since the first page may be on one that was read before.
        let mut known = known.jobs.iter().filter(|(_, job)| job.version <= now);
        let (lost, _) = known.find(|(id, _)| !read.jobs.contains_key(*id))?;
        Some(Finding::RecordDeleted {
            key: Key::Job(lost.clone()).text(),
        })
    }

    /// All records were read anew: the history begins with their revision.
    pub(super) fn start_at(&mut self, revision: u64) {
        if self.recent.is_some() {
            self.recent = Some(RecentChanges::starting_at(revision));
        }
    }

    /// Forgets the known changes.
    pub(super) fn forget(&mut self) {
        self.recent = Some(RecentChanges::default());
    }
}

/// The deletion in an answer of a record that is never deleted, if there is one.
fn deleted_record(answer: &Changes) -> Option<Finding> {
    let never_deleted = |key: &str| matches!(Key::parse(key), Some(Key::Job(_) | Key::Token));
    let mut deleted = answer.events.iter().filter_map(|e| e.delete.as_deref());
    let key = deleted.find(|key| never_deleted(key))?;
    Some(Finding::RecordDeleted {
        key: key.to_owned(),
    })
}

fn fingerprint(event: &Event) -> Option<Fingerprint> {
    let key = event.put.as_ref().or(event.delete.as_ref())?;
    let value = event.value.as_ref().map(encode);
    Some(Fingerprint::new(
        event.version,
        key.clone(),
        value.as_deref(),
    ))
}

#[cfg(test)]
mod tests;
