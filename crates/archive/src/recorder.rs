//! What to ask the state service next, and what its answers mean for the archive.
//!
//! Answers and clock readings go in; actions on the archive and the next request come out.
//! Nothing here does I/O, so every sequence of events can be a case of a test.
//!
//! Continuity rests on two checks. The revision of the store never goes back: a lower one is
//! another history. And after each interruption, and at intervals without one, the last
//! archived changes are asked for again and compared: a store that was replaced and has grown
//! past our revision since shows others.

mod action;
mod answers;
mod history;
mod request;
mod schedule;
mod snapshot_read;

use salttiller_records::history::Fingerprint;
use salttiller_records::units::{Micros, SECOND};

use self::history::RecordedHistory;
use self::schedule::Schedule;
use self::snapshot_read::SnapshotRead;
use crate::clock::ClockReading;
use crate::error::RequestError;
use crate::model::{Gap, GapCause, Segment};
pub use action::Action;
pub use request::{Answer, Request};
pub use schedule::Pacing;

/// How long a watch waits for a change.
const WATCH_WAIT: Micros = 10 * SECOND;

/// What the recorder is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// No segment is open; the revision at which the next may start is asked for.
    StartingSegment { gap: Gap },
    /// The changes just before the new segment are asked for. With them it begins: all that
    /// it then records must be of the history that showed them.
    ReadingPrecedingChanges {
        gap: Gap,
        /// The segment starts after this revision.
        after: u64,
        /// How far before it changes are asked for, in revisions.
        depth: u64,
    },
    /// Whether the state service still has the recorded history is asked.
    VerifyingHistory,
    /// Changes, and at intervals a snapshot, are recorded.
    Recording,
}

/// A request, and when to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// The earliest time to send it, by the monotonic clock.
    pub not_before: Micros,
    /// The request.
    pub request: Request,
}

/// Decides what is asked of the state service and written to the archive.
///
/// One request is outstanding at a time: [`Recorder::next_request`], then
/// [`Recorder::on_answer`], whose actions are carried out before the next.
#[derive(Debug)]
pub struct Recorder {
    phase: Phase,
    schedule: Schedule,
    history: RecordedHistory,
    /// Wall-clock time of the last answer.
    last_contact: Micros,
    snapshot: Option<SnapshotRead>,
    snapshots_completed: u64,
}

impl Recorder {
    /// A recorder for an archive without a segment.
    #[must_use]
    pub fn new(pacing: Pacing, wall_clock: Micros) -> Self {
        let gap = Gap {
            cause: GapCause::FirstRecording,
            after_revision: 0,
            last_contact: wall_clock,
            detected: wall_clock,
        };
        Recorder::in_phase(pacing, Phase::StartingSegment { gap })
    }

    /// A recorder that continues an archive's last segment, whose last changes are `recent`.
    /// Whatever happened since is found out by a comparison first.
    #[must_use]
    pub fn resume(pacing: Pacing, segment: &Segment, recent: Vec<Fingerprint>) -> Self {
        let phase = match &segment.ended_by {
            Some(gap) => Phase::StartingSegment { gap: gap.clone() },
            None => Phase::VerifyingHistory,
        };
        let history = RecordedHistory::resumed(segment.until, segment.verified_until, recent);
        Recorder {
            history,
            last_contact: segment.last_contact,
            ..Recorder::in_phase(pacing, phase)
        }
    }

    fn in_phase(pacing: Pacing, phase: Phase) -> Self {
        Recorder {
            phase,
            schedule: Schedule::new(pacing),
            history: RecordedHistory::default(),
            last_contact: 0,
            snapshot: None,
            snapshots_completed: 0,
        }
    }

    /// How many snapshots this recorder has completed.
    #[must_use]
    pub fn snapshots_completed(&self) -> u64 {
        self.snapshots_completed
    }

    /// Makes the next snapshot due at this time of the monotonic clock.
    pub fn schedule_snapshot(&mut self, at: Micros) {
        self.schedule.set_next_snapshot(at);
    }

    /// The next request, and the earliest time to send it. `now` is a monotonic clock.
    pub fn next_request(&mut self, now: Micros) -> ScheduledRequest {
        let request = match &self.phase {
            Phase::StartingSegment { .. } => Request::Revision,
            Phase::ReadingPrecedingChanges { after, depth, .. } => Request::Watch {
                from: after.saturating_sub(*depth),
                wait: 0,
            },
            Phase::VerifyingHistory => self.comparison(),
            Phase::Recording => self.recording_request(now),
        };
        ScheduledRequest {
            not_before: self.schedule.earliest(&request),
            request,
        }
    }

    /// Asks for the recent changes again, and for those after them.
    fn comparison(&self) -> Request {
        Request::Watch {
            from: self.history.compare_after(),
            wait: 0,
        }
    }

    fn recording_request(&mut self, now: Micros) -> Request {
        if self.snapshot.is_none() && self.schedule.is_snapshot_due(now) {
            self.snapshot = Some(SnapshotRead::default());
        }
        let cursor = self.history.cursor();
        match &mut self.snapshot {
            Some(snapshot) if !snapshot.pages_done() => snapshot.next_request(cursor),
            None if !self.schedule.is_verification_due(now) => Request::Watch {
                from: cursor,
                wait: WATCH_WAIT,
            },
            _ => {
                self.phase = Phase::VerifyingHistory;
                self.comparison()
            }
        }
    }

    /// Handles how the last request ended; returns what the archive has to do.
    pub fn on_answer(
        &mut self,
        request: &Request,
        answer: Result<Answer, RequestError>,
        clock: ClockReading,
    ) -> Vec<Action> {
        self.schedule.request_ended(clock.monotonic);
        match (answer, request) {
            (Err(error), _) => {
                tracing::info!(%error, "no usable answer of the state service");
                self.on_interruption(clock.monotonic, error.retry_after());
                Vec::new()
            }
            (Ok(Answer::Compacted), _) => self.on_compacted(clock),
            (Ok(Answer::Page(page)), _) => {
                self.schedule.reset_backoff();
                self.on_page(&page, clock)
            }
            (Ok(Answer::Changes(changes)), Request::Watch { from, .. }) => {
                self.schedule.reset_backoff();
                self.on_changes(*from, &changes, clock)
            }
            (Ok(Answer::Changes(_)), Request::Revision | Request::Page { .. }) => {
                self.schedule.reset_backoff();
                Vec::new()
            }
        }
    }
}

#[cfg(test)]
mod tests;
