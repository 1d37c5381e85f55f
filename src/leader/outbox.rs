//! What the leader wants committed and sent, until the controller collects it.

use std::collections::BTreeSet;

use crate::peer_protocol::Message;
use crate::state_store::{CommitPriority, Transaction};
use salttiller_records::key::Key;

use super::term::Term;

/// Most records that one transaction changes. Bounds its size: the state service takes 64 KiB
/// a transaction, and a job record may be several KiB.
const MAX_CHANGES_PER_TRANSACTION: usize = 8;

/// An effect that the leader asks the controller to carry out.
#[derive(Debug)]
pub enum Action {
    /// Commit a transaction.
    Commit {
        /// Conditions and changes.
        transaction: Transaction,
        /// How urgent it is.
        priority: CommitPriority,
        /// The changed records, to be handed back with the outcome.
        keys: Vec<Key>,
    },
    /// Send a message to the owner of the region that it names.
    Send(Message),
}

/// A record to be written, on the condition that it still has the version that was read.
#[derive(Debug)]
pub(super) struct RecordChange {
    pub(super) key: Key,
    /// 0 if there must be no such record yet.
    pub(super) expected_version: u64,
    pub(super) value: serde_json::Value,
}

/// Actions not collected yet, and the records with a commit in flight.
///
/// Invariant: a record has at most one commit of this leader in flight.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    actions: Vec<Action>,
    in_flight: BTreeSet<Key>,
}

impl Outbox {
    /// Queues a message to a region's owner.
    pub(super) fn send(&mut self, message: Message) {
        self.actions.push(Action::Send(message));
    }

    /// Whether a commit that changes this record is in flight.
    pub(super) fn is_in_flight(&self, key: &Key) -> bool {
        self.in_flight.contains(key)
    }

    /// Queues changes in as few transactions as their size allows, leaving out records with a
    /// commit in flight. Each transaction is conditional on the leader's record and on every
    /// record that it changes. `max_operations` is the state service's limit a transaction.
    pub(super) fn commit(
        &mut self,
        changes: Vec<RecordChange>,
        priority: CommitPriority,
        term: &Term,
        max_operations: usize,
    ) {
        let mut changes = changes;
        changes.retain(|change| !self.is_in_flight(&change.key));
        for chunk in changes.chunks(max_operations.min(MAX_CHANGES_PER_TRANSACTION)) {
            let keys: Vec<Key> = chunk.iter().map(|change| change.key.clone()).collect();
            self.in_flight.extend(keys.iter().cloned());
            self.actions.push(Action::Commit {
                transaction: transaction(chunk, term),
                priority,
                keys,
            });
        }
    }

    /// The commit that changes this record has ended, one way or the other.
    pub(super) fn on_commit_finished(&mut self, key: &Key) {
        self.in_flight.remove(key);
    }

    /// Hands over the queued actions, in order.
    #[must_use]
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

fn transaction(changes: &[RecordChange], term: &Term) -> Transaction {
    let leadership = (Key::Leader, term.version());
    let expected = changes
        .iter()
        .map(|change| (change.key.clone(), change.expected_version));
    Transaction {
        conditions: std::iter::once(leadership).chain(expected).collect(),
        changes: changes
            .iter()
            .map(|change| (change.key.clone(), Some(change.value.clone())))
            .collect(),
        lease: None,
    }
}

#[cfg(test)]
mod tests;
