//! Helpers of scripted days: submission of jobs with dependencies, advance of simulated time,
//! requests sent by the test itself, and queries of the records.

use crate::simulation::days::Plan;
use crate::simulation::events::{Event, Requester};
use crate::simulation::network::request;
use crate::simulation::runner::{log_if_requested, CHECK_INTERVAL};
use crate::simulation::users::{Submission, UserAction};
use crate::simulation::workload::Workload;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::Value;

/// Ids of the four jobs of [`world_with_four_jobs`]. The second depends on the first, the third on
/// the second, and the fourth on the first and the second.
pub(super) const FIRST: &str = "req-000001";
pub(super) const SECOND_JOB: &str = "req-000002";
pub(super) const THIRD: &str = "req-000003";
pub(super) const FOURTH: &str = "req-000004";
/// Id of a fifth job, which some tests submit in addition.
pub(super) const EXTRA_JOB: &str = "req-000009";

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
    /// Returns a world without jobs or faults, 5 s after its start.
    pub(crate) fn without_jobs(seed: u64) -> World {
        log_if_requested();
        fastrand::seed(seed);
        let mut world = World::new(&Plan {
            jobs: 0,
            end: 0,
            workload: Workload::Pipelines,
            ..Plan::without_faults(seed)
        });
        world.run_for(5 * SECOND);
        world
    }

    /// Makes a user submit a job now.
    pub(crate) fn submit(&mut self, id: &str, tasks: u32, run_seconds: u64, dependencies: &[&str]) {
        let submission = submission(id, tasks, run_seconds, dependencies);
        self.submit_job(self.now, &submission, run_seconds * SECOND);
    }

    /// Makes a user cancel a job now.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.schedule_user(self.now, id, UserAction::Cancel);
    }

    /// Runs the world for `span` and checks the invariants. Stops at the first violation.
    pub(crate) fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            let next = (self.now + CHECK_INTERVAL).min(end);
            self.run(next);
            self.now = next;
            self.check_invariants();
        }
    }

    /// Runs the world until the condition holds. Returns false if an invariant is violated or
    /// `limit` passes before that.
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

    /// Sends a request of the test itself to one controller. Returns the status and the stage of
    /// the response.
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
        assert!(
            self.run_until(10 * SECOND, is_answered),
            "expected a response to {method} {path} within 10 s"
        );
        let (status, body) = &self.users.probe_responses[&number];
        let stage = body["stage"].as_str().unwrap_or("").to_owned();
        (*status, stage)
    }

    pub(crate) fn probe_submission(
        &mut self,
        controller: usize,
        id: &str,
        dependencies: &[&str],
    ) -> (u16, String) {
        let body = submission(id, 1, 5, dependencies).body();
        self.probe(controller, "POST", "/work", &body)
    }

    /// Whether a controller has confirmed the cancellation of a job to its user.
    pub(crate) fn is_cancel_confirmed(&self, id: &str) -> bool {
        self.users.jobs[id].cancel_confirmed_at.is_some()
    }

    pub(crate) fn stage_on_record(&self, id: &str) -> String {
        let record = self.store.value(&format!("st/job/{id}")).unwrap();
        record["st"].as_str().unwrap().to_owned()
    }

    /// Returns the index of the controller that owns the region of a job's first part.
    pub(crate) fn owner_of(&self, id: &str) -> usize {
        let job = self.store.value(&format!("st/job/{id}")).unwrap();
        let region = job["b"][0][2].as_str().unwrap();
        let record = self.store.value(&format!("st/region/{region}")).unwrap();
        let owner = record["owner"].as_str();
        let mut names = self.settings.iter().map(|s| s.name.as_str());
        names.position(|name| Some(name) == owner).unwrap()
    }

    /// Whether the final stage of every job has been confirmed to its user.
    pub(crate) fn are_all_jobs_final(&self) -> bool {
        self.unfinished_jobs().is_empty()
    }
}

/// Returns a world in which all four jobs are accepted and the first job runs. Tasks of the first
/// job take `run_seconds`.
pub(super) fn world_with_four_jobs(seed: u64, run_seconds: u64) -> World {
    let mut world = World::without_jobs(seed);
    let jobs: [(&str, u64, &[&str]); 4] = [
        (FIRST, run_seconds, &[]),
        (SECOND_JOB, 5, &[FIRST]),
        (THIRD, 5, &[SECOND_JOB]),
        (FOURTH, 5, &[FIRST, SECOND_JOB]),
    ];
    for (id, run_seconds, dependencies) in jobs {
        world.submit(id, 2, run_seconds, dependencies);
        assert!(
            world.run_until(20 * SECOND, |world| world.users.jobs[id].accepted),
            "seed {seed}: expected {id} to be accepted within 20 s"
        );
    }
    let running = |world: &World| world.users.jobs[FIRST].starts == 2;
    assert!(
        world.run_until(60 * SECOND, running),
        "seed {seed}: expected both tasks of the first job to start within 60 s"
    );
    world
}
