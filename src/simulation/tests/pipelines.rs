//! Jobs that need others: scripted days on which one thing happens at one moment, each played on
//! several seeds.

mod script;

use script::{four_jobs, FIRST, FOURTH, LATE, SECOND_JOB, THIRD};

use crate::fault_injection::{with_disabled, Safeguard};
use crate::simulation::faults::Fault;
use crate::simulation::invariants::Rule;
use crate::simulation::world::World;
use crate::simulation::{CANCEL_DEADLINE, CONTROLLERS};
use salttiller_records::units::{MILLISECOND, SECOND};
use serde_json::json;

const SEEDS: u64 = 8;

/// Whether the moment has come at which a disturbance begins.
type Moment = fn(&World) -> bool;

/// What befalls the world right after the first job is cancelled.
pub(crate) struct Disturbance {
    pub name: &'static str,
    moment: Moment,
    begin: fn(&mut World),
}

const CONFIRMED: Moment = |world| world.is_cancel_confirmed(FIRST);
const ON_RECORD: Moment = |world| world.stage_on_record(FIRST) == "c";

/// All disturbances.
pub(crate) const DISTURBANCES: [Disturbance; 4] = [
    Disturbance {
        name: "nothing else",
        moment: CONFIRMED,
        begin: |_| {},
    },
    Disturbance {
        name: "the controller that confirmed it dies",
        moment: CONFIRMED,
        begin: |world| {
            let controller = world.users.last_cancel_answered_by;
            world.inject(Fault::CrashController(controller));
        },
    },
    Disturbance {
        name: "the leader changes before it is tidied",
        moment: ON_RECORD,
        begin: |world| {
            let dependent_open = world.stage_on_record(SECOND_JOB) == "o";
            assert!(dependent_open, "cascaded before the leader could change");
            for _ in 0..3 {
                world.inject(Fault::RestartLeader);
                world.run_for(700 * MILLISECOND);
            }
        },
    },
    Disturbance {
        name: "the state service goes out",
        moment: CONFIRMED,
        begin: |world| world.inject(Fault::StoreOutage(30 * SECOND)),
    },
];

/// Plays a cancellation of the first job; the violations, and what else went wrong.
pub(crate) fn cancellation(seed: u64, disturbance: &Disturbance) -> Vec<String> {
    let mut world = four_jobs(seed, 100);
    world.cancel(FIRST);
    if !world.run_until(10 * SECOND, disturbance.moment) {
        return vec!["never cancelled".into()];
    }
    (disturbance.begin)(&mut world);
    if !world.run_until(30 * SECOND, CONFIRMED) {
        return vec!["never confirmed".into()];
    }
    let confirmed_at = world.users.jobs[FIRST].cancel_confirmed_at.unwrap();
    world.run_for((confirmed_at + CANCEL_DEADLINE + 10 * SECOND).saturating_sub(world.now));
    let violations = world.violations.iter();
    let mut wrong: Vec<String> = violations.map(|v| format!("{v:?}")).collect();
    for id in [SECOND_JOB, THIRD, FOURTH] {
        if !world.is_cancel_confirmed(id) {
            wrong.push(format!("{id} isn't cancelled"));
        }
        if world.users.jobs[id].starts > 0 {
            wrong.push(format!("{id} was started"));
        }
    }
    if wrong.is_empty() {
        world.run_for(60 * SECOND);
        assert_eq!(
            world.stage_on_record(FOURTH),
            "c",
            "seed {seed}: never cascaded"
        );
    }
    wrong
}

/// What needs a cancelled job, directly or through others, is cancelled in time, whatever
/// becomes of the controller that confirmed it, the leader and the state service.
#[test]
fn a_cancellation_reaches_all_dependents() {
    for disturbance in &DISTURBANCES {
        let name = disturbance.name;
        for seed in 1..=SEEDS {
            let wrong = cancellation(seed, disturbance);
            assert!(wrong.is_empty(), "{name}, seed {seed}: {wrong:?}");
        }
    }
}

/// The tests above notice if cancellations don't reach dependents, or nothing waits.
#[test]
fn pipelines_without_their_safeguards_go_wrong() {
    for disturbance in &DISTURBANCES {
        let name = disturbance.name;
        let wrong = with_disabled(Safeguard::UpstreamCancellation, || {
            cancellation(1, disturbance)
        });
        assert!(!wrong.is_empty(), "{name}: not noticed");
    }
    let world = with_disabled(Safeguard::DependencyCheck, || {
        let mut world = four_jobs(1, 30);
        world.run_for(20 * SECOND);
        world
    });
    assert!(world.has_violated(Rule::TooEarly));
}

