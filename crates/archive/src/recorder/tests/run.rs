//! Runs of a recorder with an archive on disk against the model, with injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use salttiller_protocol::client::ClientError;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use salttiller_testkit::TempFolder;

use super::model::History;
use crate::clock::ClockReading;
use crate::database::{Archive, ArchiveView};
use crate::error::{ArchiveError, RequestError};
use crate::model::{Row, Segment};
use crate::reconstruct::{reconstruct, PointInTime};
use crate::recorder::{Action, Pacing, Phase, Recorder, ScheduledRequest};
use crate::verify::verify;

pub(super) const PACING: Pacing = Pacing {
    request_interval: 10 * MILLISECOND,
    watch_interval: 20 * MILLISECOND,
    snapshot_interval: 2 * SECOND,
};

/// Number of revisions whose changes the model retains without `Fault::EarlyCompaction`: more
/// than a run has.
const RETAINED_REVISIONS: u64 = 10_000;
/// Number of requests after which a recorder has caught up once there are no faults.
const REQUESTS_TO_CATCH_UP: u32 = 40;
/// Maximum number of revisions by which a restored backup is older than the store.
const MAX_ROLLBACK: u64 = 30;

/// Kinds of faults in a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Fault {
    /// Some requests fail.
    RequestFailures,
    /// The recording process is killed and restarted.
    Restarts,
    /// The state service retains only few changes.
    EarlyCompaction,
    /// The state service loses all records.
    Wipes,
    /// The state service is restored from an older backup and then receives further changes.
    RestoredBackups,
    /// The state service is restored from an older backup without a failing request.
    SilentReplacement,
}

pub(super) const ALL_FAULTS: [Fault; 6] = [
    Fault::RequestFailures,
    Fault::Restarts,
    Fault::EarlyCompaction,
    Fault::Wipes,
    Fault::RestoredBackups,
    Fault::SilentReplacement,
];

/// Faults that replace the state service's history.
const REPLACEMENTS: [Fault; 3] = [
    Fault::Wipes,
    Fault::RestoredBackups,
    Fault::SilentReplacement,
];

pub(super) fn request_failure() -> RequestError {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    ClientError::Timeout { address }.into()
}

/// Returns the same reading for both clocks.
pub(super) fn clock_at(now: Micros) -> ClockReading {
    ClockReading {
        monotonic: now,
        wall_clock: now,
    }
}

pub(super) struct Run {
    pub(super) archive: Archive,
    pub(super) recorder: Recorder,
    pub(super) history: History,
    pub(super) now: Micros,
    retained_revisions: u64,
    /// The history that each segment records, including changes made after the segment began.
    history_of_segment: BTreeMap<u64, History>,
    /// Whether the next request fails.
    interrupted: bool,
    replacements: u32,
    /// Whether the store was replaced silently and the recorder has not compared the history
    /// since. The recorder can't distinguish two replacements without a comparison between them.
    undetected_replacement: bool,
}

impl Run {
    pub(super) fn new(folder: &TempFolder) -> Self {
        Run {
            archive: Archive::open_or_create(&folder.file("model.archive"), "model")
                .and_then(Archive::keep_open)
                .unwrap(),
            recorder: Recorder::new(PACING, 0),
            history: History::default(),
            now: 0,
            retained_revisions: RETAINED_REVISIONS,
            history_of_segment: BTreeMap::new(),
            interrupted: false,
            replacements: 0,
            undetected_replacement: false,
        }
    }

    pub(super) fn segments(&self) -> Vec<Row<Segment>> {
        self.archive.read(ArchiveView::segments).unwrap()
    }

    /// Restarts the recording process.
    fn restart(&mut self) {
        self.archive.delete_incomplete_snapshot().unwrap();
        self.recorder = self
            .archive
            .read(|view| match view.segments()?.pop() {
                None => Ok(Recorder::new(PACING, self.now)),
                Some(segment) => {
                    let recent = view.recent_changes(&segment)?;
                    Ok(Recorder::resume(PACING, &segment.value, recent))
                }
            })
            .unwrap();
    }

    /// Replaces the state service's history and adds changes to the new history.
    fn replace_history(&mut self, random: &mut fastrand::Rng, fault: Fault) {
        self.replacements += 1;
        if fault == Fault::Wipes {
            self.history = History::default();
        } else {
            let back = random.u64(0..=self.history.revision.min(MAX_ROLLBACK));
            self.history = self.history.backup_at(self.history.revision - back);
        }
        let before = std::mem::replace(&mut self.history.lineage, self.replacements);
        // If the archive ends before the backup's revision, the new history continues the segment.
        let phase = &self.recorder.phase;
        let has_segment = matches!(phase, Phase::VerifyingHistory | Phase::Recording);
        if has_segment && self.recorder.history.cursor() <= self.history.revision {
            if let Some(mut last) = self.history_of_segment.last_entry() {
                if last.get().lineage == before {
                    last.get_mut().lineage = self.history.lineage;
                }
            }
        }
        let changes = random.u8(0..60);
        self.history.change_times(changes, random);
        // A replaced state service is another process, so open connections break unless the
        // replacement is silent.
        self.undetected_replacement = fault == Fault::SilentReplacement;
        self.interrupted = !self.undetected_replacement;
    }

