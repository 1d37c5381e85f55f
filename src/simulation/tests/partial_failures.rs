//! What the safeguards against partial failures are worth, and what they cost on other days.

use crate::fault_injection::Safeguard;
use crate::simulation::days::{self, at, Plan};
use crate::simulation::faults::Fault;
use crate::simulation::runner::{play, play_without};
use crate::simulation::users::Submission;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

/// Tasks go on running on a region whose owner loses its workers: fewer leases expire than
/// without the release. It is released once, not back and forth.
#[test]
fn a_region_that_its_workers_do_not_reach_is_released() {
    let day = days::named("a controller is cut off from its workers alone");
    let (mut with_release, mut without_release) = (0, 0);
    for seed in 1..=20 {
        let plan = day.plan(seed);
        let world = play(&plan);
        with_release += expired_leases(&world, seed, 2);
        let world = play_without(Safeguard::UnreachedRelease, &plan);
        without_release += expired_leases(&world, seed, 0);
    }
    assert!(
        with_release * 2 < without_release,
        "leases that expired with tasks: {with_release} with the release, {without_release} without"
    );
}

/// Leases that expired with tasks on a day with no violation and at most so many releases.
fn expired_leases(world: &World, seed: u64, most_releases: u32) -> u32 {
    let violations = &world.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    let releases = world.observations.regions_released;
    assert!(
        releases <= most_releases,
        "seed {seed}: {releases} releases"
    );
    world.observations.leases_expired_with_tasks
}

/// No region is released on a quiet day, nor when controllers end, nor in an outage.
#[test]
pub(crate) fn nothing_is_released_without_need() {
    for faults in [
        vec![],
        vec![
            at(40.0, Fault::CrashController(1)),
            at(60.0, Fault::RestartLeader),
        ],
        vec![at(40.0, Fault::StoreOutage(20 * SECOND))],
        vec![at(40.0, Fault::PartitionFromPeers(1, 30 * SECOND))],
        vec![at(40.0, Fault::PauseController(1, 3 * SECOND))],
    ] {
        for seed in 1..=4 {
            let world = play(&Plan {
                faults: faults.clone(),
                end: 200 * SECOND,
                ..Plan::quiet(seed)
            });
            let violations = &world.violations;
            assert!(
                violations.is_empty(),
                "{faults:?}, seed {seed}: {violations:?}"
            );
            let released = world.observations.regions_released;
            assert_eq!(released, 0, "{faults:?}, seed {seed}");
        }
    }
}

/// While machines come up late or never, what is rented beyond the work is bounded, and all
/// work still ends.
#[test]
fn machines_that_come_up_badly_are_rented_by_probes() {
    let (mut with_probes, mut without_probes) = (0, 0);
    for seed in 1..=12 {
        let plan = Plan {
            faults: vec![at(1.0, Fault::SlowProvisioning(150 * SECOND))],
            ..Plan::quiet(seed)
        };
        with_probes += machines_rented(&play(&plan), seed);
        let world = play_without(Safeguard::DegradedProvisioning, &plan);
        without_probes += machines_rented(&world, seed);
    }
    assert!(
        with_probes * 10 < without_probes * 9,
        "rented: {with_probes} with probes, {without_probes} without"
    );
}

/// Machines rented on a day on which some came up badly and all work ended.
fn machines_rented(world: &World, seed: u64) -> usize {
    let violations = &world.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    let impaired = world.observations.impaired_boots;
    assert!(impaired > 0, "seed {seed}: none came up badly");
    let unfinished = world.unfinished_jobs();
    assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    world.cloud.machines_rented()
}

/// A flood of one-task jobs of a team without guarantee and limit: all are served, and each
/// costs three changes of records: accepted, bound, done. A few are moved to another region
/// once, which is a fourth.
#[test]
pub(crate) fn a_one_task_job_costs_three_changes() {
    let plan = Plan {
        jobs: 0,
        end: 60 * SECOND,
        ..Plan::quiet(3)
    };
    fastrand::seed(plan.seed);
    let mut world = World::new(&plan);
    let jobs: Vec<String> = (0..240).map(|i| format!("req-{:06}", 500 + i)).collect();
    for (index, id) in jobs.iter().enumerate() {
        let submission = Submission {
            team: "guest",
            priority: "low",
            cpus: 0.25,
            memory_gb: 0.5,
            image_gb: 0.5,
            spot_allowed: true,
            expected_seconds: 6,
            ..Submission::batch(id)
        };
        let at = 5 * SECOND + index as Micros * SECOND / 8;
        world.submit_job(at, &submission, 6 * SECOND);
    }
    world.run(200 * SECOND);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let unfinished = world.unfinished_jobs();
    assert!(unfinished.is_empty(), "{unfinished:?}");
    let changes = world.store.changes().iter();
    let keys: Vec<&str> = changes.map(|change| change.key.as_str()).collect();
    let mut moved = 0;
    for id in &jobs {
        let own = keys.iter().filter(|key| key.contains(id.as_str())).count();
        assert!((3..=4).contains(&own), "{id}: {own} changes");
        moved += own - 3;
    }
    assert!(moved * 10 < jobs.len(), "{moved} of {} moved", jobs.len());
    let of_quotas = keys.iter().filter(|key| key.contains("quota")).count();
    assert_eq!(of_quotas, 0);
}
