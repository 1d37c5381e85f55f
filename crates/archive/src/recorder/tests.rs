//! Tests of the recorder with an archive on disk and a model of the state service.

mod model;
mod run;

use serde_json::json;

use salttiller_protocol::state_service::{Changes, Event};
use salttiller_testkit::TempFolder;

use self::model::History;
use self::run::{clock_at, request_failure, run_with_faults, Fault, Run, ALL_FAULTS, PACING};
use super::*;
use crate::database::ArchiveView;
use crate::fault_injection::{disable, Safeguard};
use crate::reconstruct::{reconstruct, PointInTime};
use crate::retention::{prune, RetentionPolicy};

/// Guards against wrong records after any sequence of faults: each revision that the archive
/// covers must equal the model's records, and everything else must be within a recorded gap.
#[test]
fn archived_records_are_correct_under_faults() {
    for fault in ALL_FAULTS {
        let mut compared = 0;
        for seed in 0..8 {
            compared += run_with_faults(seed, &[fault], 120)
                .unwrap_or_else(|e| panic!("{fault:?}, seed {seed}: {e}"));
        }
        assert!(
            compared > 100,
            "{fault:?}: only {compared} revisions compared"
        );
    }
    for seed in 100..130 {
        run_with_faults(seed, &ALL_FAULTS, 150)
            .unwrap_or_else(|e| panic!("all faults, seed {seed}: {e}"));
    }
}

/// Guards against the loss of unverified changes when the store is replaced without a broken
/// connection. Only the next comparison detects the replacement; all changes recorded before the
/// replacement must be kept, although they were never compared.
#[test]
fn changes_before_a_silent_replacement_are_kept() {
    let folder = TempFolder::new("silent").unwrap();
    let mut run = Run::new(&folder);
    let mut random = fastrand::Rng::with_seed(11);
    run.history.change_times(20, &mut random);
    while run.recorder.snapshots_completed() == 0 {
        run.step(&mut random, &[]);
    }
    run.recorder.schedule_snapshot(Micros::MAX);
    let backup = run.history.clone();
    while run.recorder.history.cursor() < backup.revision + 10 {
        run.step(&mut random, &[]);
    }
    let last_before = run.recorder.history.cursor();
    assert!(run.recorder.history.verified_until() < last_before);
    let expected = run.history.records_at(last_before);
    run.history = backup;
    run.history.lineage = 1;
    while run.history.revision < last_before + 30 {
        run.history.change(&mut random);
    }
    while run.segments().len() == 1 {
        run.step(&mut random, &[]);
    }
    let end_of_first = PointInTime {
        segment: Some(1),
        revision: None,
    };
    let kept = run.archive.read(|view| reconstruct(view, end_of_first));
    let kept = kept.unwrap();
    assert_eq!(kept.revision, last_before);
    assert!(kept.records == expected);
}

/// Guards against safeguards that no run with faults depends on: with a safeguard disabled, at
/// least one run must fail.
#[test]
fn runs_fail_if_a_safeguard_is_disabled() {
    let cases = [
        (Safeguard::HistoryComparison, Fault::RestoredBackups),
        (Safeguard::RevisionOrder, Fault::Wipes),
        (
            Safeguard::UnverifiedChangesDropped,
            Fault::SilentReplacement,
        ),
        (Safeguard::SnapshotConsistency, Fault::RequestFailures),
        (Safeguard::PrecedingChanges, Fault::RestoredBackups),
        (Safeguard::PagesAheadDiscarded, Fault::RestoredBackups),
    ];
    for (safeguard, fault) in cases {
        disable(Some(safeguard));
        let detected = (0..100).any(|seed| {
            let run = || run_with_faults(seed, &[fault], 80);
            // Without a safeguard, the archive may also reject inconsistent actions, which panics.
            std::panic::catch_unwind(run).map_or(true, |r| r.is_err())
        });
        disable(None);
        assert!(
            detected,
            "no run failed with the safeguard {safeguard:?} disabled"
        );
    }
}

/// Guards against a gap after failed requests and restarts, which lose no changes.
#[test]
fn restarts_and_failed_requests_leave_one_segment() {
    let folder = TempFolder::new("one-segment").unwrap();
    let mut run = Run::new(&folder);
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        run.step(&mut random, &[Fault::Restarts, Fault::RequestFailures]);
    }
    run.check_archive(&mut random).unwrap();
    let segments = run.segments();
    assert_eq!(segments.len(), 1);
    assert_eq!(segments[0].value.gap.cause, GapCause::FirstRecording);
    let snapshots = run.archive.read(|view| view.complete_snapshots(1));
    let snapshots = snapshots.unwrap();
    assert!(snapshots.len() > 2, "only {} snapshots", snapshots.len());
}

