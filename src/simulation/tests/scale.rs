//! Thousands of machines: rented in the first minutes, worked on, and taken over.

use crate::simulation::days::{at, Plan};
use crate::simulation::faults::Fault;
use crate::simulation::runner::CHECK_INTERVAL;
use crate::simulation::users::Submission;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

const MACHINES: usize = 4_000;
const JOBS: u32 = 40;
/// By then all work must have ended.
const DEADLINE: Micros = 600 * SECOND;

/// What a day with so many machines came to.
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
        ..Plan::quiet(7)
    }
}

/// A world without limits, and with enough sockets and calls for so many machines.
fn world_of_scale(plan: &Plan) -> World {
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

/// Submits enough work for all machines in the first minute, and steady work after it.
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

fn play_at_scale() -> ScaleResult {
    let plan = plan();
    fastrand::seed(plan.seed);
    let mut world = world_of_scale(&plan);
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

/// Machines by the thousand: the leader ends, then two controllers, then all; the rules
/// hold, all work ends, and every machine is on record, used and returned.
#[test]
fn four_thousand_machines_are_rented_used_and_returned() {
    let ScaleResult {
        world,
        peak_machines,
    } = play_at_scale();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(
        peak_machines >= MACHINES,
        "{peak_machines} machines at the most"
    );
    let unfinished = world.unfinished_jobs();
    assert!(unfinished.is_empty(), "{unfinished:?}");
    let seen = &world.observations;
    assert!(seen.region_acquisitions >= 9, "{seen:?}");
    assert_eq!(seen.oversized_transactions, 0);
    assert!(world.workers.is_empty(), "{} left", world.workers.len());
}
