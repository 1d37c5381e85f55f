//! Tests of queued commits.

use super::*;

fn change(job: u32) -> RecordChange {
    RecordChange {
        key: Key::Job(format!("req-{job:06}")),
        expected_version: u64::from(job),
        value: serde_json::Value::Null,
    }
}

/// Queues changes of these jobs' records. Returns the number of changes in each transaction.
fn commit(outbox: &mut Outbox, jobs: std::ops::Range<u32>, max_operations: usize) -> Vec<usize> {
    let term = Term::new(99, 0);
    let changes = jobs.map(change).collect();
    outbox.commit(changes, CommitPriority::Normal, &term, max_operations);
    let mut sizes = Vec::new();
    for action in outbox.take_actions() {
        let Action::Commit {
            transaction, keys, ..
        } = action
        else {
            panic!("expected only commits, no messages");
        };
        assert_eq!(transaction.conditions[0], (Key::Leader, 99));
        assert_eq!(transaction.conditions.len(), keys.len() + 1);
        for (key, version) in &transaction.conditions[1..] {
            assert_eq!(*key, change(*version as u32).key);
        }
        let changed = transaction.changes.iter().map(|(key, _)| key);
        assert!(changed.eq(&keys));
        sizes.push(keys.len());
    }
    sizes
}

/// Guards against oversized and unconditional transactions: changes are split into as few
/// transactions as the limits allow, each conditional on the leader's record and on the records
/// that it changes.
#[test]
fn commits_are_split_by_size() {
    // Number of changes, limit of operations, expected sizes of the transactions.
    for (changes, max_operations, expected) in [
        (0, 20, vec![]),
        (1, 20, vec![1]),
        (8, 20, vec![8]),
        (20, 20, vec![8, 8, 4]),
        (5, 3, vec![3, 2]),
    ] {
        let sizes = commit(&mut Outbox::default(), 0..changes, max_operations);
        assert_eq!(sizes, expected, "{changes} {max_operations}");
    }
}

/// Guards against two concurrent commits of the same record: a record with a commit in flight is
/// skipped until that commit has ended.
#[test]
fn records_in_flight_are_skipped() {
    let mut outbox = Outbox::default();
    assert_eq!(commit(&mut outbox, 0..3, 20), [3]);
    assert!(outbox.is_in_flight(&change(1).key));
    assert_eq!(commit(&mut outbox, 0..5, 20), [2]);
    outbox.on_commit_finished(&change(1).key);
    assert!(!outbox.is_in_flight(&change(1).key));
    assert_eq!(commit(&mut outbox, 0..5, 20), [1]);
}
