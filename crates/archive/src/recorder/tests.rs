//! Tests of the recorder with an archive on disk against a model of the state service.

mod model;
mod run;

use serde_json::json;

use salttiller_protocol::state_service::{Changes, Event};
use salttiller_testkit::TempFolder;

use self::model::History;
use self::run::{clock_at, play, request_failure, Fault, Run, ALL_FAULTS, PACING};
use super::*;
use crate::database::ArchiveView;
use crate::fault_injection::{disable, Safeguard};
use crate::reconstruct::{reconstruct, PointInTime};
use crate::retention::{prune, RetentionPolicy};

#[test]
fn whatever_happens_the_archive_holds_the_truth_or_says_that_it_has_a_gap() {
    for fault in ALL_FAULTS {
        let mut compared = 0;
        for seed in 0..8 {
            compared +=
                play(seed, &[fault], 120).unwrap_or_else(|e| panic!("{fault:?}, seed {seed}: {e}"));
        }
        assert!(compared > 100, "{fault:?}: only {compared} compared");
    }
    for seed in 100..130 {
        play(seed, &ALL_FAULTS, 150).unwrap_or_else(|e| panic!("all faults, seed {seed}: {e}"));
    }
}

/// Replaced with no connection breaking, and noticed only by a comparison: what came before
/// that is kept to its last change, though it was never compared.
#[test]
fn a_silent_replacement_costs_nothing_that_was_recorded_before() {
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
    let lost = run.recorder.history.cursor();
    assert!(run.recorder.history.verified_until() < lost);
    let truth = run.history.truth_at(lost);
    run.history = backup;
    run.history.lineage = 1;
    while run.history.revision < lost + 30 {
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
    assert_eq!(kept.revision, lost);
    assert!(kept.records == truth);
}

/// Each safeguard, disabled, is noticed by the runs above or by one like them.
#[test]
fn without_a_safeguard_an_archive_is_wrong() {
    let cases = [
        (Safeguard::HistoryComparison, Fault::OlderCopies),
        (Safeguard::RevisionOrder, Fault::Wipes),
        (
            Safeguard::UnverifiedChangesDropped,
            Fault::SilentReplacement,
        ),
        (Safeguard::SnapshotConsistency, Fault::Failures),
        (Safeguard::PrecedingChanges, Fault::OlderCopies),
        (Safeguard::PagesAheadDiscarded, Fault::OlderCopies),
    ];
    for (safeguard, fault) in cases {
        disable(Some(safeguard));
        let noticed = (0..100).any(|seed| {
            let run = || play(seed, &[fault], 80);
            // Without a safeguard the archive may also refuse what contradicts it.
            std::panic::catch_unwind(run).map_or(true, |r| r.is_err())
        });
        disable(None);
        assert!(noticed, "{safeguard:?} disabled went unnoticed");
    }
}

#[test]
fn an_undisturbed_recording_is_one_segment() {
    let folder = TempFolder::new("undisturbed").unwrap();
    let mut run = Run::new(&folder);
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        run.step(&mut random, &[Fault::Kills, Fault::Failures]);
    }
    run.check(&mut random).unwrap();
    let segments = run.segments();
    assert_eq!(segments.len(), 1);
    assert_eq!(segments[0].value.gap.cause, GapCause::FirstRecording);
    let snapshots = run.archive.read(|view| view.complete_snapshots(1));
    let snapshots = snapshots.unwrap();
    assert!(snapshots.len() > 2, "{} snapshots", snapshots.len());
}

fn complete_snapshots(run: &Run) -> usize {
    let snapshots = run.archive.read(ArchiveView::snapshots).unwrap();
    let complete = snapshots.iter().filter(|row| row.value.revision.is_some());
    complete.count()
}

/// What retention leaves can still be read at each revision from the oldest snapshot on.
#[test]
fn retention_keeps_what_it_says() {
    let folder = TempFolder::new("retention").unwrap();
    let mut run = Run::new(&folder);
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..300 {
        run.step(&mut random, &[Fault::Wipes, Fault::Kills]);
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
    run.check(&mut random).unwrap();
    // By age all but the newest go, which stays however old it is.
    let by_age = RetentionPolicy {
        max_snapshots: 100,
        max_age: 0,
    };
    prune(&run.archive, by_age, run.now + SECOND).unwrap();
    assert_eq!(complete_snapshots(&run), 1);
    run.check(&mut random).unwrap();
    let snapshots = run.archive.read(ArchiveView::snapshots).unwrap();
    assert!(
        run.segments()[0].id >= snapshots[0].value.segment,
        "older segments are gone"
    );
}

#[test]
fn failures_back_off_and_retry_after_is_respected() {
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
