//! Tests of the effect of the safeguards against partial failures, and of their cost on other days.

use crate::fault_injection::Safeguard;
use crate::simulation::days::{self, at, Plan};
use crate::simulation::faults::Fault;
use crate::simulation::runner::{run_day, run_day_without};
use crate::simulation::users::Submission;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

/// Guards against tasks that stop because the owner of their region has lost the connection to its
/// workers while it still reaches the state service and its peers. The owner must release the
/// region, so that fewer than half as many worker leases expire as without the release. The region
/// must not move back and forth between owners.
#[test]
fn region_unreachable_by_its_workers_is_released() {
    let day = days::named("a controller is cut off from its workers alone");
    let (mut with_release, mut without_release) = (0, 0);
    for seed in 1..=20 {
        let plan = day.plan(seed);
        let world = run_day(&plan);
        with_release += expired_leases(&world, seed, 2);
        let world = run_day_without(Safeguard::UnreachableOwnerRelease, &plan);
        without_release += expired_leases(&world, seed, 0);
    }
    assert!(
        with_release * 2 < without_release,
        "expected less than half as many expired leases of machines with tasks: \
         {with_release} with the release, {without_release} without"
    );
}

/// Returns the number of worker leases that expired with tasks on the machine. Asserts that the day
/// has no violation and at most `max_releases` releases of regions.
fn expired_leases(world: &World, seed: u64, max_releases: u32) -> u32 {
    let violations = &world.violations;
    assert!(
        violations.is_empty(),
        "seed {seed}: expected no violations, got {violations:?}"
    );
    let releases = world.observations.regions_released;
    assert!(
        releases <= max_releases,
        "seed {seed}: expected at most {max_releases} releases, got {releases}"
    );
    world.observations.leases_expired_with_tasks
}

/// Guards against needless releases: no region is released on a day without faults, when
/// controllers crash or restart, during an outage of the state service, or while a controller is
/// paused for 3 s or partitioned from its peers.
#[test]
pub(crate) fn no_region_is_released_needlessly() {
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
            let world = run_day(&Plan {
                faults: faults.clone(),
                end: 200 * SECOND,
                ..Plan::without_faults(seed)
            });
            let violations = &world.violations;
            assert!(
                violations.is_empty(),
                "{faults:?}, seed {seed}: expected no violations, got {violations:?}"
            );
            let released = world.observations.regions_released;
            assert_eq!(
                released, 0,
                "{faults:?}, seed {seed}: expected no released regions"
            );
        }
    }
}

/// Guards against unbounded scale-out while new machines boot late or never. Probe rentals must
/// keep the number of rented machines below 90 % of the number without them, and all jobs must
/// finish.
#[test]
fn degraded_provisioning_rents_probes() {
    let (mut with_probes, mut without_probes) = (0, 0);
    for seed in 1..=12 {
        let plan = Plan {
            faults: vec![at(1.0, Fault::SlowProvisioning(150 * SECOND))],
            ..Plan::without_faults(seed)
        };
        with_probes += machines_rented(&run_day(&plan), seed);
        let world = run_day_without(Safeguard::DegradedProvisioning, &plan);
        without_probes += machines_rented(&world, seed);
    }
    assert!(
        with_probes * 10 < without_probes * 9,
        "expected fewer than 90 % as many rented machines: \
         {with_probes} with probes, {without_probes} without"
    );
}

/// Returns the number of machines rented on a day. Asserts that some machines booted late or never
/// and that all jobs finished without a violation.
fn machines_rented(world: &World, seed: u64) -> usize {
    let violations = &world.violations;
    assert!(
        violations.is_empty(),
        "seed {seed}: expected no violations, got {violations:?}"
    );
    let impaired = world.observations.impaired_boots;
    assert!(
        impaired > 0,
        "seed {seed}: expected machines that boot late or never"
    );
    let unfinished = world.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "seed {seed}: expected all jobs to finish, unfinished {unfinished:?}"
    );
    world.cloud.machines_rented()
}

/// Guards against additional writes for each job, which would lower the rate of jobs that the state
/// service can sustain. Submits a burst of one-task jobs of a team without guarantee and limit. All
/// jobs must finish, and each may cost three changes of records: accepted, bound and done. Fewer
/// than a tenth of the jobs may be rebound to another region once, which is a fourth change.
#[test]
pub(crate) fn one_task_job_costs_three_record_changes() {
    let plan = Plan {
        jobs: 0,
        end: 60 * SECOND,
        ..Plan::without_faults(3)
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
    assert!(
        world.violations.is_empty(),
        "expected no violations, got {:?}",
        world.violations
    );
    let unfinished = world.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "expected all jobs to finish, unfinished {unfinished:?}"
    );
    let changes = world.store.changes().iter();
    let keys: Vec<&str> = changes.map(|change| change.key.as_str()).collect();
    let mut rebound = 0;
    for id in &jobs {
        let job_changes = keys.iter().filter(|key| key.contains(id.as_str())).count();
        assert!(
            (3..=4).contains(&job_changes),
            "{id}: expected 3 or 4 changes, got {job_changes}"
        );
        rebound += job_changes - 3;
    }
    assert!(
        rebound * 10 < jobs.len(),
        "expected fewer than a tenth of the jobs to be rebound, got {rebound} of {}",
        jobs.len()
    );
    let quota_changes = keys.iter().filter(|key| key.contains("quota")).count();
    assert_eq!(quota_changes, 0, "expected no changes of quota records");
}
