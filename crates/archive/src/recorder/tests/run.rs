//! A recorder with an archive on disk, played against the model with faults.

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

/// Revisions whose changes the model keeps unless a fault makes it forget: all.
const KEPT_REVISIONS: u64 = 10_000;
/// Requests in which a recorder comes to rest once there are no faults.
const REQUESTS_TO_REST: u32 = 40;
/// How far a store is set back to an older copy at most, in revisions.
const MAX_ROLLBACK: u64 = 30;

/// What happens in a run, besides changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Fault {
    /// Requests fail now and then.
    Failures,
    /// The recording process is killed and started again.
    Kills,
    /// The state service forgets changes soon.
    EarlyCompaction,
    /// The state service loses its records.
    Wipes,
    /// The state service is set back to an older copy, and grows on.
    OlderCopies,
    /// The same with no request failing meanwhile.
    SilentReplacement,
}

pub(super) const ALL_FAULTS: [Fault; 6] = [
    Fault::Failures,
    Fault::Kills,
    Fault::EarlyCompaction,
    Fault::Wipes,
    Fault::OlderCopies,
    Fault::SilentReplacement,
];

/// Faults that replace the state service's history.
const REPLACEMENTS: [Fault; 3] = [Fault::Wipes, Fault::OlderCopies, Fault::SilentReplacement];

pub(super) fn request_failure() -> RequestError {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    ClientError::Timeout { address }.into()
}

/// Both clocks at the same reading.
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
    kept_revisions: u64,
    /// The history that was in force when a segment began, grown on while it is in force.
    history_of_segment: BTreeMap<u64, History>,
    /// The next request fails.
    interrupted: bool,
    replacements: u32,
    /// The store was replaced silently and the recorder has not compared since. A second
    /// replacement before it does is beyond what can be told apart.
    silent_pending: bool,
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
            kept_revisions: KEPT_REVISIONS,
            history_of_segment: BTreeMap::new(),
            interrupted: false,
            replacements: 0,
            silent_pending: false,
        }
    }

    pub(super) fn segments(&self) -> Vec<Row<Segment>> {
        self.archive.read(ArchiveView::segments).unwrap()
    }

    /// Starts the recording process again.
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

    /// Replaces the state service's history, which then grows on.
    fn replace(&mut self, random: &mut fastrand::Rng, fault: Fault) {
        self.replacements += 1;
        if fault == Fault::Wipes {
            self.history = History::default();
        } else {
            let back = random.u64(0..=self.history.revision.min(MAX_ROLLBACK));
            self.history = self.history.earlier(self.history.revision - back);
        }
        let before = std::mem::replace(&mut self.history.lineage, self.replacements);
        // To an archive that is further behind than the copy it is the same history still.
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
        // A replaced state service is another process: its connections broke.
        self.silent_pending = fault == Fault::SilentReplacement;
        self.interrupted = !self.silent_pending;
    }

    /// Some changes and faults, one request, and what follows from its answer.
    pub(super) fn step(&mut self, random: &mut fastrand::Rng, faults: &[Fault]) {
        let changes = random.u8(0..3);
        self.history.change_times(changes, random);
        self.inject_faults(random, faults);
        let ScheduledRequest {
            not_before,
            request,
        } = self.recorder.next_request(self.now);
        self.now = self.now.max(not_before) + random.u64(0..100 * MILLISECOND);
        let may_fail = faults.contains(&Fault::Failures);
        let fails = self.interrupted || (may_fail && random.u8(0..6) == 0);
        self.interrupted = false;
        let answer = if fails {
            Err(request_failure())
        } else {
            Ok(self.history.answer(&request, self.kept_revisions))
        };
        let clock = clock_at(self.now);
        let actions = self.recorder.on_answer(&request, answer, clock);
        self.archive.apply(&actions, self.now).unwrap();
        self.follow_segments(&actions);
    }

    fn inject_faults(&mut self, random: &mut fastrand::Rng, faults: &[Fault]) {
        if faults.contains(&Fault::EarlyCompaction) {
            self.kept_revisions = random.u64(8..80);
        }
        if faults.contains(&Fault::Kills) && random.u8(0..12) == 0 {
            self.restart();
        }
        for fault in REPLACEMENTS {
            let silent = fault == Fault::SilentReplacement;
            // Without a broken connection that can't be noticed while pages are ahead.
            let snapshot = self.recorder.snapshot.as_ref();
            let cursor = self.recorder.history.cursor();
            let ahead = snapshot.is_some_and(|s| s.last_page_revision() > cursor);
            let unnoticeable = self.silent_pending || (silent && ahead);
            if faults.contains(&fault) && !unnoticeable && random.u8(0..25) == 0 {
                self.replace(random, fault);
            }
        }
    }

    /// Keeps track of the history that each segment records.
    fn follow_segments(&mut self, actions: &[Action]) {
        let compares = |a: &Action| matches!(a, Action::MarkVerified(_) | Action::EndSegment(_));
        if actions.iter().any(compares) {
            self.silent_pending = false;
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

    /// Lets the recorder come to rest without faults, then compares all that is archived with
    /// the truth; the number of revisions compared.
    pub(super) fn check(&mut self, random: &mut fastrand::Rng) -> Result<u64, String> {
        self.kept_revisions = KEPT_REVISIONS;
        self.restart();
        for _ in 0..REQUESTS_TO_REST {
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
            if history.truth_at(revision) != reconstruct(view, point)?.records {
                return Ok(Some(revision));
            }
        }
        Ok(None)
    }
}

/// Plays one run; the number of revisions that were compared with the truth.
pub(super) fn play(seed: u64, faults: &[Fault], steps: u32) -> Result<u64, String> {
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
    run.check(&mut random)
}
