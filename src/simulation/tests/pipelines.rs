//! Tests of jobs with dependencies: scripted days on which one event happens at a chosen time, most
//! of them on several seeds.

mod script;

use script::{world_with_four_jobs, EXTRA_JOB, FIRST, FOURTH, SECOND_JOB, THIRD};

use crate::fault_injection::{with_disabled, Safeguard};
use crate::simulation::faults::Fault;
use crate::simulation::invariants::Invariant;
use crate::simulation::world::World;
use crate::simulation::{CANCEL_DEADLINE, CONTROLLERS};
use salttiller_records::units::{MILLISECOND, SECOND};
use serde_json::json;

const SEEDS: u64 = 8;

/// Whether the world is in the state in which a disturbance begins.
type Condition = fn(&World) -> bool;

/// A disturbance right after the cancellation of the first job.
pub(crate) struct Disturbance {
    pub name: &'static str,
    starts_when: Condition,
    begin: fn(&mut World),
}

const CANCEL_CONFIRMED: Condition = |world| world.is_cancel_confirmed(FIRST);
const CANCELLED_ON_RECORD: Condition = |world| world.stage_on_record(FIRST) == "c";

/// All disturbances, including none.
pub(crate) const DISTURBANCES: [Disturbance; 4] = [
    Disturbance {
        name: "nothing else",
        starts_when: CANCEL_CONFIRMED,
        begin: |_| {},
    },
    Disturbance {
        name: "the controller that confirmed it dies",
        starts_when: CANCEL_CONFIRMED,
        begin: |world| {
            let controller = world.users.last_cancel_answered_by;
            world.inject(Fault::CrashController(controller));
        },
    },
    Disturbance {
        name: "the leader changes before it is tidied",
        starts_when: CANCELLED_ON_RECORD,
        begin: |world| {
            let dependent_open = world.stage_on_record(SECOND_JOB) == "o";
            assert!(
                dependent_open,
                "expected the leader to change before the cancellation reaches dependents"
            );
            for _ in 0..3 {
                world.inject(Fault::RestartLeader);
                world.run_for(700 * MILLISECOND);
            }
        },
    },
    Disturbance {
        name: "the state service goes out",
        starts_when: CANCEL_CONFIRMED,
        begin: |world| world.inject(Fault::StoreOutage(30 * SECOND)),
    },
];

/// Runs a day on which the first job is cancelled. Returns the violations and the other failures.
pub(crate) fn cancellation(seed: u64, disturbance: &Disturbance) -> Vec<String> {
    let mut world = world_with_four_jobs(seed, 100);
    world.cancel(FIRST);
    if !world.run_until(10 * SECOND, disturbance.starts_when) {
        return vec!["the first job was not cancelled within 10 s".into()];
    }
    (disturbance.begin)(&mut world);
    if !world.run_until(30 * SECOND, CANCEL_CONFIRMED) {
        return vec!["the cancellation was not confirmed within 30 s".into()];
    }
    let confirmed_at = world.users.jobs[FIRST].cancel_confirmed_at.unwrap();
    world.run_for((confirmed_at + CANCEL_DEADLINE + 10 * SECOND).saturating_sub(world.now));
    let violations = world.violations.iter();
    let mut failures: Vec<String> = violations.map(|v| format!("{v:?}")).collect();
    for id in [SECOND_JOB, THIRD, FOURTH] {
        if !world.is_cancel_confirmed(id) {
            failures.push(format!("{id}: cancellation not confirmed"));
        }
        if world.users.jobs[id].starts > 0 {
            failures.push(format!(
                "{id}: started although its dependency was cancelled"
            ));
        }
    }
    if failures.is_empty() {
        world.run_for(60 * SECOND);
        assert_eq!(
            world.stage_on_record(FOURTH),
            "c",
            "seed {seed}: expected the fourth job to be cancelled on record"
        );
    }
    failures
}

/// Guards against jobs that stay open or start after one of their dependencies was cancelled.
/// Direct and indirect dependents must be cancelled in time, also if the controller that confirmed
/// the cancellation crashes, the leader changes or the state service has an outage.
#[test]
fn cancellation_reaches_all_dependents() {
    for disturbance in &DISTURBANCES {
        let name = disturbance.name;
        for seed in 1..=SEEDS {
            let failures = cancellation(seed, disturbance);
            assert!(
                failures.is_empty(),
                "{name}, seed {seed}: expected no failures, got {failures:?}"
            );
        }
    }
}

