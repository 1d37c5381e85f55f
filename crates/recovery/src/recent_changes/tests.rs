//! Tests of histories that are told apart.

use super::*;

fn change(version: u64, key: &str) -> Fingerprint {
    Fingerprint::new(version, key.to_owned(), Some(key.as_bytes()))
}

/// Changes after a revision up to another; those from `other_from` on are of another history.
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

#[test]
fn histories_are_told_apart() {
    let mut recent = RecentChanges::starting_at(10);
    let history = shown(10, 80, 999);
    // Answers overlap and come out of order; each change is noted once.
    recent.append(history[..20].to_vec(), 30);
    recent.append(history[10..].to_vec(), 80);
    recent.append(history[..40].to_vec(), 50);
    recent.confirm(80);
    let from = recent.compare_after();
    assert!((40..60).contains(&from), "{from}");
    let cases = [
        ("the same", shown(from, 80, 999), true),
        ("the same, grown", shown(from, 95, 81), true),
        ("the last change is another", shown(from, 95, 80), false),
        ("all are others", shown(from, 95, 0), false),
        ("the last is missing", shown(from, 79, 999), false),
        ("none", Vec::new(), false),
    ];
    for (name, shown, agree) in cases {
        assert_eq!(recent.agrees_with(&shown), agree, "{name}");
    }
}

/// However many changes of another history came in unnoticed, it is told apart.
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
