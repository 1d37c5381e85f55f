//! What to ask the state service next, and what its answers mean for the archive.
//!
//! Answers and times go in; actions on the archive and the next request come out. Nothing
//! here does I/O, so every turn of events is a table of cases in the tests.
//!
//! Continuity rests on two guards. The revision of the store never goes back: a lower one is
//! another history. And after each interruption, and at times without one, the last changes
//! that are archived are asked for again and compared: a store that was replaced and has
//! grown past our revision since shows others.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::history::{last_whole_revisions, Fingerprint};
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use salttiller_records::PREFIX;

use crate::fault_injection::{is_left_out, Guard};
use crate::form::{from_pair, Change, ChangeBatch, Gap, GapCause, Segment, StoredRecord};

/// Records asked for in one page, the most that the state service gives.
const PAGE_RECORDS: u32 = 1000;
/// How far before a new segment its context is asked for, in revisions; less if the state
/// service doesn't keep so much.
const CONTEXT_REVISIONS: u64 = 64;
/// By how much less each time.
const CONTEXT_SHRINKS: u64 = 4;
/// While an image is read, the watch is asked once in so many requests.
const PAGES_PER_WATCH: u32 = 8;
/// How long a watch waits for news.
const WATCH_WAIT: Micros = 10 * SECOND;
/// How often the history is compared without an interruption.
const COMPARE_EVERY: Micros = 30 * SECOND;
const FIRST_BACKOFF: Micros = SECOND;
const MAX_BACKOFF: Micros = 30 * SECOND;

/// How the recorder goes about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Least time between two requests.
    pub request_gap: Micros,
    /// Least time between two questions for changes while nothing else is to do.
    pub watch_gap: Micros,
    /// Time from one image to the next.
    pub image_every: Micros,
}

/// What to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The revision that the store stands at.
    Revision,
    /// Records in the order of their keys.
    Page {
        /// After this key.
        after: Option<String>,
    },
    /// Changes after a revision.
    Watch {
        /// The revision.
        from: u64,
        /// How long to wait for one.
        wait: Micros,
    },
}

impl Request {
    /// Path and query of the request.
    pub fn target(&self) -> String {
        match self {
            Request::Revision => format!("/store?under={PREFIX}&page=1"),
            Request::Page { after: None } => format!("/store?under={PREFIX}&page={PAGE_RECORDS}"),
            Request::Page { after: Some(key) } => {
                format!("/store?under={PREFIX}&page={PAGE_RECORDS}&from={key}")
            }
            Request::Watch { from, wait } => {
                let wait = wait / MILLISECOND;
                format!("/follow?under={PREFIX}&from={from}&waitMs={wait}")
            }
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of records.
    Page(Page),
    /// Changes.
    Changes(Changes),
    /// The changes asked for are no longer kept.
    NotKept,
    /// Refused for now.
    Refused {
        /// When to come back.
        retry_after: Option<Micros>,
        /// The status, for the log.
        status: u16,
    },
    /// No answer, or one that can't be read.
    Failed(String),
}

/// What the archive has to do, in this order and all at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts a segment whose changes are complete after a revision.
    BeginSegment {
        /// What lies before it.
        gap: Gap,
        /// The revision.
        after: u64,
    },
    /// Keeps the changes just before the new segment.
    SetContext(Vec<Fingerprint>),
    /// Starts an image, dropping one that was never completed.
    BeginImage {
        /// Revision of its first page.
        first_page: u64,
    },
    /// Adds records to the image.
    AddRecords(Vec<(String, StoredRecord)>),
    /// Brings the image to this revision by the archived changes and completes it.
    CompleteImage {
        /// The revision.
        revision: u64,
    },
    /// Drops the image that is being read.
    AbandonImage,
    /// Adds changes to the segment.
    AddChanges(ChangeBatch),
    /// Drops the segment's changes after a revision: they are of another history.
    DropChangesAfter(u64),
    /// Ends the segment: whatever comes next doesn't continue it.
    EndSegment(Gap),
    /// Nothing but time has passed up to a revision.
    Reached(u64),
    /// The history was compared and is ours up to a revision.
    Verified(u64),
}

/// Where the recorder stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// No segment is open; the revision at which the next may start is asked for.
    Unanchored { gap: Gap },
    /// The changes just before the new segment are asked for. With them it begins: all that
    /// it then records must be of the history that showed them.
    ReadingContext { gap: Gap, after: u64, depth: u64 },
    /// Whether the state service still has our history is asked.
    Comparing,
    /// Changes, and at times an image, are recorded.
    Recording,
}

