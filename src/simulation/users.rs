//! Simulated users: their requests to the controllers, and the checks of the responses. Their jobs
//! are in [`jobs`].

mod jobs;

pub(super) use jobs::{Job, JobKind, Submission};

use std::collections::BTreeMap;

use salttiller_protocol::http::{Request, Response};
use salttiller_records::units::{Micros, SECOND};
use serde_json::Value;

use super::events::{Event, Requester};
use super::invariants::Invariant;
use super::network::{decode, request};
use super::workers::task_id;
use super::world::World;
use super::{CANCEL_DEADLINE, CONTROLLERS};

/// Interval between status queries for a job.
const QUERY_INTERVAL: Micros = 9 * SECOND;
/// Delay of the first status query after the confirmation of a submission.
const FIRST_QUERY_DELAY: Micros = 5 * SECOND;
/// Interval between status queries for a job during a burst of queries.
const BURST_QUERY_INTERVAL: Micros = 5 * SECOND / 30;
/// Delay before a refused status query is retried.
const QUERY_RETRY_INTERVAL: Micros = 5 * SECOND;
/// Delay before any other refused request is retried.
const RETRY_INTERVAL: Micros = SECOND;

/// A request of a job's user.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum UserAction {
    /// Submits the job.
    Submit,
    /// Queries the job's status.
    Query,
    /// Cancels the job.
    Cancel,
}

/// State of the simulated users.
#[derive(Default)]
pub(super) struct Users {
    pub jobs: BTreeMap<String, Job>,
    /// Time until which users query the status of their jobs thirty times as often.
    pub query_burst_until: Micros,
    /// Time until which users cancel a job when its last task is done.
    pub cancel_on_completion_until: Micros,
    /// Controller that last answered a cancellation.
    pub last_cancel_answered_by: usize,
    /// Responses to requests that tests send directly: status and body.
    pub probe_responses: BTreeMap<u32, (u16, Value)>,
}

/// State of the cancellation of a job's direct and indirect dependencies.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpstreamCancellation {
    None,
    /// A user has requested the cancellation of a dependency.
    Requested,
    /// A cancellation was first confirmed to a user at this time.
    Confirmed(Micros),
}

impl UpstreamCancellation {
    /// Whether a request sent at the time `at` must find the dependent job cancelled too.
    fn is_due(self, at: Micros) -> bool {
        matches!(self, Self::Confirmed(confirmed_at) if at > confirmed_at + CANCEL_DEADLINE)
    }
}

impl World {
    /// Adds a job whose user submits it at the time `at`.
    pub(super) fn submit_job(&mut self, at: Micros, submission: &Submission, run_time: Micros) {
        let job = Job::new(submission, run_time);
        self.users.jobs.insert(submission.id.clone(), job);
        self.schedule_user(at, &submission.id, UserAction::Submit);
    }

    /// Schedules a request of a job's user.
    pub(super) fn schedule_user(&mut self, at: Micros, job: &str, action: UserAction) {
        let job = job.to_owned();
        self.schedule(at, Event::User { job, action });
    }

    /// Sends a request of a job's user. Drops a request that is no longer needed, and defers one
    /// that is too early.
    pub(super) fn on_user_action(&mut self, id: String, action: UserAction) {
        let job = &self.users.jobs[&id];
        if job.abandoned {
            return;
        }
        let is_accepted = |id: &String| self.users.jobs[id].accepted;
        let is_too_early = match action {
            UserAction::Query if !job.accepted => return,
            UserAction::Query => false,
            UserAction::Cancel => !job.accepted,
            // Users submit a job only after all its dependencies were accepted.
            UserAction::Submit => !job.dependencies.iter().all(is_accepted),
        };
        if is_too_early {
            return self.schedule_user(self.now + RETRY_INTERVAL, &id, action);
        }
        let request = user_request(&id, job, action);
        if action == UserAction::Cancel {
            if let Some(job) = self.users.jobs.get_mut(&id) {
                job.cancel_requested = true;
            }
        }
        let requester = Requester::User {
            job: id,
            action,
            sent_at: self.now,
        };
        self.send_user_request(request, requester);
    }

    /// Sends a request to a random controller that users can reach.
    fn send_user_request(&mut self, request: Request, requester: Requester) {
        let mut controller = self.rng.usize(0..CONTROLLERS);
        while self.now < self.controllers[controller].partitions.users_until {
            controller = (controller + 1) % CONTROLLERS;
        }
        let latency = self.draw_latency();
        let event = Event::Request {
            controller,
            request,
            requester,
        };
        self.schedule(self.now + latency, event);
    }

