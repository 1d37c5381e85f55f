//! Tests of jobs that are partly done when the machine of the rest is lost.

use crate::simulation::days::Plan;
use crate::simulation::faults::Fault;
use crate::simulation::runner::{log_if_requested, CHECK_INTERVAL};
use crate::simulation::users::{JobKind, Submission, UserAction};
use crate::simulation::workers::task_id;
use crate::simulation::workload::Workload;
use crate::simulation::world::World;
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

/// The job that keeps a machine of another region up.
const SERVICE: &str = "req-000001";
/// A job that fills that machine until it is cancelled.
const FILLER: &str = "req-000003";
/// The job that loses its machine.
const ARRAY: &str = "req-000002";
/// Headroom with which no machine is surplus.
const KEEPS_ALL_MACHINES: f64 = 100.0;
/// Time by which the array must run.
const ARRAY_STARTED_BY: Micros = 80 * SECOND;
/// Time after the loss of the machine by which the rest of the array must be done. It includes the
/// machine's lease of 16 s, and the 90 s after which a wait beside free capacity is a violation.
const DONE_WITHIN: Micros = 150 * SECOND;

/// Returns a service that takes part of a machine of four processors.
fn service(id: &str, cpus: f64) -> Submission {
    Submission {
        kind: JobKind::Service,
        cpus,
        ..Submission::batch(id)
    }
}

/// Returns an array that must stay in one zone and whose eight tasks fill a machine.
fn array_in_one_zone() -> Submission {
    Submission {
        tasks: 8,
        cpus: 0.5,
        single_zone: true,
        expected_seconds: 10,
        ..Submission::batch(ARRAY)
    }
}

/// Returns an array of many tasks that may run anywhere.
fn large_array() -> Submission {
    Submission {
        tasks: 64,
        cpus: 0.06,
        memory_gb: 0.1,
        single_zone: false,
        ..array_in_one_zone()
    }
}

/// Returns a world with two machines in regions of their own: one with the services, and one on which
/// the array runs, because it doesn't fit beside the services. Its tasks end in no order.
fn world_with_running_array(seed: u64, services: &[Submission], array: &Submission) -> World {
    world_with_headroom(seed, services, array, None)
}

/// As [`world_with_running_array`], with another headroom of capacity if one is given.
fn world_with_headroom(
    seed: u64,
    services: &[Submission],
    array: &Submission,
    headroom: Option<f64>,
) -> World {
    let plan = Plan {
        jobs: 0,
        workload: Workload::StaggeredTasks,
        ..Plan::without_faults(seed)
    };
    log_if_requested();
    fastrand::seed(seed);
    let mut world = World::new(&plan);
    for settings in &mut world.settings {
        let operator = &mut settings.operator;
        operator.headroom = headroom.unwrap_or(operator.headroom);
    }
    world.cloud.set_capacity(2);
    for (index, service) in services.iter().enumerate() {
        world.submit_job(SECOND + index as Micros * 20 * SECOND, service, 0);
    }
    world.submit_job(40 * SECOND, array, 2 * SECOND);
    run_until(&mut world, ARRAY_STARTED_BY, |world| {
        machine_of(world, ARRAY).is_some()
    });
    assert_ne!(machine_of(&world, ARRAY), machine_of(&world, SERVICE));
    world
}

/// Runs until a condition holds. Panics if it doesn't hold by a time.
fn run_until(world: &mut World, end: Micros, condition: impl Fn(&World) -> bool) {
    let mut until = world.now;
    while !condition(world) {
        assert!(until < end, "not reached: {:?}", world.violations);
        until += 100 * MILLISECOND;
        world.run(until);
    }
}

/// Returns a machine on which tasks of a job run.
fn machine_of(world: &World, job: &str) -> Option<String> {
    let is_of_job = |task: &String| task_id(task).0 == job;
    let mut workers = world.live_workers();
    workers
        .find(|(_, worker)| worker.active_tasks().any(|(task, _)| is_of_job(task)))
        .map(|(name, _)| name.clone())
}

/// Loses the array's machine for good once `results` tasks are done. The cloud has no other machine.
fn lose_machine(world: &mut World, results: usize) {
    let end = world.now + 60 * SECOND;
    run_until(world, end, |world| {
        world.users.jobs[ARRAY].results.len() >= results
    });
    world.cloud.set_capacity(0);
    let machine = machine_of(world, ARRAY).unwrap();
    world.workers.get_mut(&machine).unwrap().fail();
}

/// Runs until the array is done and all invariants have held.
fn assert_array_finishes(world: &mut World, case: &str) {
    let end = world.now + DONE_WITHIN;
    let mut until = world.now;
    while until < end && !world.users.jobs[ARRAY].is_final() {
        until += CHECK_INTERVAL;
        world.run(until);
        world.check_invariants();
        let violations = &world.violations;
        assert!(violations.is_empty(), "{case}: {violations:?}");
    }
    let job = &world.users.jobs[ARRAY];
    assert!(
        job.is_final(),
        "{case}: {} of {} tasks done",
        job.results.len(),
        job.tasks
    );
}

/// Guards against an array whose rest never runs again: it must stay in one zone, is partly done, and
/// its region has lost its only machine, while another region has room for the rest alone.
#[test]
fn rest_of_an_array_in_one_zone_moves_to_another_region() {
    for results in [1, 2, 4, 7] {
        let mut world = world_with_running_array(1, &[service(SERVICE, 0.5)], &array_in_one_zone());
        lose_machine(&mut world, results);
        assert_array_finishes(&mut world, &format!("{results} results"));
    }
}

/// The same while the machine of the other region is not surplus, so that its capacity is reported.
#[test]
fn rest_of_an_array_in_one_zone_moves_to_free_capacity() {
    for results in [1, 2, 4, 7] {
        let services = [service(SERVICE, 0.5)];
        let headroom = Some(KEEPS_ALL_MACHINES);
        let mut world = world_with_headroom(1, &services, &array_in_one_zone(), headroom);
        lose_machine(&mut world, results);
        assert_array_finishes(&mut world, &format!("{results} results"));
    }
}

/// Guards against an array whose rest never runs again because its done tasks are scattered: its
/// region has lost its only machine, and the gaps between the other tasks made too many ranges.
#[test]
fn rest_of_an_array_with_scattered_results_moves_to_another_region() {
    for results in [8, 26, 50] {
        let services = [service(SERVICE, 0.5), service(FILLER, 3.5)];
        let mut world = world_with_running_array(1, &services, &large_array());
        lose_machine(&mut world, results);
        world.schedule_user(world.now + SECOND, FILLER, UserAction::Cancel);
        assert_array_finishes(&mut world, &format!("{results} results"));
    }
}

/// Guards against a rest that is lost or runs twice if a controller, the leader or all of them begin
/// anew while it moves.
#[test]
fn rest_of_an_array_survives_restarts_amid_its_move() {
    for seed in 1..=24 {
        let mut world =
            world_with_running_array(seed, &[service(SERVICE, 0.5)], &array_in_one_zone());
        lose_machine(&mut world, [1, 4][seed as usize % 2]);
        // The rest becomes pending and moves in these seconds.
        let delay = 10 * SECOND + seed * 700 * MILLISECOND;
        world.run(world.now + delay);
        let index = seed as usize % CONTROLLERS;
        let fault = match seed % 4 {
            0 => Fault::AllControllersDown(SECOND),
            1 => Fault::RestartLeader,
            2 => Fault::RestartController(index),
            _ => Fault::DelayCommits(4 * SECOND),
        };
        world.inject(fault);
        assert_array_finishes(&mut world, &format!("seed {seed}, {fault:?}"));
    }
}
