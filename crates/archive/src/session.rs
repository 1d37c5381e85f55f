//! Records from a state service into an archive until told to stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use salttiller_protocol::client::Client;
use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::decode;
use salttiller_records::units::{Micros, SECOND};

use crate::database::Archive;
use crate::error::ArchiveError;
use crate::recorder::{Answer, Pace, Recorder, Request};
use crate::retention::{prune, Retention};

/// Time for an answer beyond what a watch waits.
const ANSWER_TIME: Micros = 5 * SECOND;
/// The longest sleep before looking whether to stop.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// When a session ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Goal {
    /// After so many complete images; `None`: never for that.
    pub images: Option<u64>,
    /// After this time; `None`: never for that.
    pub time: Option<Duration>,
    /// After no usable answer for so long; `None`: it goes on asking.
    pub patience: Option<Duration>,
}

/// What a session did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Summary {
    /// Requests that were sent.
    pub requests: u64,
    /// Images that were completed.
    pub images: u64,
}

/// A state service, the archive that its records go to, and how.
pub struct Session<'a> {
    /// Address of the state service.
    pub state_service: SocketAddr,
    /// The archive.
    pub archive: &'a Archive,
    /// How fast.
    pub pace: Pace,
    /// What is kept.
    pub retention: Retention,
    /// Set to end the session after the current request.
    pub stop: &'a AtomicBool,
}

impl Session<'_> {
    /// Records until the goal is reached.
    pub fn run(&self, goal: Goal) -> Result<Summary, ArchiveError> {
        let started = Instant::now();
        let steady = || started.elapsed().as_micros() as Micros;
        let mut client = Client::new(self.state_service);
        let mut recorder = self.resume()?;
        let mut summary = Summary::default();
        let mut last_usable = Instant::now();
        while !self.is_over(goal, started, &summary) {
            let (at, request) = recorder.next(steady());
            let wait = at.saturating_sub(steady());
            if wait > 0 {
                std::thread::sleep(Duration::from_micros(wait).min(STOP_CHECK));
                continue;
            }
            summary.requests += 1;
            let answer = ask(&mut client, &request);
            if let Answer::Failed(_) | Answer::Refused { .. } = answer {
                self.check_patience(goal, last_usable, &answer)?;
            } else {
                last_usable = Instant::now();
            }
            let wall = wall_clock();
            let actions = recorder.on_answer(&request, answer, steady(), wall);
            if !actions.is_empty() {
                self.archive.apply(&actions, wall)?;
            }
            if recorder.images_completed() > summary.images {
                summary.images = recorder.images_completed();
                prune(self.archive, self.retention, wall)?;
            }
        }
        Ok(summary)
    }

    /// Goes on where the archive ends. An image that is due by the age of the last one is
    /// taken at once.
    fn resume(&self) -> Result<Recorder, ArchiveError> {
        self.archive.drop_incomplete_image()?;
        self.archive.read(|view| {
            let Some((id, segment)) = view.segments()?.pop() else {
                return Ok(Recorder::first(self.pace, wall_clock()));
            };
            let recent = view.recent_changes(id, &segment)?;
            let mut recorder = Recorder::resumed(self.pace, &segment, recent);
            if let Some((_, _, image)) = view.complete_images(id)?.pop() {
                let age = wall_clock().saturating_sub(image.begun);
                recorder.schedule_image(self.pace.image_every.saturating_sub(age));
            }
            Ok(recorder)
        })
    }

    fn is_over(&self, goal: Goal, started: Instant, summary: &Summary) -> bool {
        self.stop.load(Ordering::Relaxed)
            || goal.images.is_some_and(|wanted| summary.images >= wanted)
            || goal.time.is_some_and(|time| started.elapsed() >= time)
    }

    fn check_patience(
        &self,
        goal: Goal,
        last_usable: Instant,
        answer: &Answer,
    ) -> Result<(), ArchiveError> {
        if goal.patience.is_none_or(|p| last_usable.elapsed() < p) {
            return Ok(());
        }
        Err(ArchiveError::StateService(match answer {
            Answer::Refused { status, .. } => format!("{}: status {status}", self.state_service),
            Answer::Failed(reason) => reason.clone(),
            _ => "no usable answer".to_owned(),
        }))
    }
}

/// Time of day, for information.
pub fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

fn ask(client: &mut Client, request: &Request) -> Answer {
    let wait = match request {
        Request::Watch { wait, .. } => *wait,
        Request::Revision | Request::Page { .. } => 0,
    };
    let time = Duration::from_micros(wait + ANSWER_TIME);
    match client.call("GET", &request.target(), &[], time) {
        Ok(response) => read_answer(request, &response),
        Err(error) => Answer::Failed(error.to_string()),
    }
}

fn read_answer(request: &Request, response: &Response) -> Answer {
    match (response.status, request) {
        (200, Request::Revision | Request::Page { .. }) => match decode(&response.body) {
            Ok(page) => Answer::Page(page),
            Err(e) => Answer::Failed(format!("a page can't be read: {e}")),
        },
        (200, Request::Watch { .. }) => match decode(&response.body) {
            Ok(changes) => Answer::Changes(changes),
            Err(e) => Answer::Failed(format!("changes can't be read: {e}")),
        },
        (410, Request::Watch { .. }) => Answer::NotKept,
        (status, _) => Answer::Refused {
            retry_after: response.retry_after.map(|s| Micros::from(s) * SECOND),
            status,
        },
    }
}