/// The last needed job ends while its region changes hands: what waited for it starts all
/// the same, and no sooner.
#[test]
pub(crate) fn a_needed_job_ends_in_a_takeover() {
    let mut in_takeover = 0;
    for seed in 1..=SEEDS {
        let mut world = four_jobs(seed, 20);
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
            "seed {seed}: done before"
        );
        world.run_for(20 * SECOND);
        in_takeover += u32::from(world.observations.region_acquisitions > acquisitions);
        assert!(
            world.run_until(90 * SECOND, World::are_all_jobs_final),
            "seed {seed}"
        );
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        assert!(
            world
                .users
                .jobs
                .values()
                .all(|job| job.completion_confirmed),
            "seed {seed}"
        );
    }
    assert!(in_takeover > 0);
}

/// A job is cancelled and one that needs it is submitted in the same instant, at any
/// controllers: accepted, and cancelled in the end.
#[test]
pub(crate) fn a_dependent_submitted_as_its_need_is_cancelled() {
    for seed in 1..=SEEDS {
        let mut world = four_jobs(seed, 100);
        world.cancel(FIRST);
        world.submit(LATE, 1, 5, &[FIRST]);
        let both =
            |world: &World| world.is_cancel_confirmed(FIRST) && world.is_cancel_confirmed(LATE);
        assert!(world.run_until(CANCEL_DEADLINE, both), "seed {seed}");
        world.run_for(30 * SECOND);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        assert_eq!(world.users.jobs[LATE].starts, 0, "seed {seed}");
    }
}

/// A job is cancelled as its last task ends: if the response is that it is done, what needs
/// it goes on, else that is cancelled too. Both responses must occur.
#[test]
pub(crate) fn a_cancellation_that_loses_to_the_end() {
    let (mut completions, mut cancellations) = (0, 0);
    for seed in 1..=6 * SEEDS {
        let mut world = four_jobs(seed, 20);
        let ended = |world: &World| world.users.jobs[FIRST].results.len() == 2;
        assert!(world.run_until(60 * SECOND, ended), "seed {seed}");
        world.run_for(seed % 8 * 4 * MILLISECOND);
        world.cancel(FIRST);
        assert!(
            world.run_until(90 * SECOND, World::are_all_jobs_final),
            "seed {seed}"
        );
        world.run_for(10 * SECOND);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        let done = world.users.jobs[FIRST].completion_confirmed;
        for id in [SECOND_JOB, THIRD, FOURTH] {
            assert_eq!(
                world.users.jobs[id].completion_confirmed, done,
                "seed {seed}: {id}"
            );
        }
        completions += u32::from(done);
        cancellations += u32::from(!done);
    }
    assert!(
        completions > 0 && cancellations > 0,
        "{completions} completions, {cancellations} cancellations"
    );
}

/// Submissions of jobs numbered from `req-000101`.
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
    /// Submits the next job to a controller.
    fn send(&mut self, world: &mut World, controller: usize, needs: &[&str]) -> SubmissionResponse {
        self.last += 1;
        let id = format!("req-{:06}", self.last);
        let (status, stage) = world.probe_submission(controller, &id, needs);
        SubmissionResponse { id, status, stage }
    }
}

/// The id of a job that was never submitted.
const UNKNOWN: &str = "req-777777";

