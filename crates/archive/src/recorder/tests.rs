//! Tests of the recorder with an archive on disk against a model of the state service, whose
//! truth is known at each revision.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::{json, Value};

use super::*;
use crate::database::{Archive, View};
use crate::error::ArchiveError;
use crate::fault_injection::leave_out;
use crate::reconstruct::{at, Moment, State};
use crate::retention::{prune, Retention};
use crate::verify::verify;
use salttiller_protocol::state_service::{Event, Pair};

const PACE: Pace = Pace {
    request_gap: 10 * MILLISECOND,
    watch_gap: 20 * MILLISECOND,
    image_every: 2 * SECOND,
};

/// Records of the model in a page; few, so that images take many.
const MODEL_PAGE: usize = 3;

/// One history of the state service: what was true at each revision.
#[derive(Clone, Default)]
struct History {
    /// Tells one history from another.
    lineage: u32,
    revision: u64,
    log: Vec<Event>,
    truth: BTreeMap<u64, BTreeMap<String, (u64, Value)>>,
}

impl History {
    fn records(&self) -> BTreeMap<String, (u64, Value)> {
        let last = self.truth.last_key_value();
        last.map(|(_, records)| records.clone()).unwrap_or_default()
    }

    fn change(&mut self, random: &mut fastrand::Rng) {
        self.revision += 1;
        let mut records = self.records();
        for _ in 0..random.u8(1..4) {
            let key = format!("{PREFIX}job/req-{}", random.u8(0..12));
            let mut event = Event {
                put: None,
                delete: None,
                value: None,
                version: self.revision,
            };
            if random.u8(0..4) == 0 {
                if records.remove(&key).is_none() {
                    continue;
                }
                event.delete = Some(key);
            } else {
                let value = json!({"n": random.u32(..)});
                records.insert(key.clone(), (self.revision, value.clone()));
                event.put = Some(key);
                event.value = Some(value);
            }
            self.log.retain(|e| {
                let of = |e: &Event| e.put.clone().or(e.delete.clone());
                e.version != self.revision || of(e) != of(&event)
            });
            self.log.push(event);
        }
        self.truth.insert(self.revision, records);
    }

