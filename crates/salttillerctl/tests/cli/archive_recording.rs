//! Tests of `archive run`: the archive's content after faults, and the recorder's request rate.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use salttiller_testkit::state_service::{Contents, RequestFault};
use salttiller_testkit::PlatformSettings;
use serde_json::json;

use crate::common::{succeed, wait_for};
use crate::deployment::{records_of, Deployment};

/// Time within which a recorder must detect an event.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against gaps and wrong records when the recorder is killed: after repeated kills at
/// random times, the archive has one segment, and each revision can be exported as it was.
#[test]
fn killed_recorder_continues_without_a_gap() {
    let deployment = Deployment::new("kills", 300);
    deployment.service.keep_history();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| deployment.commit_changes_until(&stop, 1));
        let mut random = fastrand::Rng::with_seed(2);
        for _ in 0..12 {
            let recorder = deployment.start_recording();
            thread::sleep(Duration::from_millis(random.u64(50..700)));
            recorder.kill();
        }
        let recorder = deployment.start_recording();
        thread::sleep(Duration::from_millis(2500));
        recorder.kill();
        stop.store(true, Ordering::Relaxed);
    });
    deployment.verify();
    let list = deployment.list();
    assert_eq!(list.segments.len(), 1, "{list:?}");
    let snapshots = deployment.snapshot_revisions();
    assert!(snapshots.len() >= 2, "{list:?}");
    let first = snapshots[0];
    let last = deployment.export(None, None).revision;
    assert!(last > first + 100, "{first} to {last}");
    for revision in (first..=last).step_by(((last - first) / 20) as usize) {
        let kept = records_of(deployment.export(Some(revision), None));
        let truth = deployment.service.records_at(revision).unwrap();
        assert!(kept == truth, "revision {revision} differs");
    }
}

/// Waits until the archive has a number of segments, and the last segment has a snapshot and
/// covers a revision.
fn wait_for_segment(deployment: &Deployment, what: &str, segments: usize, revision: u64) {
    wait_for(what, DETECTION_TIMEOUT, || {
        let list = deployment.list().segments;
        let last = list.last().unwrap();
        list.len() == segments && last.until_revision >= revision && !last.snapshots.is_empty()
    });
}

/// Replaces the store's contents and commits changes. Requests get no response meanwhile, as if
/// the store were being restarted.
fn restore(deployment: &Deployment, contents: Contents, changes: u32) {
    let service = &deployment.service;
    service.inject_fault(Some(RequestFault::NoResponse));
    service.restore(contents);
    for n in 0..changes {
        service.commit(&[("st/job/req-7", Some(json!({"other": n})))]);
    }
    service.inject_fault(None);
}

/// Guards against mixing two histories when the store is wiped, or is restored from an older backup
/// and has grown past the archive since. Each replacement must start a new segment with its cause,
/// and the replaced history must stay readable to its end.
#[test]
fn replaced_history_ends_the_segment_and_stays_readable() {
    let deployment = Deployment::new("lost", 200);
    let recorder = deployment.start_recording();
    deployment.wait_for_snapshot();
    let backup = deployment.service.contents();
    deployment.commit_jobs(50);
    let lost = deployment.service.contents();
    wait_for_segment(&deployment, "all changes", 1, lost.revision);
    restore(&deployment, backup, 120);
    let other = deployment.service.contents();
    assert!(other.revision > lost.revision);
    wait_for_segment(&deployment, "the restored backup", 2, other.revision);
    restore(&deployment, Contents::default(), 0);
    wait_for_segment(&deployment, "the wipe", 3, 0);
    recorder.kill();
    deployment.verify();
    let segments = deployment.list().segments;
    let causes: Vec<&str> = segments.iter().map(|s| s.gap.cause.as_str()).collect();
    let expected = [
        "first recording",
        "the state service shows another history",
        "the revision went back to 0",
    ];
    assert_eq!(causes, expected);
    for (segment, contents) in [(1, lost), (2, other)] {
        let export = deployment.export(None, Some(segment));
        assert!(
            records_of(export) == contents.records,
            "segment {segment} differs"
        );
    }
}

/// Guards against a gap after a short outage, and against a missing gap when the state service no
/// longer retains the changes that the recorder requests.
#[test]
fn compacted_changes_cause_a_gap_but_an_outage_does_not() {
    let deployment = Deployment::new("outage", 100);
    let service = &deployment.service;
    let recorder = deployment.start_recording();
    deployment.wait_for_snapshot();
    for fault in [
        RequestFault::Status(503),
        RequestFault::Status(429),
        RequestFault::NoResponse,
    ] {
        service.inject_fault(Some(fault));
        thread::sleep(Duration::from_millis(1500));
        deployment.commit_jobs(30);
        service.inject_fault(None);
        let revision = service.revision();
        wait_for("the changes after an outage", DETECTION_TIMEOUT, || {
            deployment.list().segments[0].until_revision >= revision
        });
    }
    assert_eq!(deployment.list().segments.len(), 1);
    service.inject_fault(Some(RequestFault::Status(503)));
    thread::sleep(Duration::from_millis(300));
    service.set_retained_changes(10);
    deployment.commit_jobs(30);
    service.inject_fault(None);
    wait_for("the gap", DETECTION_TIMEOUT, || {
        deployment.list().segments.len() == 2
    });
    recorder.kill();
    let segments = deployment.list().segments;
    let cause = "the state service no longer kept the changes";
    assert_eq!(segments[1].gap.cause, cause, "{segments:?}");
    deployment.verify();
}

/// Time window for the request rate. Within any window of this length, the recorder may send its
/// share of requests and one request at the start.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Guards against a recorder that exceeds its share of the state service's request rate.
#[test]
fn request_rate_stays_within_the_share() {
    let deployment = Deployment::new("share", 8000);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| deployment.commit_changes_until(&stop, 3));
        let ini = "[archive]\nrequest_share = 0.02\nwatch_s = 0.05\n";
        succeed(deployment.run_command(ini).args(["--max-s", "6"]));
        stop.store(true, Ordering::Relaxed);
    });
    let times = deployment.service.request_times();
    let share = PlatformSettings::REQUESTS_PER_SECOND * 0.02;
    let max_requests = RATE_WINDOW.as_secs_f64() * share + 1.0;
    assert!(times.len() > 8, "only {} requests", times.len());
    for (n, start) in times.iter().enumerate() {
        let is_within = |time: &&Instant| **time < *start + RATE_WINDOW;
        let within = times[n..].iter().take_while(is_within);
        assert!(
            within.count() as f64 <= max_requests,
            "more than {max_requests} requests in 2 s"
        );
    }
}