/// Submissions that need jobs in any state, and status queries for them at every controller
/// right away.
#[test]
pub(crate) fn submissions_that_need_others() {
    let mut world = four_jobs(3, 20);
    let mut submissions = Submissions { last: 100 };
    for controller in 0..CONTROLLERS {
        submit_needing_open_jobs(&mut world, &mut submissions, controller);
    }
    let is_first_done = |world: &World| world.users.jobs[FIRST].completion_confirmed;
    assert!(world.run_until(60 * SECOND, is_first_done));
    world.cancel(THIRD);
    assert!(world.run_until(60 * SECOND, |world| world.is_cancel_confirmed(THIRD)));
    for controller in 0..CONTROLLERS {
        submit_needing_final_jobs(&mut world, &mut submissions, controller);
    }
    world.inject(Fault::StoreOutage(20 * SECOND));
    world.run_for(4 * SECOND);
    for controller in 0..CONTROLLERS {
        let undecided = submissions.send(&mut world, controller, &[UNKNOWN]);
        assert_eq!(undecided.status, 503, "can't be decided in an outage");
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

fn submit_needing_open_jobs(world: &mut World, submissions: &mut Submissions, controller: usize) {
    let other = (controller + 1) % CONTROLLERS;
    let open = submissions.send(world, controller, &[FIRST]);
    assert_eq!(open.status_and_stage(), (201, "queued"), "open");
    // Accepted a moment ago by one controller, named at another.
    let accepted = submissions.send(world, other, &[&open.id, FIRST]);
    assert_eq!(accepted.status_and_stage(), (201, "queued"), "accepted");
    let unknown = submissions.send(world, controller, &[FIRST, UNKNOWN]);
    assert_eq!(unknown.status, 422, "never accepted");
    let path = format!("/work/{}", unknown.id);
    assert_eq!(world.probe(controller, "GET", &path, &json!({})).0, 404);
    let invalid = submissions.send(world, controller, &["nonsense"]);
    assert_eq!(invalid.status, 400);
}

fn submit_needing_final_jobs(world: &mut World, submissions: &mut Submissions, controller: usize) {
    let other = (controller + 1) % CONTROLLERS;
    let done = submissions.send(world, controller, &[FIRST]);
    assert_eq!(done.status, 201, "done");
    let cancelled = submissions.send(world, controller, &[THIRD, FIRST]);
    assert_eq!(cancelled.status_and_stage(), (201, "cancelled"));
    let upstream = submissions.send(world, other, &[&cancelled.id]);
    assert_eq!(upstream.status_and_stage(), (201, "cancelled"), "upstream");
    let id = upstream.id.as_str();
    let path = format!("/work/{id}");
    let abort = format!("/work/{id}/abort");
    for any in 0..CONTROLLERS {
        assert_eq!(world.probe(any, "GET", &path, &json!({})).1, "cancelled");
        assert_eq!(world.probe(any, "POST", &abort, &json!({})).1, "cancelled");
        // A repeat, also one that names other jobs, is the known job.
        assert_eq!(world.probe_submission(any, id, &[FIRST]).1, "cancelled");
    }
}

/// A job becomes ready in an outage: it starts soon after that.
#[test]
pub(crate) fn readiness_in_an_outage() {
    for seed in 1..=SEEDS {
        let mut world = four_jobs(seed, 20);
        world.run_for(8 * SECOND);
        world.inject(Fault::StoreOutage(20 * SECOND));
        world.run_for(20 * SECOND);
        assert_eq!(
            world.users.jobs[FIRST].results.len(),
            2,
            "seed {seed}: not ended in it"
        );
        assert_eq!(world.users.jobs[SECOND_JOB].starts, 0, "seed {seed}");
        let started = |world: &World| world.users.jobs[SECOND_JOB].starts == 2;
        assert!(
            world.run_until(20 * SECOND, started),
            "seed {seed}: not started"
        );
        assert!(
            world.run_until(60 * SECOND, World::are_all_jobs_final),
            "seed {seed}"
        );
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
    }
}

/// A job that waits takes nothing: no machine is rented for it, and its team may use its
/// whole limit meanwhile.
#[test]
pub(crate) fn a_waiting_job_holds_nothing() {
    let machines = |with_waiting: bool| {
        let mut world = World::empty(5);
        world.submit(FIRST, 1, 60, &[]);
        assert!(world.run_until(20 * SECOND, |world| world.users.jobs[FIRST].accepted));
        if with_waiting {
            world.submit(SECOND_JOB, 8, 10, &[FIRST]);
        }
        world.run_for(30 * SECOND);
        let rented = world.cloud.machines_rented();
        // Seven tasks beside the first use up the limit of eight processors.
        world.submit(LATE, 7, 15, &[]);
        let running = |world: &World| world.users.jobs[LATE].starts == 7;
        assert!(
            world.run_until(30 * SECOND, running),
            "the limit isn't free"
        );
        assert!(world.run_until(200 * SECOND, World::are_all_jobs_final));
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        rented
    };
    assert_eq!(machines(true), machines(false));
}
