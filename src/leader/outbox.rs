//! Outbox: the leader's queued commits and messages until the controller collects them.

use std::collections::BTreeSet;

use crate::peer_protocol::Message;
use crate::state_store::{CommitPriority, Transaction};
use salttiller_records::key::Key;

use super::term::Term;

/// Maximum number of records that one transaction changes. This bounds the size of a transaction:
/// the state service accepts 64 KiB, and a job record may be several KiB.
const MAX_CHANGES_PER_TRANSACTION: usize = 8;

/// An action that the controller carries out for the leader.
#[derive(Debug)]
pub enum Action {
    /// Commit a transaction.
    Commit {
        /// Conditions and changes.
        transaction: Transaction,
        /// Priority of the commit.
        priority: CommitPriority,
        /// The changed records, to be passed to [`super::Leader::on_commit_finished`] with the
        /// outcome.
        keys: Vec<Key>,
    },
    /// Send a message to the owner of the region that the message names.
    Send(Message),
}

/// A record to be written by compare-and-swap against the version that was read.
#[derive(Debug)]
pub(super) struct RecordChange {
    pub(super) key: Key,
    /// Version that the record must still have; 0 if the record must not exist yet.
    pub(super) expected_version: u64,
    pub(super) value: serde_json::Value,
}

/// Uncollected actions, and the records with a commit in flight.
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

    /// Queues changes in as few transactions as their size allows. Skips records with a commit in
    /// flight. Each transaction is conditional on the leader's record and on every record that it
    /// changes. `max_operations` is the state service's limit of operations in a transaction.
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

    /// Handles the end of the commit that changes this record, whatever the outcome.
    pub(super) fn on_commit_finished(&mut self, key: &Key) {
        self.in_flight.remove(key);
    }

    /// Removes and returns the queued actions, in order.
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