    fn answer(&self, request: &Request, kept: usize) -> Answer {
        match request {
            Request::Revision | Request::Page { .. } => {
                let records = self.records();
                let after = match request {
                    Request::Page { after: Some(after) } => after.clone(),
                    _ => String::new(),
                };
                let mut rest = records.iter().filter(|(k, _)| **k > after);
                let pairs: Vec<Pair> = rest
                    .by_ref()
                    .take(MODEL_PAGE)
                    .map(|(k, (version, value))| Pair {
                        key: k.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                Answer::Page(Page {
                    pairs,
                    more: rest.next().is_some(),
                    revision: self.revision,
                })
            }
            Request::Watch { from, .. } => {
                let oldest = self.revision.saturating_sub(kept as u64);
                if *from < oldest {
                    return Answer::NotKept;
                }
                let events = self.log.iter().filter(|e| e.version > *from);
                Answer::Changes(Changes {
                    revision: self.revision,
                    events: events.cloned().collect(),
                })
            }
        }
    }

    /// What it was like at an earlier revision, as a backup would have it.
    fn earlier(&self, revision: u64) -> History {
        let mut copy = self.clone();
        copy.revision = revision;
        copy.log.retain(|e| e.version <= revision);
        copy.truth.retain(|r, _| *r <= revision);
        copy
    }
}

/// A file of a test, gone when the test ends.
pub(crate) struct Scratch(pub PathBuf);

impl Scratch {
    pub(crate) fn new(name: &str) -> Self {
        let file = format!("salttiller-{}-{name}.archive", std::process::id());
        let path = std::env::temp_dir().join(file);
        let _ = std::fs::remove_file(&path);
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// What happens in a run, besides changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Trouble {
    /// Requests fail now and then.
    Failures,
    /// The recording process is killed and started again.
    Kills,
    /// The state service forgets changes soon.
    ShortMemory,
    /// The state service loses its records.
    Wipes,
    /// The state service is set back to an older copy, and grows on.
    OlderCopies,
    /// The same with no request failing meanwhile.
    SilentReplacement,
}

const ALL: [Trouble; 6] = [
    Trouble::Failures,
    Trouble::Kills,
    Trouble::ShortMemory,
    Trouble::Wipes,
    Trouble::OlderCopies,
    Trouble::SilentReplacement,
];

struct Run {
    archive: Archive,
    recorder: Recorder,
    history: History,
    kept: usize,
    now: Micros,
    /// The history that was in force when a segment began.
    begun_in: BTreeMap<u64, History>,
    interrupted: bool,
    replacements: u32,
    /// The store was replaced silently and the recorder has not compared since. A second
    /// replacement before it does is beyond what can be told apart.
    silent_pending: bool,
}

impl Run {
    fn new(scratch: &Scratch) -> Self {
        Run {
            archive: Archive::open_or_create(&scratch.0, "model")
                .and_then(Archive::hold)
                .unwrap(),
            recorder: Recorder::first(PACE, 0),
            history: History::default(),
            kept: 10_000,
            now: 0,
            begun_in: BTreeMap::new(),
            interrupted: false,
            replacements: 0,
            silent_pending: false,
        }
    }

    fn restart(&mut self) {
        self.archive.drop_incomplete_image().unwrap();
        self.recorder = self
            .archive
            .read(|view| match view.segments()?.pop() {
                None => Ok(Recorder::first(PACE, self.now)),
                Some((id, segment)) => {
                    let recent = view.recent_changes(id, &segment)?;
                    Ok(Recorder::resumed(PACE, &segment, recent))
                }
            })
            .unwrap();
    }

    fn replace(&mut self, random: &mut fastrand::Rng, trouble: Trouble) {
        self.replacements += 1;
        if trouble == Trouble::Wipes {
            self.history = History::default();
        } else {
            let back = random.u64(0..=self.history.revision.min(30));
            self.history = self.history.earlier(self.history.revision - back);
        }
        let before = std::mem::replace(&mut self.history.lineage, self.replacements);
        // To an archive that is further behind than the copy it is the same history still.
        let recording = matches!(self.recorder.phase, Phase::Comparing | Phase::Recording);
        if recording && self.recorder.cursor <= self.history.revision {
            if let Some(mut last) = self.begun_in.last_entry() {
                if last.get().lineage == before {
                    last.get_mut().lineage = self.history.lineage;
                }
            }
        }
        for _ in 0..random.u8(0..60) {
            self.history.change(random);
        }
        // A replaced state service is another process: its connections broke.
        self.silent_pending = trouble == Trouble::SilentReplacement;
        self.interrupted = !self.silent_pending;
    }

    fn step(&mut self, random: &mut fastrand::Rng, troubles: &[Trouble]) {
        let has = |t: Trouble| troubles.contains(&t);
        for _ in 0..random.u8(0..3) {
            self.history.change(random);
        }
        if has(Trouble::ShortMemory) {
            self.kept = random.usize(8..80);
        }
        if has(Trouble::Kills) && random.u8(0..12) == 0 {
            self.restart();
        }
        for t in [
            Trouble::Wipes,
            Trouble::OlderCopies,
            Trouble::SilentReplacement,
        ] {
            let silent = t == Trouble::SilentReplacement;
            // Without a broken connection that can't be noticed while pages are ahead.
            let ahead = self.recorder.reading.as_ref();
            let ahead = ahead.is_some_and(|r| r.last_page > self.recorder.cursor);
            if has(t) && !self.silent_pending && !(silent && ahead) && random.u8(0..25) == 0 {
                self.replace(random, t);
            }
        }
        let (due, request) = self.recorder.next(self.now);
        self.now = self.now.max(due) + random.u64(0..100 * MILLISECOND);
        let fails = self.interrupted || (has(Trouble::Failures) && random.u8(0..6) == 0);
        self.interrupted = false;
        let answer = if fails {
            Answer::Failed("trouble".into())
        } else {
            self.history.answer(&request, self.kept)
        };
        let actions = self
            .recorder
            .on_answer(&request, answer, self.now, self.now);
        self.archive.apply(&actions, self.now).unwrap();
        let compared = |a: &Action| matches!(a, Action::Verified(_) | Action::EndSegment(_));
        if actions.iter().any(compared) {
            self.silent_pending = false;
        }
        if actions
            .iter()
            .any(|a| matches!(a, Action::BeginSegment { .. }))
        {
            let segments = self.archive.read(|v| v.segments()).unwrap();
            let id = segments.last().unwrap().0;
            self.begun_in.insert(id, self.history.clone());
        }
        // The history that a segment began in grows on while it is in force.
        if let Some(mut last) = self.begun_in.last_entry() {
            if last.get().lineage == self.history.lineage {
                last.insert(self.history.clone());
            }
        }
    }

    /// Lets the recorder come to rest without trouble, then compares all that is kept.
    fn check(&mut self, random: &mut fastrand::Rng) -> Result<u64, String> {
        self.kept = 10_000;
        self.restart();
        for _ in 0..40 {
            self.step(random, &[]);
        }
        verify(&self.archive).map_err(|e| e.to_string())?;
        let archive = &self.archive;
        let mut compared = 0;
        let segments = archive.read(|view| view.segments()).unwrap();
        for (id, segment) in &segments {
            let images = archive.read(|view| view.complete_images(*id)).unwrap();
            let Some((_, first, _)) = images.first() else {
                continue;
            };
            let revisions = *first..=segment.until;
            compared += revisions.clone().count() as u64;
            let wrong = archive.read(|view| self.first_difference(view, *id, revisions));
            if let Some(revision) = wrong.unwrap() {
                return Err(format!("segment {id} differs at revision {revision}"));
            }
        }
        Ok(compared)
    }

    fn first_difference(
        &self,
        view: &View,
        segment: u64,
        revisions: std::ops::RangeInclusive<u64>,
    ) -> Result<Option<u64>, ArchiveError> {
        for revision in revisions {
            let moment = Moment {
                segment: Some(segment),
                revision: Some(revision),
            };
            let kept = at(view, moment)?;
            let truth = self.begun_in[&segment].truth.range(..=revision).next_back();
            let truth = truth.map(|(_, records)| state_of(records));
            if truth.unwrap_or_default() != kept.state {
                return Ok(Some(revision));
            }
        }
        Ok(None)
    }
}

fn state_of(records: &BTreeMap<String, (u64, Value)>) -> State {
    records
        .iter()
        .map(|(k, (version, value))| (k.clone(), StoredRecord::new(*version, value)))
        .collect()
}

/// Plays one run; the number of revisions that were compared with the truth.
fn play(seed: u64, troubles: &[Trouble], steps: u32) -> Result<u64, String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let thread = std::thread::current();
    let scratch = Scratch::new(&format!(
        "{}-{seed}",
        thread.name().unwrap_or("t").replace(':', "-")
    ));
    let mut run = Run::new(&scratch);
    for _ in 0..random.u8(5..40) {
        run.history.change(&mut random);
    }
    for _ in 0..steps {
        run.step(&mut random, troubles);
    }
    run.check(&mut random)
}

#[test]
fn whatever_happens_the_archive_holds_the_truth_or_says_that_it_has_a_gap() {
    for trouble in ALL {
        let mut compared = 0;
        for seed in 0..8 {
            compared += play(seed, &[trouble], 120)
                .unwrap_or_else(|e| panic!("{trouble:?}, seed {seed}: {e}"));
        }
        assert!(compared > 100, "{trouble:?}: only {compared} compared");
    }
    for seed in 100..130 {
        play(seed, &ALL, 150).unwrap_or_else(|e| panic!("all troubles, seed {seed}: {e}"));
    }
}

/// Replaced with no connection breaking, and noticed only by a comparison: what came before
/// that is kept to its last change, though it was never compared.
#[test]
fn a_silent_replacement_costs_nothing_that_was_recorded_before() {
    let scratch = Scratch::new("silent");
    let mut run = Run::new(&scratch);
    let mut random = fastrand::Rng::with_seed(11);
    (0..20).for_each(|_| run.history.change(&mut random));
    while run.recorder.images_completed() == 0 {
        run.step(&mut random, &[]);
    }
    run.recorder.schedule_image(u64::MAX);
    let backup = run.history.clone();
    while run.recorder.cursor < backup.revision + 10 {
        run.step(&mut random, &[]);
    }
    let (lost, verified) = (run.recorder.cursor, run.recorder.verified);
    assert!(verified < lost);
    let truth = state_of(run.history.truth.range(..=lost).next_back().unwrap().1);
    run.history = backup;
    run.history.lineage = 1;
    while run.history.revision < lost + 30 {
        run.history.change(&mut random);
    }
    while run.archive.read(|v| v.segments()).unwrap().len() == 1 {
        run.step(&mut random, &[]);
    }
    let first = Moment {
        segment: Some(1),
        revision: None,
    };
    let kept = run.archive.read(|view| at(view, first)).unwrap();
    assert_eq!(kept.revision, lost);
    assert!(kept.state == truth);
}

/// Each guard, left out, is noticed by the runs above or by one like them.
#[test]
fn without_its_guard_an_archive_is_wrong() {
    use crate::fault_injection::Guard;
    let cases = [
        (Guard::HistoryComparison, Trouble::OlderCopies),
        (Guard::RevisionOrder, Trouble::Wipes),
        (Guard::DoubtfulChanges, Trouble::SilentReplacement),
        (Guard::ImageChanges, Trouble::Failures),
        (Guard::Context, Trouble::OlderCopies),
        (Guard::PagesAhead, Trouble::OlderCopies),
    ];
    for (guard, trouble) in cases {
        leave_out(Some(guard));
        let noticed = (0..100).any(|seed| {
            let run = || play(seed, &[trouble], 80);
            // Without a guard the archive may also refuse what contradicts it.
            std::panic::catch_unwind(run).map_or(true, |r| r.is_err())
        });
        leave_out(None);
        assert!(noticed, "{guard:?} left out went unnoticed");
    }
}

#[test]
fn an_undisturbed_recording_is_one_segment() {
    let scratch = Scratch::new("undisturbed");
    let mut run = Run::new(&scratch);
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        run.step(&mut random, &[Trouble::Kills, Trouble::Failures]);
    }
    run.check(&mut random).unwrap();
    let segments = run.archive.read(|v| v.segments()).unwrap();
    assert_eq!(segments.len(), 1);
    assert_eq!(segments[0].1.gap.cause, GapCause::FirstRecording);
    let images = run.archive.read(|v| v.complete_images(1)).unwrap();
    assert!(images.len() > 2, "{} images", images.len());
}

/// What retention leaves can still be read at each revision from the oldest image on.
#[test]
fn retention_keeps_what_it_says() {
    let scratch = Scratch::new("retention");
    let mut run = Run::new(&scratch);
    let mut random = fastrand::Rng::with_seed(3);
    let troubles = [Trouble::Wipes, Trouble::Kills];
    for _ in 0..300 {
        run.step(&mut random, &troubles);
    }
    let count = |run: &Run| {
        let images = run.archive.read(|v| v.images()).unwrap();
        images.iter().filter(|(_, i)| i.revision.is_some()).count()
    };
    let before = count(&run);
    assert!(before > 5);
    let keep = |images, age| Retention { images, age };
    let dropped = prune(&run.archive, keep(3, u64::MAX), run.now).unwrap();
    assert_eq!((dropped.images, count(&run)), (before - 3, 3));
    run.check(&mut random).unwrap();
    // By age all but the newest go, which stays however old it is.
    prune(&run.archive, keep(100, 0), run.now + SECOND).unwrap();
    assert_eq!(count(&run), 1);
    run.check(&mut random).unwrap();
    let segments = run.archive.read(|v| v.segments()).unwrap();
    let images = run.archive.read(|v| v.images()).unwrap();
    assert!(
        segments[0].0 >= images[0].1.segment,
        "older segments are gone"
    );
}

#[test]
fn failures_back_off_and_retry_after_is_kept() {
    let mut recorder = Recorder::first(PACE, 0);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..8 {
        let (_, request) = recorder.next(now);
        let failed = Answer::Failed("no connection".into());
        assert!(recorder.on_answer(&request, failed, now, now).is_empty());
        let (at, _) = recorder.next(now);
        waits.push(at - now);
        now = at;
    }
    assert!(waits[0] >= SECOND, "{waits:?}");
    assert!(waits[5] >= 30 * SECOND, "{waits:?}");
    assert!(waits.iter().all(|w| *w <= 38 * SECOND), "{waits:?}");
    let (_, request) = recorder.next(now);
    let refused = Answer::Refused {
        retry_after: Some(60 * SECOND),
        status: 429,
    };
    recorder.on_answer(&request, refused, now, now);
    assert!(recorder.next(now).0 >= now + 60 * SECOND);
}

#[test]
fn answers_that_make_no_sense_change_nothing() {
    let mut recorder = Recorder::first(PACE, 0);
    let mut history = History::default();
    let mut random = fastrand::Rng::with_seed(1);
    (0..5).for_each(|_| history.change(&mut random));
    let mut now = 0;
    while recorder.images_completed() == 0 {
        let (at, request) = recorder.next(now);
        now = at.max(now);
        recorder.on_answer(&request, history.answer(&request, 100), now, now);
    }
    let event = |put: Option<&str>, delete: Option<&str>, version| Event {
        put: put.map(str::to_owned),
        delete: delete.map(str::to_owned),
        value: put.map(|_| json!(1)),
        version,
    };
    for bad in [
        event(None, None, 6),
        event(Some("st/a"), Some("st/a"), 6),
        event(Some("st/a"), None, 2),
        event(Some("st/a"), None, 9),
    ] {
        recorder.schedule_image(u64::MAX);
        let from = 5;
        let request = Request::Watch { from, wait: 0 };
        let answer = Answer::Changes(Changes {
            revision: 6,
            events: vec![bad.clone()],
        });
        let actions = recorder.on_answer(&request, answer, now, now);
        assert!(actions.is_empty(), "{bad:?}: {actions:?}");
    }
}