/// An image that is being read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reading {
    /// Where the next page begins; `None` before the first.
    after_key: Option<String>,
    /// Revision of the last page that was read.
    last_page: u64,
    /// All pages were read; what is left is a comparison that reaches `last_page`.
    pages_done: bool,
    /// Requests since the watch was asked last.
    since_watch: u32,
}

/// The recorder.
#[derive(Debug)]
pub struct Recorder {
    pace: Pace,
    phase: Phase,
    /// All changes up to this revision are archived, those after the segment's start.
    cursor: u64,
    /// Up to here the history was compared.
    verified: u64,
    last_contact: Micros,
    /// The last changes up to `verified`, and all after it.
    recent: Vec<Fingerprint>,
    reading: Option<Reading>,
    next_image: Micros,
    next_comparison: Micros,
    next_request: Micros,
    backoff: Micros,
    images_completed: u64,
}

impl Recorder {
    /// A recorder for an archive without a segment.
    pub fn first(pace: Pace, wall: Micros) -> Self {
        let gap = Gap {
            cause: GapCause::FirstRecording,
            after_revision: 0,
            last_contact: wall,
            noticed: wall,
        };
        Recorder::in_phase(pace, Phase::Unanchored { gap })
    }

    /// A recorder that goes on with an archive's last segment, whose last changes are
    /// `recent`. Whatever happened since is found out by a comparison first.
    pub fn resumed(pace: Pace, segment: &Segment, recent: Vec<Fingerprint>) -> Self {
        let phase = match &segment.ended {
            Some(gap) => Phase::Unanchored { gap: gap.clone() },
            None => Phase::Comparing,
        };
        let mut recorder = Recorder::in_phase(pace, phase);
        recorder.cursor = segment.until;
        recorder.verified = segment.verified;
        recorder.last_contact = segment.last_contact;
        recorder.recent = recent;
        recorder
    }

    fn in_phase(pace: Pace, phase: Phase) -> Self {
        Recorder {
            pace,
            phase,
            cursor: 0,
            verified: 0,
            last_contact: 0,
            recent: Vec::new(),
            reading: None,
            next_image: 0,
            next_comparison: 0,
            next_request: 0,
            backoff: 0,
            images_completed: 0,
        }
    }

    /// How many images were completed since the start.
    pub fn images_completed(&self) -> u64 {
        self.images_completed
    }

    /// Asks for an image at this time instead of the one that is due.
    pub fn schedule_image(&mut self, at: Micros) {
        self.next_image = at;
    }

    /// The next request, and the time before which it must not be sent.
    pub fn next(&mut self, now: Micros) -> (Micros, Request) {
        let request = match &self.phase {
            Phase::Unanchored { .. } => Request::Revision,
            Phase::ReadingContext { after, depth, .. } => Request::Watch {
                from: after.saturating_sub(*depth),
                wait: 0,
            },
            Phase::Comparing => self.comparison(),
            Phase::Recording => self.recording_request(now),
        };
        let waits = matches!(&request, Request::Watch { wait, .. } if *wait > 0);
        let at = if waits {
            let since_last = self.pace.watch_gap.saturating_sub(self.pace.request_gap);
            self.next_request + since_last
        } else {
            self.next_request
        };
        (at, request)
    }

    fn comparison(&self) -> Request {
        let from = match self.recent.first() {
            Some(oldest) => oldest.version.saturating_sub(1),
            None => self.cursor,
        };
        Request::Watch { from, wait: 0 }
    }

    fn recording_request(&mut self, now: Micros) -> Request {
        if self.reading.is_none() && now >= self.next_image {
            self.reading = Some(Reading {
                after_key: None,
                last_page: 0,
                pages_done: false,
                since_watch: 0,
            });
        }
        let Some(reading) = &mut self.reading else {
            if now >= self.next_comparison {
                self.phase = Phase::Comparing;
                return self.comparison();
            }
            return Request::Watch {
                from: self.cursor,
                wait: WATCH_WAIT,
            };
        };
        if reading.pages_done {
            self.phase = Phase::Comparing;
            return self.comparison();
        }
        if reading.since_watch >= PAGES_PER_WATCH {
            reading.since_watch = 0;
            return Request::Watch {
                from: self.cursor,
                wait: 0,
            };
        }
        reading.since_watch += 1;
        Request::Page {
            after: reading.after_key.clone(),
        }
    }