fn complete_snapshots(run: &Run) -> usize {
    let snapshots = run.archive.read(ArchiveView::snapshots).unwrap();
    let complete = snapshots.iter().filter(|row| row.value.revision.is_some());
    complete.count()
}

/// Guards against pruning changes that a retained snapshot needs: each revision from the oldest
/// retained snapshot on must stay readable.
#[test]
fn retention_keeps_all_later_revisions_readable() {
    let folder = TempFolder::new("retention").unwrap();
    let mut run = Run::new(&folder);
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..300 {
        run.step(&mut random, &[Fault::Wipes, Fault::Restarts]);
    }
    let before = complete_snapshots(&run);
    assert!(before > 5);
    let by_count = RetentionPolicy {
        max_snapshots: 3,
        max_age: Micros::MAX,
    };
    let pruned = prune(&run.archive, by_count, run.now).unwrap();
    assert_eq!(
        (pruned.snapshots, complete_snapshots(&run)),
        (before - 3, 3)
    );
    run.check_archive(&mut random).unwrap();
    // The age limit expires all snapshots but the newest, which is always retained.
    let by_age = RetentionPolicy {
        max_snapshots: 100,
        max_age: 0,
    };
    prune(&run.archive, by_age, run.now + SECOND).unwrap();
    assert_eq!(complete_snapshots(&run), 1);
    run.check_archive(&mut random).unwrap();
    let snapshots = run.archive.read(ArchiveView::snapshots).unwrap();
    assert!(
        run.segments()[0].id >= snapshots[0].value.segment,
        "segments before the retained snapshot must be deleted"
    );
}

/// Guards against requests that are repeated too soon or too late after failures: the delay must
/// grow to the maximum backoff and no further, unless the state service requests a longer delay.
#[test]
fn failures_back_off_and_respect_retry_after() {
    let mut recorder = Recorder::new(PACING, 0);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..8 {
        let request = recorder.next_request(now).request;
        let actions = recorder.on_answer(&request, Err(request_failure()), clock_at(now));
        assert!(actions.is_empty());
        let not_before = recorder.next_request(now).not_before;
        waits.push(not_before - now);
        now = not_before;
    }
    assert!(waits[0] >= SECOND, "{waits:?}");
    assert!(waits[5] >= 30 * SECOND, "{waits:?}");
    assert!(waits.iter().all(|w| *w <= 38 * SECOND), "{waits:?}");
    let request = recorder.next_request(now).request;
    let refused = RequestError::Refused {
        address: ([127, 0, 0, 1], 1).into(),
        status: 429,
        retry_after: Some(60 * SECOND),
    };
    recorder.on_answer(&request, Err(refused), clock_at(now));
    assert!(recorder.next_request(now).not_before >= now + 60 * SECOND);
}

/// Guards against archiving a change that is neither a put nor a deletion, is both, or is outside
/// of the requested revisions.
#[test]
fn invalid_changes_are_not_recorded() {
    let mut recorder = Recorder::new(PACING, 0);
    let mut history = History::default();
    history.change_times(5, &mut fastrand::Rng::with_seed(1));
    let mut now = 0;
    while recorder.snapshots_completed() == 0 {
        let next = recorder.next_request(now);
        now = now.max(next.not_before);
        let answer = history.answer(&next.request, 100);
        recorder.on_answer(&next.request, Ok(answer), clock_at(now));
    }
    let event = |put: Option<&str>, delete: Option<&str>, version| Event {
        put: put.map(str::to_owned),
        delete: delete.map(str::to_owned),
        value: put.map(|_| json!(1)),
        version,
    };
    for invalid in [
        event(None, None, 6),
        event(Some("st/a"), Some("st/a"), 6),
        event(Some("st/a"), None, 2),
        event(Some("st/a"), None, 9),
    ] {
        recorder.schedule_snapshot(Micros::MAX);
        let request = Request::Watch { from: 5, wait: 0 };
        let answer = Answer::Changes(Changes {
            revision: 6,
            events: vec![invalid.clone()],
        });
        let actions = recorder.on_answer(&request, Ok(answer), clock_at(now));
        assert!(actions.is_empty(), "{invalid:?}: {actions:?}");
    }
}
