//! Tests of the comparison of histories.

use super::*;

fn change(version: u64, key: &str) -> Fingerprint {
    Fingerprint::new(version, key.to_owned(), Some(key.as_bytes()))
}

/// Returns the changes after the revision `after` up to `until`. The changes from `other_from` on
/// belong to another history.
fn shown(after: u64, until: u64, other_from: u64) -> Vec<Fingerprint> {
    let key = |version| {
        if version >= other_from {
            "st/b"
        } else {
            "st/a"
        }
    };
    (after + 1..=until).map(|v| change(v, key(v))).collect()
}

/// Guards against a replaced history that counts as the known one, and against a finding for the
/// unchanged history. The changes arrive in responses that overlap and are out of order.
#[test]
fn a_replaced_history_is_detected() {
    let mut recent = RecentChanges::starting_at(10);
    let history = shown(10, 80, 999);
    // Each change is added once although the responses overlap and are out of order.
    recent.append(history[..20].to_vec(), 30);
    recent.append(history[10..].to_vec(), 80);
    recent.append(history[..40].to_vec(), 50);
    recent.confirm(80);
    let from = recent.compare_after();
    assert!((40..60).contains(&from), "{from}");
    let cases = [
        ("same history", shown(from, 80, 999), true),
        ("same history with later changes", shown(from, 95, 81), true),
        ("last known change differs", shown(from, 95, 80), false),
        ("all changes differ", shown(from, 95, 0), false),
        ("last known change is missing", shown(from, 79, 999), false),
        ("no changes", Vec::new(), false),
    ];
    for (name, shown, agrees) in cases {
        assert_eq!(recent.agrees_with(&shown), agrees, "{name}");
    }
}

/// Guards against a replaced history that is not detected because many of its changes arrived
/// before the next comparison and displaced the changes of the known history.
#[test]
fn many_new_changes_do_not_hide_a_replacement() {
    let mut recent = RecentChanges::starting_at(10);
    recent.append(shown(10, 60, 61), 60);
    recent.confirm(60);
    recent.append(shown(60, 200, 61), 200);
    let from = recent.compare_after();
    assert!((20..40).contains(&from), "{from}");
    assert!(recent.agrees_with(&shown(from, 210, 61)));
    assert!(!recent.agrees_with(&shown(from, 210, 50)));
}
