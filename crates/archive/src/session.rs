//! A recording session: runs a recorder with an archive and a blocking client.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use salttiller_protocol::client::Client;
use salttiller_protocol::state_service::decode;
use salttiller_records::units::{Micros, SECOND};

use crate::clock::{wall_clock, ClockReading};
use crate::database::Archive;
use crate::error::{ArchiveError, RequestError};
use crate::recorder::{Answer, Pacing, Recorder, Request, ScheduledRequest};
use crate::retention::{prune, RetentionPolicy};

/// Timeout of a request, in addition to the time that a watch waits for a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limits after which a session ends. `None` means no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SessionLimits {
    /// Number of snapshots that the session completes.
    pub snapshots: Option<u64>,
    /// Duration of the session.
    pub duration: Option<Duration>,
    /// Time without a usable response, after which the session ends with an error.
    pub unavailability: Option<Duration>,
}

impl SessionLimits {
    fn are_reached(&self, summary: SessionSummary, elapsed: Duration) -> bool {
        self.snapshots
            .is_some_and(|limit| summary.snapshots >= limit)
            || self.duration.is_some_and(|limit| elapsed >= limit)
    }

    fn is_unavailability_reached(&self, elapsed: Duration) -> bool {
        self.unavailability.is_some_and(|limit| elapsed >= limit)
    }
}

/// Counters of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SessionSummary {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of snapshots completed.
    pub snapshots: u64,
}

/// Parameters of a session that records a state service into an archive.
pub struct Session<'a> {
    /// Address of the state service.
    pub state_service: SocketAddr,
    /// Archive to record into.
    pub archive: &'a Archive,
    /// Rates of requests and snapshots.
    pub pacing: Pacing,
    /// Retention policy, applied after each snapshot.
    pub retention: RetentionPolicy,
    /// Flag that ends the session after the current request.
    pub stop: &'a AtomicBool,
}

impl Session<'_> {
    /// Records until a limit is reached or [`Session::stop`] is set.
    ///
    /// # Errors
    /// Returns an error if the archive can't be read or written, or if the state service was
    /// unavailable for longer than the limit.
    pub fn run(&self, limits: SessionLimits) -> Result<SessionSummary, ArchiveError> {
        let started = Instant::now();
        let mut client = Client::new(self.state_service);
        let mut recorder = self.resume_recorder()?;
        let mut summary = SessionSummary::default();
        let mut last_usable = started;
        while !self.stop.load(Ordering::Relaxed) && !limits.are_reached(summary, started.elapsed())
        {
            let now = monotonic_since(started);
            let ScheduledRequest {
                not_before,
                request,
            } = recorder.next_request(now);
            if not_before > now {
                let wait = Duration::from_micros(not_before - now);
                thread::sleep(wait.min(STOP_CHECK_INTERVAL));
                continue;
            }
            summary.requests += 1;
            let answer = self.send(&mut client, &request);
            let clock = ClockReading {
                monotonic: monotonic_since(started),
                wall_clock: wall_clock(),
            };
            match answer {
                Ok(_) => last_usable = Instant::now(),
                Err(error) if limits.is_unavailability_reached(last_usable.elapsed()) => {
                    return Err(ArchiveError::StateService(error));
                }
                Err(_) => {}
            }
            self.apply_answer(&mut recorder, &request, answer, clock)?;
            summary.snapshots = recorder.snapshots_completed();
        }
        Ok(summary)
    }

    /// Creates a recorder that continues at the archive's end. The next snapshot is due when the
    /// age of the last snapshot reaches the snapshot interval, which may be at once.
    fn resume_recorder(&self) -> Result<Recorder, ArchiveError> {
        self.archive.delete_incomplete_snapshot()?;
        self.archive.read(|view| {
            let now = wall_clock();
            let Some(segment) = view.segments()?.pop() else {
                return Ok(Recorder::new(self.pacing, now));
            };
            let recent = view.recent_changes(&segment)?;
            let mut recorder = Recorder::resume(self.pacing, &segment.value, recent);
            if let Some(last) = view.complete_snapshots(segment.id)?.pop() {
                let age = now.saturating_sub(last.snapshot.started);
                recorder.schedule_snapshot(self.pacing.snapshot_interval.saturating_sub(age));
            }
            Ok(recorder)
        })
    }

    fn send(&self, client: &mut Client, request: &Request) -> Result<Answer, RequestError> {
        let timeout = REQUEST_TIMEOUT + Duration::from_micros(request.wait());
        let response = client.call("GET", &request.target(), &[], timeout)?;
        match (response.status, request) {
            (200, Request::Revision | Request::Page { .. }) => decode(&response.body)
                .map(Answer::Page)
                .map_err(RequestError::InvalidPage),
            (200, Request::Watch { .. }) => decode(&response.body)
                .map(Answer::Changes)
                .map_err(RequestError::InvalidChanges),
            (410, Request::Watch { .. }) => Ok(Answer::Compacted),
            (status, _) => Err(RequestError::Refused {
                address: self.state_service,
                status,
                retry_after: response.retry_after.map(|s| Micros::from(s) * SECOND),
            }),
        }
    }

    /// Applies the recorder's actions for a response to the archive, and prunes the archive after
    /// a completed snapshot.
    fn apply_answer(
        &self,
        recorder: &mut Recorder,
        request: &Request,
        answer: Result<Answer, RequestError>,
        clock: ClockReading,
    ) -> Result<(), ArchiveError> {
        let completed_before = recorder.snapshots_completed();
        let actions = recorder.on_answer(request, answer, clock);
        if !actions.is_empty() {
            self.archive.apply(&actions, clock.wall_clock)?;
        }
        if recorder.snapshots_completed() > completed_before {
            prune(self.archive, self.retention, clock.wall_clock)?;
        }
        Ok(())
    }
}

fn monotonic_since(started: Instant) -> Micros {
    started.elapsed().as_micros() as Micros
}
