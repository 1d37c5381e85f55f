//! Tests of findings: what counts as evidence, and when.

use super::*;
use crate::recent::RecentChanges;
use salttiller_records::history::Fingerprint;

fn report(token: u64, recorded_token: u64, unknown_job: Option<&str>) -> Reported<'_> {
    Reported {
        machine: "m-1",
        token,
        recorded_token,
        unknown_job,
    }
}

#[test]
fn evidence_counts_after_a_read_that_began_later() {
    // Report (token, recorded, unknown job), then reads (sent, recorded, job known): finding?
    type Read = (Micros, u64, bool);
    let cases: [(&str, Reported<'_>, &[Read], bool); 8] = [
        ("nothing odd", report(4, 4, None), &[(20, 4, true)], false),
        ("a first start", report(0, 0, None), &[(20, 0, true)], false),
        (
            "a token just handed out",
            report(5, 4, None),
            &[(20, 5, true)],
            false,
        ),
        (
            "a token never handed out",
            report(9, 4, None),
            &[(20, 4, true)],
            true,
        ),
        ("a wiped store", report(9, 0, None), &[(20, 0, false)], true),
        (
            "read begun before",
            report(9, 4, None),
            &[(10, 4, true)],
            false,
        ),
        (
            "job just accepted",
            report(4, 4, Some("req-1")),
            &[(20, 4, true)],
            false,
        ),
        (
            "job without a record",
            report(4, 4, Some("req-1")),
            &[(10, 4, false), (20, 4, false)],
            true,
        ),
    ];
    for (name, reported, reads, found) in cases {
        let mut detection = Detection::starting(0, SECOND);
        let odd = detection.look_at(reported, 10);
        assert_eq!(
            odd,
            reported.token > reported.recorded_token || reported.unknown_job.is_some()
        );
        let mut finding = None;
        for (sent, recorded, known) in reads {
            finding = finding.or(detection.on_read(*sent, *recorded, |_| *known));
        }
        assert_eq!(finding.is_some(), found, "{name}: {finding:?}");
    }
}

#[test]
fn a_start_is_proven_when_workers_had_the_time_to_report() {
    let detection = Detection::starting(100, 3 * SECOND);
    assert!(!detection.is_proven(100 + 7 * SECOND));
    assert!(detection.is_proven(100 + 8 * SECOND));
}

fn change(version: u64, key: &str) -> Fingerprint {
    Fingerprint::new(version, key.to_owned(), Some(key.as_bytes()))
}

#[test]
fn histories_are_told_apart() {
    let mut recent = RecentChanges::starting_at(10);
    let history: Vec<Fingerprint> = (11..=80).map(|v| change(v, "st/a")).collect();
    // Answers overlap and come out of order; each change is noted once.
    recent.note(history[..20].to_vec(), 30);
    recent.note(history[10..].to_vec(), 80);
    recent.note(history[..40].to_vec(), 50);
    recent.confirm(80);
    let from = recent.compare_from();
    assert!((40..60).contains(&from), "{from}");
    let shown = |from: u64, until: u64, other_from: u64| -> Vec<Fingerprint> {
        (from + 1..=until)
            .map(|v| change(v, if v >= other_from { "st/b" } else { "st/a" }))
            .collect()
    };
    let cases = [
        ("the same", shown(from, 80, 999), true),
        ("the same, grown", shown(from, 95, 81), true),
        ("the last change is another", shown(from, 95, 80), false),
        ("all are others", shown(from, 95, 0), false),
        ("the last is missing", shown(from, 79, 999), false),
        ("none", Vec::new(), false),
    ];
    for (name, shown, agree) in cases {
        assert_eq!(recent.agree_with(&shown), agree, "{name}");
    }
}

/// However many changes of another history came in unnoticed, it is told apart.
#[test]
fn many_new_changes_do_not_hide_a_replacement() {
    let mut recent = RecentChanges::starting_at(10);
    recent.note((11..=60).map(|v| change(v, "st/a")).collect(), 60);
    recent.confirm(60);
    recent.note((61..=200).map(|v| change(v, "st/b")).collect(), 200);
    let from = recent.compare_from();
    assert!((20..40).contains(&from), "{from}");
    let shown = |other_from: u64| -> Vec<Fingerprint> {
        (from + 1..=210)
            .map(|v| change(v, if v >= other_from { "st/b" } else { "st/a" }))
            .collect()
    };
    assert!(recent.agree_with(&shown(61)));
    assert!(!recent.agree_with(&shown(50)));
}
