//! Whether the state service still has the history that we know.

use super::*;
use salttiller_records::history::Fingerprint;

/// How often the history is recognised without an interruption.
const COMPARE_EVERY: Micros = 30 * SECOND;

impl StateStore {
    /// What a barrier asks for: from our revision on, or from the last known changes on if the
    /// history is to be recognised.
    pub(super) fn barrier_watch(&mut self) -> Watch {
        let compares = std::mem::take(&mut self.compare_next) || self.now >= self.compare_at;
        let compared = self.recent.as_ref().filter(|_| compares).cloned();
        let from = match &compared {
            Some(recent) => recent.compare_from(),
            None => self.replica.revision,
        };
        Watch { from, compared }
    }

    /// What an answer shows against the history that we know, and notes its changes if nothing.
    pub(super) fn recognise(&mut self, watch: &Watch, answer: &Changes) -> Option<Finding> {
        let recent = self.recent.as_mut()?;
        if is_disabled(Safeguard::KnownHistory) {
            return None;
        }
        // The revision asked from was shown by the state service itself, so a late answer
        // can't be below it.
        let seen = watch
            .compared
            .as_ref()
            .map_or(watch.from, RecentChanges::reached);
        if answer.revision < seen {
            let now = answer.revision;
            return Some(Finding::RevisionWentBack { seen, now });
        }
        let shown: Vec<Fingerprint> = answer.events.iter().filter_map(fingerprint).collect();
        let differs = |known: &RecentChanges| !known.agree_with(&shown);
        if watch.compared.as_ref().is_some_and(differs) {
            return Some(Finding::HistoryReplaced { seen });
        }
        if watch.compared.is_some() {
            recent.confirm(seen);
            self.compare_at = self.now + COMPARE_EVERY;
        }
        recent.note(shown, answer.revision);
        let never_deleted = |key: &str| matches!(Key::parse(key), Some(Key::Job(_) | Key::Token));
        let gone = answer.events.iter().filter_map(|e| e.delete.as_deref());
        let key = gone.into_iter().find(|key| never_deleted(key))?;
        Some(Finding::RecordDeleted {
            key: key.to_owned(),
        })
    }

    /// What a full read shows against the copy that it replaces; `seen` is the revision that
    /// was known before its first page was asked for.
    pub(super) fn missing_since(&self, seen: u64, fresh: &Replica) -> Option<Finding> {
        self.recent.as_ref()?;
        let now = fresh.revision;
        if now < seen {
            return Some(Finding::RevisionWentBack { seen, now });
        }
        // What changed since the first page may stand on one that was read before.
        let known = self.replica.jobs.iter().filter(|(_, r)| r.version <= now);
        let mut known = known.map(|(id, _)| id);
        let lost = known.find(|id| !fresh.jobs.contains_key(*id))?;
        Some(Finding::RecordDeleted {
            key: Key::Job(lost.clone()).text(),
        })
    }

    /// The history that we knew is gone: reads all that there is, under new leases, and sends
    /// nothing that was meant for the old one. Returns the copy of what was.
    pub fn forget_history(&mut self, events: &mut Vec<StateStoreEvent>) -> Replica {
        // Late answers to these would mix what was with what is.
        self.ops.retain(|_, op| matches!(op, Operation::Commit(_)));
        (self.follow_busy, self.barrier_busy) = (false, false);
        (self.follow_next, self.barrier_next) = (self.now, self.now);
        self.load = Loading::Needed { not_before: 0 };
        self.fresh_at = None;
        self.recent = Some(RecentChanges::default());
        self.owner.state = LeaseState::Wanted { not_before: 0 };
        self.leader.state = LeaseState::Unwanted;
        for commit in self.queues.iter_mut().flat_map(std::mem::take) {
            events.push(StateStoreEvent::Committed(
                commit.ticket,
                CommitOutcome::Refused,
            ));
        }
        std::mem::take(&mut self.replica)
    }
}

fn fingerprint(event: &state_service::Event) -> Option<Fingerprint> {
    let key = event.put.as_ref().or(event.delete.as_ref())?;
    let value = event.value.as_ref().map(encode);
    Some(Fingerprint::new(
        event.version,
        key.clone(),
        value.as_deref(),
    ))
}