    /// Handles a response that reaches a user.
    pub(super) fn on_user_response(
        &mut self,
        id: &str,
        action: UserAction,
        sent_at: Micros,
        response: &Response,
    ) {
        let is_refusal = matches!(response.status, 429 | 503);
        if is_refusal && response.retry_after.is_none() {
            self.record_violation(Invariant::NoRetryAfter, format!("{id}: {action:?}"));
        }
        if !matches!(response.status, 200 | 201) {
            return self.on_refused_request(id, action, response.status);
        }
        let stage = decode(&response.body)["stage"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let violated_invariant = self.invariant_violated_by_stage(id, &stage, sent_at);
        let is_first = !self.users.jobs[id].accepted;
        self.record_stage(id, action, &stage);
        if let Some(invariant) = violated_invariant {
            return self.record_violation(
                invariant,
                format!("{id}: {action:?} returned stage {stage}"),
            );
        }
        match action {
            UserAction::Query => self.schedule_next_query(id, QUERY_INTERVAL),
            UserAction::Submit if is_first => self.schedule_next_query(id, FIRST_QUERY_DELAY),
            UserAction::Submit | UserAction::Cancel => {}
        }
    }

    fn on_refused_request(&mut self, id: &str, action: UserAction, status: u16) {
        let accepted = self.users.jobs[id].accepted;
        if matches!(status, 400 | 422) || (accepted && status == 404) {
            self.record_violation(
                Invariant::Forgotten,
                format!("{id}: {action:?} returned status {status}"),
            );
        }
        let interval = match action {
            UserAction::Query => QUERY_RETRY_INTERVAL,
            UserAction::Submit | UserAction::Cancel => RETRY_INTERVAL,
        };
        self.schedule_user(self.now + interval, id, action);
    }

    /// Returns the invariant that a response with a stage violates, if any.
    fn invariant_violated_by_stage(
        &self,
        id: &str,
        stage: &str,
        sent_at: Micros,
    ) -> Option<Invariant> {
        let job = &self.users.jobs[id];
        let upstream = self.upstream_cancellation(id);
        if stage == "done" && !job.has_all_results() {
            return Some(Invariant::NotDone);
        }
        let has_reason = job.cancel_requested || upstream != UpstreamCancellation::None;
        if stage == "cancelled" && !has_reason {
            return Some(Invariant::WentBack);
        }
        let is_open = matches!(stage, "queued" | "running");
        if is_open && upstream.is_due(sent_at) {
            return Some(Invariant::Orphaned);
        }
        // The response to a request sent before the final stage was confirmed may arrive after that
        // confirmation and hold an older stage.
        let is_newer = sent_at >= job.final_stage_at;
        let was_done = job.completion_confirmed && stage != "done";
        let was_cancelled = job.cancel_confirmed_at.is_some() && stage != "cancelled";
        (is_newer && (was_done || was_cancelled)).then_some(Invariant::WentBack)
    }

    /// Records the stage that a response reported to a user.
    fn record_stage(&mut self, id: &str, action: UserAction, stage: &str) {
        let now = self.now;
        if stage == "cancelled" {
            self.record_cancellation(id);
        }
        let observations = &mut self.observations;
        let Some(job) = self.users.jobs.get_mut(id) else {
            return;
        };
        job.accepted = true;
        job.last_answered_at = now;
        if matches!(stage, "done" | "cancelled") && job.final_stage_at == 0 {
            job.final_stage_at = now;
        }
        if action == UserAction::Cancel && job.has_all_results() {
            observations.late_cancels_answered_done += u32::from(stage == "done");
            observations.late_cancels_answered_cancelled += u32::from(stage == "cancelled");
        }
        if stage == "done" {
            job.completion_confirmed = true;
        }
    }

    /// Records the first confirmation of a job's cancellation to its user.
    fn record_cancellation(&mut self, id: &str) {
        let now = self.now;
        let job = &self.users.jobs[id];
        if job.cancel_confirmed_at.is_some() {
            return;
        }
        let upstream = self.upstream_cancellation(id);
        let cascaded = !job.cancel_requested && upstream != UpstreamCancellation::None;
        let refused = self.controllers.iter().any(|c| now < c.refused_until);
        let running = self.running_tasks_of(id);
        let observations = &mut self.observations;
        observations.cascaded_cancellations += u32::from(cascaded);
        observations.cancels_confirmed_in_refusal += u32::from(refused);
        observations.running_tasks_cancelled += running;
        if let Some(job) = self.users.jobs.get_mut(id) {
            job.cancel_confirmed_at = Some(now);
        }
    }

    fn running_tasks_of(&self, job: &str) -> u32 {
        let tasks = self
            .workers
            .values()
            .flat_map(super::workers::Worker::active_tasks);
        tasks.filter(|(id, _)| task_id(id).0 == job).count() as u32
    }

    /// Schedules a status query after an interval, or after a shorter one during a burst.
    fn schedule_next_query(&mut self, id: &str, interval: Micros) {
        let in_burst = self.now < self.users.query_burst_until;
        self.observations.burst_queries += u32::from(in_burst);
        let interval = match in_burst {
            true => BURST_QUERY_INTERVAL,
            false => interval,
        };
        self.schedule_user(self.now + interval, id, UserAction::Query);
    }

    /// Returns the state of the cancellation of a job's direct and indirect dependencies.
    fn upstream_cancellation(&self, id: &str) -> UpstreamCancellation {
        let mut remaining = self.users.jobs[id].dependencies.clone();
        let mut requested = false;
        let mut confirmed_at: Option<Micros> = None;
        while let Some(upstream) = remaining.pop() {
            let job = &self.users.jobs[&upstream];
            if job.cancel_requested {
                requested = true;
                let times = [confirmed_at, job.cancel_confirmed_at];
                confirmed_at = times.into_iter().flatten().min();
            }
            remaining.extend(job.dependencies.iter().cloned());
        }
        match confirmed_at {
            Some(at) => UpstreamCancellation::Confirmed(at),
            None if requested => UpstreamCancellation::Requested,
            None => UpstreamCancellation::None,
        }
    }

    /// Returns the jobs that were not accepted, or whose final stage was not confirmed to their
    /// user.
    pub(super) fn unfinished_jobs(&self) -> Vec<&String> {
        let is_unfinished = |job: &Job| !job.accepted || !job.is_final();
        let unfinished = self.users.jobs.iter();
        let unfinished = unfinished.filter(|(_, job)| is_unfinished(job));
        unfinished.map(|(id, _)| id).collect()
    }
}

fn user_request(id: &str, job: &Job, action: UserAction) -> Request {
    match action {
        UserAction::Submit => {
            let body = rmp_serde::to_vec(&job.submission).unwrap();
            request("POST", "/work", body)
        }
        UserAction::Query => request("GET", &format!("/work/{id}"), Vec::new()),
        UserAction::Cancel => request("POST", &format!("/work/{id}/abort"), Vec::new()),
    }
}