/// Guards against pipeline tests that cannot fail. They must detect that cancellations do not reach
/// dependents, and that jobs do not wait for their dependencies.
#[test]
fn disabled_pipeline_safeguards_are_detected() {
    for disturbance in &DISTURBANCES {
        let name = disturbance.name;
        let failures = with_disabled(Safeguard::UpstreamCancellation, || {
            cancellation(1, disturbance)
        });
        assert!(
            !failures.is_empty(),
            "{name}: expected failures with UpstreamCancellation disabled"
        );
    }
    let world = with_disabled(Safeguard::DependencyCheck, || {
        let mut world = world_with_four_jobs(1, 30);
        world.run_for(20 * SECOND);
        world
    });
    assert!(
        world.has_violated(Invariant::TooEarly),
        "expected a start before the dependencies were done with DependencyCheck disabled"
    );
}

/// Guards against dependents that never start, or start too early, because their last open
/// dependency ends during a takeover of its region. The owner crashes 200 ms before the
/// dependency's last task ends.
#[test]
pub(crate) fn dependency_ends_during_takeover() {
    let mut seeds_with_takeover = 0;
    for seed in 1..=SEEDS {
        let mut world = world_with_four_jobs(seed, 20);
        let tasks = world.workers.values().flat_map(|worker| &worker.tasks);
        let of_first = tasks.filter(|(id, _)| id.starts_with(FIRST));
        let last_end = of_first.map(|(_, task)| task.ends_at).max().unwrap();
        world.run_for(last_end.saturating_sub(world.now + 200 * MILLISECOND));
        let owner = world.owner_of(FIRST);
        let acquisitions = world.observations.region_acquisitions;
        world.inject(Fault::CrashController(owner));
        assert_eq!(
            world.stage_on_record(FIRST),
            "o",
            "seed {seed}: expected the first job to be open when its owner crashes"
        );
        world.run_for(20 * SECOND);
        seeds_with_takeover += u32::from(world.observations.region_acquisitions > acquisitions);
        assert!(
            world.run_until(90 * SECOND, World::are_all_jobs_final),
            "seed {seed}: expected all jobs to finish within 90 s"
        );
        assert!(
            world.violations.is_empty(),
            "seed {seed}: expected no violations, got {:?}",
            world.violations
        );
        assert!(
            world
                .users
                .jobs
                .values()
                .all(|job| job.completion_confirmed),
            "seed {seed}: expected all jobs to be reported as done"
        );
    }
    assert!(
        seeds_with_takeover > 0,
        "expected a takeover of a region on some seed"
    );
}

/// Guards against a dependent that stays open because it is submitted at the same time as its
/// dependency is cancelled, possibly at another controller. The dependent is accepted, then
/// cancelled, and never starts.
#[test]
pub(crate) fn dependent_submitted_as_its_dependency_is_cancelled() {
    for seed in 1..=SEEDS {
        let mut world = world_with_four_jobs(seed, 100);
        world.cancel(FIRST);
        world.submit(EXTRA_JOB, 1, 5, &[FIRST]);
        let both = |world: &World| {
            world.is_cancel_confirmed(FIRST) && world.is_cancel_confirmed(EXTRA_JOB)
        };
        assert!(
            world.run_until(CANCEL_DEADLINE, both),
            "seed {seed}: expected both cancellations to be confirmed"
        );
        world.run_for(30 * SECOND);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: expected no violations, got {:?}",
            world.violations
        );
        assert_eq!(
            world.users.jobs[EXTRA_JOB].starts, 0,
            "seed {seed}: expected no starts of the dependent"
        );
    }
}