    /// Makes some changes, injects faults, answers one request and applies the resulting actions.
    pub(super) fn step(&mut self, random: &mut fastrand::Rng, faults: &[Fault]) {
        let changes = random.u8(0..3);
        self.history.change_times(changes, random);
        self.inject_faults(random, faults);
        let ScheduledRequest {
            not_before,
            request,
        } = self.recorder.next_request(self.now);
        self.now = self.now.max(not_before) + random.u64(0..100 * MILLISECOND);
        let may_fail = faults.contains(&Fault::RequestFailures);
        let fails = self.interrupted || (may_fail && random.u8(0..6) == 0);
        self.interrupted = false;
        let answer = if fails {
            Err(request_failure())
        } else {
            Ok(self.history.answer(&request, self.retained_revisions))
        };
        let clock = clock_at(self.now);
        let actions = self.recorder.on_answer(&request, answer, clock);
        self.archive.apply(&actions, self.now).unwrap();
        self.track_segment_histories(&actions);
    }

    fn inject_faults(&mut self, random: &mut fastrand::Rng, faults: &[Fault]) {
        if faults.contains(&Fault::EarlyCompaction) {
            self.retained_revisions = random.u64(8..80);
        }
        if faults.contains(&Fault::Restarts) && random.u8(0..12) == 0 {
            self.restart();
        }
        for fault in REPLACEMENTS {
            let silent = fault == Fault::SilentReplacement;
            // A replacement without a broken connection can't be detected while pages of a
            // snapshot are ahead of the archived changes.
            let snapshot = self.recorder.snapshot.as_ref();
            let cursor = self.recorder.history.cursor();
            let ahead = snapshot.is_some_and(|s| s.last_page_revision() > cursor);
            let undetectable = self.undetected_replacement || (silent && ahead);
            if faults.contains(&fault) && !undetectable && random.u8(0..25) == 0 {
                self.replace_history(random, fault);
            }
        }
    }

    /// Tracks the history that each segment records.
    fn track_segment_histories(&mut self, actions: &[Action]) {
        let compares = |a: &Action| matches!(a, Action::MarkVerified(_) | Action::EndSegment(_));
        if actions.iter().any(compares) {
            self.undetected_replacement = false;
        }
        let begins = |a: &Action| matches!(a, Action::BeginSegment { .. });
        if actions.iter().any(begins) {
            let id = self.segments().last().unwrap().id;
            self.history_of_segment.insert(id, self.history.clone());
        }
        if let Some(mut last) = self.history_of_segment.last_entry() {
            if last.get().lineage == self.history.lineage {
                last.insert(self.history.clone());
            }
        }
    }

    /// Lets the recorder catch up without faults, verifies the archive and compares the archived
    /// records at each revision with the model. Returns the number of revisions compared.
    pub(super) fn check_archive(&mut self, random: &mut fastrand::Rng) -> Result<u64, String> {
        self.retained_revisions = RETAINED_REVISIONS;
        self.restart();
        for _ in 0..REQUESTS_TO_CATCH_UP {
            self.step(random, &[]);
        }
        verify(&self.archive).map_err(|e| e.to_string())?;
        let mut compared = 0;
        for segment in self.segments() {
            let id = segment.id;
            let snapshots = self.archive.read(|view| view.complete_snapshots(id));
            let snapshots = snapshots.unwrap();
            let Some(first) = snapshots.first() else {
                continue;
            };
            let revisions = first.revision..=segment.value.until;
            compared += revisions.clone().count() as u64;
            let wrong = self
                .archive
                .read(|view| self.first_difference(view, id, revisions));
            if let Some(revision) = wrong.unwrap() {
                return Err(format!("segment {id} differs at revision {revision}"));
            }
        }
        Ok(compared)
    }

    fn first_difference(
        &self,
        view: &ArchiveView,
        segment: u64,
        revisions: RangeInclusive<u64>,
    ) -> Result<Option<u64>, ArchiveError> {
        let history = &self.history_of_segment[&segment];
        for revision in revisions {
            let point = PointInTime {
                segment: Some(segment),
                revision: Some(revision),
            };
            if history.records_at(revision) != reconstruct(view, point)?.records {
                return Ok(Some(revision));
            }
        }
        Ok(None)
    }
}

/// Executes a run with faults. Returns the number of revisions compared with the model.
pub(super) fn run_with_faults(seed: u64, faults: &[Fault], steps: u32) -> Result<u64, String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let thread = std::thread::current();
    let test = thread.name().unwrap_or("t").replace(':', "-");
    let folder = TempFolder::new(&format!("{test}-{seed}")).unwrap();
    let mut run = Run::new(&folder);
    let changes = random.u8(5..40);
    run.history.change_times(changes, &mut random);
    for _ in 0..steps {
        run.step(&mut random, faults);
    }
    run.check_archive(&mut random)
}
