//! Verifies that the state service still has the history of changes that this controller has
//! seen. Verification is active only with the operator setting `detect_lost_records`.

use salttiller_protocol::state_service::{encode, Changes, Event};
use salttiller_records::history::Fingerprint;
use salttiller_records::key::Key;
use salttiller_records::units::{Micros, SECOND};
use salttiller_recovery::{Finding, RecentChanges};

use super::changes::Watch;
use super::replica::Replica;
use crate::fault_injection::{is_disabled, Safeguard};

/// Interval at which the history is verified while no read fails.
const VERIFY_INTERVAL: Micros = 30 * SECOND;

/// The last known changes, and the time at which they are next compared with those of the
/// state service.
#[derive(Debug)]
pub(super) struct History {
    /// The last known changes, if detection of lost records is enabled.
    recent: Option<RecentChanges>,
    /// Whether the next barrier verifies the history because a read failed or a lease
    /// expired.
    verify_next: bool,
    /// Time from which a barrier verifies the history even if `verify_next` is false.
    verify_at: Micros,
}

impl History {
    /// Returns a history without changes. `detect_lost_records` is whether the history is
    /// verified at all.
    pub(super) fn new(detect_lost_records: bool) -> Self {
        History {
            recent: detect_lost_records.then(RecentChanges::default),
            verify_next: false,
            verify_at: 0,
        }
    }

    /// Makes the next barrier verify the history.
    pub(super) fn verify_at_next_barrier(&mut self) {
        self.verify_next = true;
    }

    /// Returns what a barrier requests: the changes after `revision`, or those starting with
    /// the last known changes if the barrier verifies the history.
    #[must_use]
    pub(super) fn next_watch(&mut self, revision: u64, now: Micros) -> Watch {
        let verify = std::mem::take(&mut self.verify_next) || now >= self.verify_at;
        let expected = self.recent.as_ref().filter(|_| verify).cloned();
        let from = expected
            .as_ref()
            .map_or(revision, RecentChanges::compare_after);
        Watch { from, expected }
    }

    /// Compares a response with the known history. Returns the finding if they differ;
    /// otherwise adds the response's changes to the history.
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
        // The revision after which the changes were requested came from the state service itself,
        // so even a late response can't have a lower revision.
        let expected = watch.expected.as_ref();
        let seen = expected.map_or(watch.from, RecentChanges::last_revision);
        if answer.revision < seen {
            let now = answer.revision;
            return Some(Finding::RevisionWentBack { seen, now });
        }
        let fingerprints: Vec<Fingerprint> = answer.events.iter().filter_map(fingerprint).collect();
        if let Some(known) = expected {
            if !known.agrees_with(&fingerprints) {
                return Some(Finding::HistoryReplaced { seen });
            }
            recent.confirm(seen);
            self.verify_at = now + VERIFY_INTERVAL;
        }
        recent.append(fingerprints, answer.revision);
        find_forbidden_deletion(answer)
    }

    /// Compares a full read with the replica that it replaces and returns the finding if
    /// records were lost. `seen` is the revision that was known before the first page was
    /// requested.
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
        // A record that was written after the first page may belong to a page that was
        // already read, so its absence proves nothing.
        let mut known = known.jobs.iter().filter(|(_, job)| job.version <= now);
        let (lost, _) = known.find(|(id, _)| !read.jobs.contains_key(*id))?;
        Some(Finding::RecordDeleted {
            key: Key::Job(lost.clone()).text(),
        })
    }

    /// Restarts the history at the revision of a full read.
    pub(super) fn start_at(&mut self, revision: u64) {
        if self.recent.is_some() {
            self.recent = Some(RecentChanges::starting_at(revision));
        }
    }

    /// Discards the known changes.
    pub(super) fn discard(&mut self) {
        self.recent = Some(RecentChanges::default());
    }
}

/// Returns a finding if a response deletes a record of a kind that is never deleted.
fn find_forbidden_deletion(answer: &Changes) -> Option<Finding> {
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
