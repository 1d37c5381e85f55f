//! What scripted days are written in: jobs that need each other, steps of time, requests of the
//! test's own, and questions to the records.

use crate::simulation::days::Plan;
use crate::simulation::events::{Event, Requester};
use crate::simulation::network::request;
use crate::simulation::runner::{log_if_requested, CHECK_INTERVAL};
use crate::simulation::users::{Submission, UserAction};
use crate::simulation::workload::Workload;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::Value;

/// Jobs of the scripts. The second needs the first, the third the second, the fourth both.
pub(super) const FIRST: &str = "req-000001";
pub(super) const SECOND_JOB: &str = "req-000002";
pub(super) const THIRD: &str = "req-000003";
pub(super) const FOURTH: &str = "req-000004";
/// Submitted by scripts of their own.
pub(super) const LATE: &str = "req-000009";

fn submission(id: &str, tasks: u32, run_seconds: u64, dependencies: &[&str]) -> Submission {
    let dependencies = dependencies.iter().map(|id| (*id).to_owned()).collect();
    Submission {
        tasks,
        expected_seconds: run_seconds,
        dependencies: Some(dependencies),
        ..Submission::batch(id)
    }
}

impl World {
    /// A world on a day with no jobs and no faults of its own.
    pub(crate) fn empty(seed: u64) -> World {
        log_if_requested();
        fastrand::seed(seed);
        let mut world = World::new(&Plan {
            jobs: 0,
            end: 0,
            workload: Workload::Pipelines,
            ..Plan::quiet(seed)
        });
        world.run_for(5 * SECOND);
        world
    }

    /// A user submits a job now.
    pub(crate) fn submit(&mut self, id: &str, tasks: u32, run_seconds: u64, dependencies: &[&str]) {
        let submission = submission(id, tasks, run_seconds, dependencies);
        self.submit_job(self.now, &submission, run_seconds * SECOND);
    }

    /// A user cancels a job now.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.schedule_user(self.now, id, UserAction::Cancel);
    }

    /// Goes on for so long, checking what is checked on every day.
    pub(crate) fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            let next = (self.now + CHECK_INTERVAL).min(end);
            self.run(next);
            self.now = next;
            self.check_invariants();
        }
    }

    /// Goes on until a condition holds; whether it does within a time.
    pub(crate) fn run_until(&mut self, limit: Micros, condition: impl Fn(&World) -> bool) -> bool {
        let end = self.now + limit;
        while !condition(self) {
            if self.now >= end || !self.violations.is_empty() {
                return false;
            }
            let next = self.now + MILLISECOND;
            self.run(next);
            self.now = next;
        }
        true
    }

    /// Sends a request of the test's own to one controller; status and stage of the response.
    pub(crate) fn probe(
        &mut self,
        controller: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> (u16, String) {
        let number = self.users.probe_responses.len() as u32;
        let request = request(method, path, rmp_serde::to_vec(body).unwrap());
        let event = Event::Request {
            controller,
            request,
            requester: Requester::Probe(number),
        };
        self.schedule(self.now, event);
        let is_answered = |world: &World| world.users.probe_responses.contains_key(&number);
        assert!(self.run_until(10 * SECOND, is_answered));
        let (status, body) = &self.users.probe_responses[&number];
        let stage = body["stage"].as_str().unwrap_or("").to_owned();
        (*status, stage)
    }

    pub(crate) fn probe_submission(
        &mut self,
        controller: usize,
        id: &str,
        needs: &[&str],
    ) -> (u16, String) {
        let body = submission(id, 1, 5, needs).body();
        self.probe(controller, "POST", "/work", &body)
    }

    /// Whether a job's user was told that it is cancelled.
    pub(crate) fn is_cancel_confirmed(&self, id: &str) -> bool {
        self.users.jobs[id].cancel_confirmed_at.is_some()
    }

    pub(crate) fn stage_on_record(&self, id: &str) -> String {
        let record = self.store.value(&format!("st/job/{id}")).unwrap();
        record["st"].as_str().unwrap().to_owned()
    }

    /// A controller that owns a part of a job.
    pub(crate) fn owner_of(&self, id: &str) -> usize {
        let job = self.store.value(&format!("st/job/{id}")).unwrap();
        let region = job["b"][0][2].as_str().unwrap();
        let record = self.store.value(&format!("st/region/{region}")).unwrap();
        let owner = record["owner"].as_str();
        let mut names = self.settings.iter().map(|s| s.name.as_str());
        names.position(|name| Some(name) == owner).unwrap()
    }

    /// Whether the users know of every job that it is done or cancelled.
    pub(crate) fn are_all_jobs_final(&self) -> bool {
        self.unfinished_jobs().is_empty()
    }
}

/// A world with the four jobs accepted and the first running, for `run_seconds`.
pub(super) fn four_jobs(seed: u64, run_seconds: u64) -> World {
    let mut world = World::empty(seed);
    let jobs: [(&str, u64, &[&str]); 4] = [
        (FIRST, run_seconds, &[]),
        (SECOND_JOB, 5, &[FIRST]),
        (THIRD, 5, &[SECOND_JOB]),
        (FOURTH, 5, &[FIRST, SECOND_JOB]),
    ];
    for (id, run_seconds, needs) in jobs {
        world.submit(id, 2, run_seconds, needs);
        assert!(
            world.run_until(20 * SECOND, |world| world.users.jobs[id].accepted),
            "{id}"
        );
    }
    let running = |world: &World| world.users.jobs[FIRST].starts == 2;
    assert!(
        world.run_until(60 * SECOND, running),
        "seed {seed}: not begun"
    );
    world
}