    /// Takes the answer to the last request. `now` is a steady clock, `wall` the time of day.
    pub fn on_answer(
        &mut self,
        request: &Request,
        answer: Answer,
        now: Micros,
        wall: Micros,
    ) -> Vec<Action> {
        self.next_request = now + self.pace.request_gap;
        match answer {
            Answer::Refused {
                retry_after,
                status,
            } => {
                tracing::info!(status, "state service refuses for now");
                self.interrupted(now, retry_after.unwrap_or(0));
                Vec::new()
            }
            Answer::Failed(reason) => {
                tracing::info!(%reason, "no answer of the state service");
                self.interrupted(now, 0);
                Vec::new()
            }
            Answer::NotKept => self.on_not_kept(wall),
            Answer::Page(page) => {
                self.backoff = 0;
                self.on_page(page, now, wall)
            }
            Answer::Changes(changes) => {
                self.backoff = 0;
                self.on_changes(request, changes, now, wall)
            }
        }
    }

    fn on_not_kept(&mut self, wall: Micros) -> Vec<Action> {
        let Phase::ReadingContext { gap, after, depth } = &mut self.phase else {
            // What came since the last comparison can no longer be compared.
            return self.lose_continuity(GapCause::ChangesNotKept, self.verified, wall);
        };
        if *depth > 0 {
            *depth /= CONTEXT_SHRINKS;
            return Vec::new();
        }
        // Without context the segment is recognised by what it records itself.
        let (gap, after) = (gap.clone(), *after);
        self.begin_segment(gap, after, Vec::new())
    }