/// Guards against dependents that disagree with the response to a cancellation sent as the job's
/// last task ends. If the response is that the job is done, its dependents must run; otherwise they
/// must be cancelled too. Both responses must occur.
#[test]
pub(crate) fn cancellation_races_with_completion() {
    let (mut completions, mut cancellations) = (0, 0);
    for seed in 1..=6 * SEEDS {
        let mut world = world_with_four_jobs(seed, 20);
        let has_all_results = |world: &World| world.users.jobs[FIRST].results.len() == 2;
        assert!(
            world.run_until(60 * SECOND, has_all_results),
            "seed {seed}: expected all results of the first job within 60 s"
        );
        world.run_for(seed % 8 * 4 * MILLISECOND);
        world.cancel(FIRST);
        assert!(
            world.run_until(90 * SECOND, World::are_all_jobs_final),
            "seed {seed}: expected all jobs to finish within 90 s"
        );
        world.run_for(10 * SECOND);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: expected no violations, got {:?}",
            world.violations
        );
        let done = world.users.jobs[FIRST].completion_confirmed;
        for id in [SECOND_JOB, THIRD, FOURTH] {
            assert_eq!(
                world.users.jobs[id].completion_confirmed, done,
                "seed {seed}: expected {id} to be done if and only if the first job is done"
            );
        }
        completions += u32::from(done);
        cancellations += u32::from(!done);
    }
    assert!(
        completions > 0 && cancellations > 0,
        "expected both outcomes, got {completions} completions and {cancellations} cancellations"
    );
}

/// Submits jobs with consecutive ids, beginning with `req-000101`.
struct Submissions {
    last: u32,
}

/// The response to a submission.
struct SubmissionResponse {
    id: String,
    status: u16,
    stage: String,
}

impl SubmissionResponse {
    fn status_and_stage(&self) -> (u16, &str) {
        (self.status, &self.stage)
    }
}

impl Submissions {
    /// Submits the next job to a controller and returns the response.
    fn send(
        &mut self,
        world: &mut World,
        controller: usize,
        dependencies: &[&str],
    ) -> SubmissionResponse {
        self.last += 1;
        let id = format!("req-{:06}", self.last);
        let (status, stage) = world.probe_submission(controller, &id, dependencies);
        SubmissionResponse { id, status, stage }
    }
}

/// The id of a job that was never submitted.
const UNKNOWN_JOB: &str = "req-777777";

/// Guards against wrong or inconsistent responses to submissions whose dependencies are open, done,
/// cancelled, unknown or malformed. Every controller must return the same responses immediately,
/// although another controller may have accepted the dependency only just before.
#[test]
pub(crate) fn submissions_with_dependencies() {
    let mut world = world_with_four_jobs(3, 20);
    let mut submissions = Submissions { last: 100 };
    for controller in 0..CONTROLLERS {
        check_submissions_with_open_dependencies(&mut world, &mut submissions, controller);
    }
    let is_first_done = |world: &World| world.users.jobs[FIRST].completion_confirmed;
    assert!(
        world.run_until(60 * SECOND, is_first_done),
        "expected the first job to be done within 60 s"
    );
    world.cancel(THIRD);
    assert!(
        world.run_until(60 * SECOND, |world| world.is_cancel_confirmed(THIRD)),
        "expected the cancellation of the third job to be confirmed within 60 s"
    );
    for controller in 0..CONTROLLERS {
        check_submissions_with_final_dependencies(&mut world, &mut submissions, controller);
    }
    world.inject(Fault::StoreOutage(20 * SECOND));
    world.run_for(4 * SECOND);
    for controller in 0..CONTROLLERS {
        let undecided = submissions.send(&mut world, controller, &[UNKNOWN_JOB]);
        assert_eq!(
            undecided.status, 503,
            "expected status 503, since an unknown dependency cannot be verified during an outage"
        );
    }
    assert!(
        world.violations.is_empty(),
        "expected no violations, got {:?}",
        world.violations
    );
}

fn check_submissions_with_open_dependencies(
    world: &mut World,
    submissions: &mut Submissions,
    controller: usize,
) {
    let other = (controller + 1) % CONTROLLERS;
    let open = submissions.send(world, controller, &[FIRST]);
    assert_eq!(
        open.status_and_stage(),
        (201, "queued"),
        "expected a job with an open dependency to be queued"
    );
    // The dependency was accepted just now by a different controller.
    let accepted = submissions.send(world, other, &[&open.id, FIRST]);
    assert_eq!(
        accepted.status_and_stage(),
        (201, "queued"),
        "expected a job to be queued whose dependency another controller has just accepted"
    );
    let unknown = submissions.send(world, controller, &[FIRST, UNKNOWN_JOB]);
    assert_eq!(
        unknown.status, 422,
        "expected an unknown dependency to be refused"
    );
    let path = format!("/work/{}", unknown.id);
    assert_eq!(
        world.probe(controller, "GET", &path, &json!({})).0,
        404,
        "expected the refused job to be unknown"
    );
    let invalid = submissions.send(world, controller, &["nonsense"]);
    assert_eq!(
        invalid.status, 400,
        "expected a malformed dependency to be refused"
    );
}

