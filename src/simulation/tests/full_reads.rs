//! Tests of full reads of many records under the state service's rate limit: controllers that
//! restart become ready within the time for which users retry, and don't disturb the others.

use crate::simulation::days::Plan;
use crate::simulation::faults::Fault;
use crate::simulation::observations::Observations;
use crate::simulation::runner::log_if_requested;
use crate::simulation::users::Submission;
use crate::simulation::world::World;
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{Micros, SECOND};
use serde_json::json;

/// Time for which users retry refused requests.
const USER_RETRY_TIME: Micros = 60 * SECOND;
/// Time for which all controllers are down.
const DOWN_TIME: Micros = 8 * SECOND;
/// Time from the restart to the fault of the state service, which meets the read.
const FAULT_DELAY: Micros = SECOND;
/// Number of records per page.
const PAGE_RECORDS: u32 = 1000;
/// Pages that a reader may request beyond those of the records that the day begins with.
const ADDITIONAL_PAGES: u32 = 2;

/// A job that runs during the restart.
const JOB: &str = "req-000001";
/// A job that ended before the day.
const ENDED_JOB: &str = "req-100017";

/// Which controllers restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    All,
    One,
}

struct Case {
    ended_jobs: u32,
    restart: Restart,
    store_fault: Option<Fault>,
}

/// Returns a world whose state service has many records and runs at the protocol's limits.
fn world_with_ended_jobs(plan: &Plan, ended_jobs: u32) -> World {
    log_if_requested();
    fastrand::seed(plan.seed);
    let mut world = World::new(plan);
    world.store.use_large_pages();
    for number in 0..ended_jobs {
        let key = format!("st/job/req-{:06}", 100_000 + number);
        let record = json!({"st": "d", "t": 1_796_000_000_000_000_u64 + u64::from(number)});
        world.store.seed_record(&key, record);
    }
    world
}

impl World {
    fn is_ready(&mut self, controller: usize) -> bool {
        self.probe(controller, "GET", "/ready", &json!({})).0 == 200
    }

    /// Whether a controller is ready and answers a question about a job.
    fn answers(&mut self, controller: usize, job: &str) -> bool {
        let path = format!("/work/{job}");
        self.is_ready(controller) && self.probe(controller, "GET", &path, &json!({})).0 == 200
    }

    /// Runs until all controllers answer questions about a job, for as long as users retry. Returns
    /// whether they do. The controllers `serving` must be ready throughout.
    fn all_answer_in_time(&mut self, job: &str, serving: &[usize]) -> bool {
        let begun_at = self.now;
        while self.now < begun_at + USER_RETRY_TIME {
            for controller in serving {
                assert!(
                    self.is_ready(*controller),
                    "controller {controller}, which didn't restart, isn't ready at {} µs",
                    self.now
                );
            }
            if (0..CONTROLLERS).all(|controller| self.answers(controller, job)) {
                return true;
            }
            self.run_until(SECOND, |_| false);
            self.check_invariants();
            assert!(self.violations.is_empty(), "{:?}", self.violations);
        }
        false
    }

    fn restart_controllers(&mut self, restart: Restart) {
        match restart {
            Restart::All => {
                self.inject(Fault::AllControllersDown(DOWN_TIME));
                self.run_until(DOWN_TIME + SECOND, |_| false);
            }
            Restart::One => {
                self.inject(Fault::RestartController(0));
                self.run_until(SECOND, |_| false);
            }
        }
    }
}

/// Runs a case on one seed. Returns the observations since the restart.
fn run(case: &Case, seed: u64) -> Observations {
    let plan = Plan {
        jobs: 0,
        ..Plan::without_faults(seed)
    };
    let mut world = world_with_ended_jobs(&plan, case.ended_jobs);
    assert!(
        world.all_answer_in_time(ENDED_JOB, &[]),
        "not all controllers answer 60 s after their first start"
    );
    world.submit_job(world.now, &Submission::batch(JOB), 200 * SECOND);
    world.run_until(30 * SECOND, |_| false);
    assert!(world.users.jobs[JOB].accepted, "the job is not accepted");

    world.observations = Observations::default();
    let (readers, serving): (u32, &[usize]) = match case.restart {
        Restart::All => (CONTROLLERS as u32, &[]),
        Restart::One => (1, &[1, 2]),
    };
    world.restart_controllers(case.restart);
    if let Some(fault) = case.store_fault {
        world.run_until(FAULT_DELAY, |_| false);
        world.inject(fault);
        world.run_until(fault.duration(), |_| false);
    }
    world.faults_end = world.now;
    assert!(
        world.all_answer_in_time(JOB, serving),
        "not all controllers answer 60 s after the faults"
    );
    let pages = world.observations.pages_read;
    let expected = readers * (case.ended_jobs.div_ceil(PAGE_RECORDS) + ADDITIONAL_PAGES);
    assert!(
        pages <= expected,
        "expected each page to be read once, {expected} at most, got {pages}"
    );
    world.observations
}

/// Guards against controllers that never become ready after a restart because reading all records
/// exceeds the state service's rate limit and a refused page discards those read before.
#[test]
fn restarted_controllers_read_many_records_within_the_rate_limit() {
    for (ended_jobs, restart) in [
        (44_000, Restart::All),
        (120_000, Restart::All),
        (120_000, Restart::One),
    ] {
        let case = Case {
            ended_jobs,
            restart,
            store_fault: None,
        };
        let observations = run(&case, u64::from(ended_jobs));
        assert_eq!(
            observations.requests_over_limit, 0,
            "{ended_jobs} records, {restart:?}: expected no request above the limit"
        );
    }
}

/// Guards against a read that is lost, or slows down for long, when the state service refuses,
/// sheds or delays requests in the middle of the read.
#[test]
fn a_fault_of_the_state_service_only_delays_a_full_read() {
    for store_fault in [
        Fault::StoreOutage(40 * SECOND),
        Fault::ShedStoreRequests(60 * SECOND),
        Fault::SlowStore(30 * SECOND),
    ] {
        let case = Case {
            ended_jobs: 60_000,
            restart: Restart::All,
            store_fault: Some(store_fault),
        };
        run(&case, 7);
    }
}
