//! The recorder: a state machine that selects the next request to the state service and turns
//! responses into actions on the archive.
//!
//! Inputs are responses and clock readings; outputs are actions and the next request. The module
//! does no I/O, so a test can run any sequence of events.
//!
//! Two checks detect a loss of continuity. First, the revision of a store never goes back: a
//! lower revision means that the history was replaced. Second, after each interruption, and at
//! intervals without one, the last archived changes are requested again and compared. The second
//! check detects a store that was replaced and has since grown past the archived revision.

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

/// Time that a watch waits for a change.
const WATCH_WAIT: Micros = 10 * SECOND;

/// State of the recorder.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// No segment is open; the recorder requests the revision at which the next segment starts.
    StartingSegment { gap: Gap },
    /// The recorder requests the changes just before the new segment. The segment begins with the
    /// response; everything that it records must belong to the same history as these changes.
    ReadingPrecedingChanges {
        gap: Gap,
        /// The segment starts after this revision.
        after: u64,
        /// Number of revisions before the segment whose changes are requested.
        depth: u64,
    },
    /// The recorder checks whether the state service still has the recorded history.
    VerifyingHistory,
    /// The recorder records changes and, at intervals, a snapshot.
    Recording,
}

/// A request and the earliest time to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// The earliest time to send the request, by the monotonic clock.
    pub not_before: Micros,
    /// The request to send.
    pub request: Request,
}

/// Selects the requests to the state service and the actions on the archive.
///
/// One request is outstanding at a time: the caller takes it from [`Recorder::next_request`],
/// passes the result to [`Recorder::on_answer`], and applies the returned actions before it takes
/// the next request.
#[derive(Debug)]
pub struct Recorder {
    phase: Phase,
    schedule: Schedule,
    history: RecordedHistory,
    /// Wall-clock time of the last response.
    last_contact: Micros,
    snapshot: Option<SnapshotRead>,
    snapshots_completed: u64,
}

impl Recorder {
    /// Creates a recorder for an archive without a segment.
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

    /// Creates a recorder that continues an archive's last segment, whose last changes are
    /// `recent`. The recorder first compares the state service's history with these changes.
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

    /// Returns the number of snapshots that this recorder has completed.
    #[must_use]
    pub fn snapshots_completed(&self) -> u64 {
        self.snapshots_completed
    }

    /// Schedules the next snapshot for a time of the monotonic clock.
    pub fn schedule_snapshot(&mut self, at: Micros) {
        self.schedule.set_next_snapshot(at);
    }

    /// Returns the next request and the earliest time to send it. `now` is a reading of the
    /// monotonic clock.
    pub fn next_request(&mut self, now: Micros) -> ScheduledRequest {
        let request = match &self.phase {
            Phase::StartingSegment { .. } => Request::Revision,
            Phase::ReadingPrecedingChanges { after, depth, .. } => Request::Watch {
                from: after.saturating_sub(*depth),
                wait: 0,
            },
            Phase::VerifyingHistory => self.comparison_request(),
            Phase::Recording => self.recording_request(now),
        };
        ScheduledRequest {
            not_before: self.schedule.earliest_send_time(&request),
            request,
        }
    }

    /// Returns a request for the recent changes and all changes after them.
    fn comparison_request(&self) -> Request {
        Request::Watch {
            from: self.history.comparison_start(),
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
                self.comparison_request()
            }
        }
    }

    /// Handles the result of the last request and returns the actions to apply to the archive.
    pub fn on_answer(
        &mut self,
        request: &Request,
        answer: Result<Answer, RequestError>,
        clock: ClockReading,
    ) -> Vec<Action> {
        self.schedule.request_ended(clock.monotonic);
        match (answer, request) {
            (Err(error), _) => {
                tracing::info!(%error, "no usable response from the state service");
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