    /// After a failure nothing is taken for granted: the history is compared first.
    fn interrupted(&mut self, now: Micros, at_least: Micros) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        let jitter = fastrand::u64(0..=self.backoff / 4);
        self.next_request = now + (self.backoff + jitter).max(at_least);
        if self.phase == Phase::Recording {
            self.phase = Phase::Comparing;
        }
        let ahead = |r: &mut Reading| r.last_page > self.cursor;
        if !is_left_out(Guard::PagesAhead) && self.reading.take_if(ahead).is_some() {
            self.next_image = now;
        }
    }

    /// Up to which revision the archived changes are ours, now that the store shows another
    /// history. The last ones that it shows too came from it, unnoticed; before them stand
    /// those that it never had.
    fn ours_until(&self, shown: &[Fingerprint]) -> u64 {
        let tail = self.recent.iter().filter(|c| c.version > self.verified);
        let mut newest_first = tail.rev().peekable();
        if newest_first.peek().is_none_or(|c| !shown.contains(c)) {
            return self.cursor;
        }
        let last_of_ours = newest_first.find(|c| !shown.contains(c));
        last_of_ours.map_or(self.verified, |c| c.version)
    }

    /// The segment ends here; the next one starts with an image.
    fn lose_continuity(
        &mut self,
        cause: GapCause,
        after_revision: u64,
        wall: Micros,
    ) -> Vec<Action> {
        if let Phase::ReadingContext { gap, .. } = &self.phase {
            self.phase = Phase::Unanchored { gap: gap.clone() };
            return Vec::new();
        }
        tracing::warn!(
            ?cause,
            after_revision,
            "continuity lost; a new segment begins"
        );
        let mut actions = Vec::new();
        if self.reading.take().is_some() {
            actions.push(Action::AbandonImage);
        }
        if self.cursor > after_revision && !is_left_out(Guard::DoubtfulChanges) {
            actions.push(Action::DropChangesAfter(after_revision));
        }
        let gap = Gap {
            cause,
            after_revision,
            last_contact: self.last_contact,
            noticed: wall,
        };
        // On disk at once: guards against a process killed here that would go on with the
        // segment as if nothing had been lost, should the histories agree up to its end.
        actions.push(Action::EndSegment(gap.clone()));
        self.phase = Phase::Unanchored { gap };
        self.recent.clear();
        actions
    }

    fn on_page(&mut self, page: Page, now: Micros, wall: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Phase::Unanchored { gap } = &self.phase {
            self.phase = Phase::ReadingContext {
                gap: gap.clone(),
                after: page.revision,
                depth: CONTEXT_REVISIONS,
            };
            return actions;
        }
        let cursor = self.cursor;
        let Some(reading) = &mut self.reading else {
            return actions;
        };
        let went_back = page.revision < cursor.max(reading.last_page);
        if went_back && !is_left_out(Guard::RevisionOrder) {
            let to = page.revision;
            return self.lose_continuity(GapCause::RevisionWentBack { to }, self.cursor, wall);
        }
        if reading.after_key.is_none() {
            actions.push(Action::BeginImage {
                first_page: page.revision,
            });
        }
        reading.last_page = page.revision;
        reading.pages_done = !page.more;
        if let Some(last) = page.pairs.last() {
            reading.after_key = Some(last.key.clone());
        }
        if page.more && page.pairs.is_empty() {
            // A page that promises more and shows nothing leads nowhere.
            self.interrupted(now, 0);
            return actions;
        }
        actions.push(Action::AddRecords(
            page.pairs.iter().map(from_pair).collect(),
        ));
        self.last_contact = wall;
        actions
    }

    fn on_changes(
        &mut self,
        request: &Request,
        answer: Changes,
        now: Micros,
        wall: Micros,
    ) -> Vec<Action> {
        let Request::Watch { from, .. } = request else {
            return Vec::new();
        };
        let stands_at = match &self.phase {
            Phase::ReadingContext { after, .. } => *after,
            _ => self.cursor,
        };
        if answer.revision < stands_at && !is_left_out(Guard::RevisionOrder) {
            let to = answer.revision;
            return self.lose_continuity(GapCause::RevisionWentBack { to }, self.cursor, wall);
        }
        let Some(changes) = ordered_changes(&answer, *from) else {
            tracing::warn!("a change of the state service can't be read");
            self.interrupted(now, 0);
            return Vec::new();
        };
        let (known, new): (Vec<Change>, Vec<Change>) =
            changes.into_iter().partition(|c| c.version <= stands_at);
        let known: Vec<Fingerprint> = known.iter().map(Change::fingerprint).collect();
        match &self.phase {
            Phase::ReadingContext { gap, after, .. } => {
                let (gap, after) = (gap.clone(), *after);
                let mut actions = self.begin_segment(gap, after, known);
                actions.extend(self.on_same_history(new, &answer, now, wall));
                actions
            }
            Phase::Comparing if known != self.recent && !is_left_out(Guard::HistoryComparison) => {
                let ours_until = self.ours_until(&known);
                self.lose_continuity(GapCause::HistoryReplaced, ours_until, wall)
            }
            Phase::Comparing => self.on_same_history(new, &answer, now, wall),
            _ => self.add(new, answer.revision, wall),
        }
    }

    fn begin_segment(&mut self, gap: Gap, after: u64, context: Vec<Fingerprint>) -> Vec<Action> {
        self.cursor = after;
        self.verified = after;
        self.recent = last_whole_revisions(context);
        if is_left_out(Guard::Context) {
            self.recent.clear();
        }
        self.phase = Phase::Recording;
        // A segment can be read from its first image on: that one is due at once.
        self.next_image = 0;
        vec![
            Action::BeginSegment { gap, after },
            Action::SetContext(self.recent.clone()),
        ]
    }

    fn on_same_history(
        &mut self,
        new: Vec<Change>,
        answer: &Changes,
        now: Micros,
        wall: Micros,
    ) -> Vec<Action> {
        let mut actions = self.add(new, answer.revision, wall);
        self.verified = self.cursor;
        // Only here: guards against many changes of another history pushing out all by
        // which ours is recognised, before they were ever compared.
        self.recent = last_whole_revisions(std::mem::take(&mut self.recent));
        actions.push(Action::Verified(self.verified));
        self.phase = Phase::Recording;
        self.next_comparison = now + COMPARE_EVERY;
        let complete = self
            .reading
            .take_if(|r| r.pages_done && r.last_page <= self.cursor);
        if let Some(reading) = complete {
            self.next_image = now + self.pace.image_every;
            self.images_completed += 1;
            let revision = reading.last_page;
            tracing::info!(revision, "image complete");
            actions.push(Action::CompleteImage { revision });
        }
        actions
    }

    fn add(&mut self, changes: Vec<Change>, revision: u64, wall: Micros) -> Vec<Action> {
        let after = self.cursor;
        self.cursor = revision;
        self.last_contact = wall;
        if changes.is_empty() {
            return vec![Action::Reached(revision)];
        }
        self.recent.extend(changes.iter().map(Change::fingerprint));
        vec![Action::AddChanges(ChangeBatch {
            after,
            until: revision,
            received: wall,
            changes,
        })]
    }
}

/// The changes of an answer in the order of their revisions; `None` if one can't be read or
/// lies outside of what was asked for.
fn ordered_changes(answer: &Changes, from: u64) -> Option<Vec<Change>> {
    let mut changes = Vec::with_capacity(answer.events.len());
    for event in &answer.events {
        let change = Change::from_event(event)?;
        if change.version <= from || change.version > answer.revision {
            return None;
        }
        changes.push(change);
    }
    // Changes of one transaction share a revision and come in no promised order.
    changes.sort_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
    Some(changes)
}

#[cfg(test)]
pub(crate) mod tests;
