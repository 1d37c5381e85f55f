//! Test with thousands of machines that are rented in the first minutes, run tasks, and change
//! owners.

use crate::simulation::days::{at, Plan};
use crate::simulation::faults::Fault;
use crate::simulation::runner::CHECK_INTERVAL;
use crate::simulation::users::Submission;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

const MACHINES: usize = 4_000;
const JOBS: u32 = 40;
/// Time by which all jobs must have finished and all machines must have been released.
const DEADLINE: Micros = 600 * SECOND;

/// Result of the day.
struct ScaleResult {
    world: World,
    peak_machines: usize,
}

fn plan() -> Plan {
    Plan {
        faults: vec![
            at(60.0, Fault::RestartLeader),
            at(80.0, Fault::CrashController(1)),
            at(81.0, Fault::CrashController(2)),
            at(100.0, Fault::CrashController(0)),
            at(100.0, Fault::CrashController(1)),
            at(100.0, Fault::CrashController(2)),
        ],
        jobs: 0,
        end: 130 * SECOND,
        ..Plan::without_faults(7)
    }
}

/// Returns a world without quota limits, and with enough sockets and cloud calls for [`MACHINES`].
fn world_with_large_capacity(plan: &Plan) -> World {
    let mut world = World::new(plan);
    world.cloud.set_capacity(MACHINES);
    for settings in &mut world.settings {
        settings.max_sockets = 3_500;
        settings.cloud_request_rate = 10.0;
        for team in &mut settings.teams {
            team.limit = None;
        }
    }
    world
}

/// Submits enough jobs for all machines after 1 s, and then one job every 2 s from 44 s on.
fn submit_jobs(world: &mut World, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for index in 0..JOBS {
        let submission = Submission {
            tasks: MACHINES as u32 / 10,
            cpus: 3.5,
            machine_types: Some(&["box"]),
            spot_allowed: true,
            expected_seconds: 240,
            ..Submission::batch(&format!("req-{:06}", 100 + index))
        };
        let run_time = rng.u64(20..40) * SECOND;
        let seconds = match index {
            0..12 => 1,
            _ => 20 + u64::from(index) * 2,
        };
        world.submit_job(seconds * SECOND, &submission, run_time);
    }
}

fn run_at_scale() -> ScaleResult {
    let plan = plan();
    fastrand::seed(plan.seed);
    let mut world = world_with_large_capacity(&plan);
    submit_jobs(&mut world, plan.seed);
    let mut peak_machines = 0;
    let mut until = CHECK_INTERVAL;
    while until <= DEADLINE && world.violations.is_empty() {
        world.run(until);
        world.check_cancelled();
        world.check_answered();
        peak_machines = peak_machines.max(world.workers.len());
        let is_over = until > plan.end && world.unfinished_jobs().is_empty();
        if is_over && world.workers.is_empty() {
            break;
        }
        until += CHECK_INTERVAL;
    }
    ScaleResult {
        world,
        peak_machines,
    }
}

/// Guards against limits of scale, such as oversized transactions, lost machines and takeovers that
/// do not complete. The leader restarts, then two controllers crash, then all three. The invariants
/// must hold, all jobs must finish, and every machine must be recorded, used and released.
#[test]
fn four_thousand_machines_are_rented_used_and_released() {
    let ScaleResult {
        world,
        peak_machines,
    } = run_at_scale();
    assert!(
        world.violations.is_empty(),
        "expected no violations, got {:?}",
        world.violations
    );
    assert!(
        peak_machines >= MACHINES,
        "expected at least {MACHINES} machines at the peak, got {peak_machines}"
    );
    let unfinished = world.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "expected all jobs to finish, unfinished {unfinished:?}"
    );
    let observations = &world.observations;
    assert!(
        observations.region_acquisitions >= 9,
        "expected at least 9 acquisitions of regions: {observations:?}"
    );
    assert_eq!(
        observations.oversized_transactions, 0,
        "expected no oversized transactions"
    );
    assert!(
        world.workers.is_empty(),
        "expected all machines to be released, {} remain",
        world.workers.len()
    );
}