fn check_submissions_with_final_dependencies(
    world: &mut World,
    submissions: &mut Submissions,
    controller: usize,
) {
    let other = (controller + 1) % CONTROLLERS;
    let done = submissions.send(world, controller, &[FIRST]);
    assert_eq!(
        done.status, 201,
        "expected a job whose dependency is done to be accepted"
    );
    let cancelled = submissions.send(world, controller, &[THIRD, FIRST]);
    assert_eq!(
        cancelled.status_and_stage(),
        (201, "cancelled"),
        "expected a job with a cancelled dependency to be cancelled"
    );
    let upstream = submissions.send(world, other, &[&cancelled.id]);
    assert_eq!(
        upstream.status_and_stage(),
        (201, "cancelled"),
        "expected a job to be cancelled whose dependency was cancelled with its own dependency"
    );
    let id = upstream.id.as_str();
    let path = format!("/work/{id}");
    let abort = format!("/work/{id}/abort");
    for any in 0..CONTROLLERS {
        assert_eq!(world.probe(any, "GET", &path, &json!({})).1, "cancelled");
        assert_eq!(world.probe(any, "POST", &abort, &json!({})).1, "cancelled");
        // A repeated submission refers to the existing job, even if its dependencies differ.
        assert_eq!(world.probe_submission(any, id, &[FIRST]).1, "cancelled");
    }
}

/// Guards against a job that does not start because its last dependency ends during an outage of
/// the state service. The job must not start during the outage, and must start within 20 s after
/// it.
#[test]
pub(crate) fn job_becomes_ready_during_outage() {
    for seed in 1..=SEEDS {
        let mut world = world_with_four_jobs(seed, 20);
        world.run_for(8 * SECOND);
        world.inject(Fault::StoreOutage(20 * SECOND));
        world.run_for(20 * SECOND);
        assert_eq!(
            world.users.jobs[FIRST].results.len(),
            2,
            "seed {seed}: expected the first job to end during the outage"
        );
        assert_eq!(
            world.users.jobs[SECOND_JOB].starts, 0,
            "seed {seed}: expected no starts during the outage"
        );
        let started = |world: &World| world.users.jobs[SECOND_JOB].starts == 2;
        assert!(
            world.run_until(20 * SECOND, started),
            "seed {seed}: expected the second job to start within 20 s after the outage"
        );
        assert!(
            world.run_until(60 * SECOND, World::are_all_jobs_final),
            "seed {seed}: expected all jobs to finish within 60 s"
        );
        assert!(
            world.violations.is_empty(),
            "seed {seed}: expected no violations, got {:?}",
            world.violations
        );
    }
}

/// Guards against jobs that occupy resources while they wait for their dependencies. No machine is
/// rented for a waiting job, and other jobs of its team can use the team's whole limit.
#[test]
pub(crate) fn waiting_job_uses_no_resources() {
    let machines = |with_waiting: bool| {
        let mut world = World::without_jobs(5);
        world.submit(FIRST, 1, 60, &[]);
        assert!(
            world.run_until(20 * SECOND, |world| world.users.jobs[FIRST].accepted),
            "expected the first job to be accepted within 20 s"
        );
        if with_waiting {
            world.submit(SECOND_JOB, 8, 10, &[FIRST]);
        }
        world.run_for(30 * SECOND);
        let rented = world.cloud.machines_rented();
        // Together with the first job, seven tasks reach the team's limit of eight CPUs.
        world.submit(EXTRA_JOB, 7, 15, &[]);
        let running = |world: &World| world.users.jobs[EXTRA_JOB].starts == 7;
        assert!(
            world.run_until(30 * SECOND, running),
            "expected seven tasks to start while the other job waits"
        );
        assert!(
            world.run_until(200 * SECOND, World::are_all_jobs_final),
            "expected all jobs to finish within 200 s"
        );
        assert!(
            world.violations.is_empty(),
            "expected no violations, got {:?}",
            world.violations
        );
        rented
    };
    assert_eq!(
        machines(true),
        machines(false),
        "expected no machine to be rented for the waiting job"
    );
}
