//! Tests of planned capacity.

use super::*;
use salttiller_records::model::{JobKind, Priority};

fn resources(cpus: u64) -> Resources {
    Resources {
        cpus,
        gpus: 0,
        memory: cpus,
    }
}

/// Four machines of 10 processors, of which 8 are free and, if `is_reserved`, 4 are reserved.
fn capacity(zone: &str, spot: bool, is_reserved: bool) -> PlannedCapacity {
    PlannedCapacity {
        region: "t-0".into(),
        machine_type: "box".into(),
        zone: zone.into(),
        spot,
        free: resources(8),
        total: resources(10),
        is_available: true,
        reserved: is_reserved.then(|| resources(4)),
        machines: 4.0,
        unclaimed_machines: 4.0,
    }
}

fn spec(task_count: u32, cpus: u64) -> JobSpec {
    JobSpec {
        class: String::new(),
        team: String::new(),
        kind: JobKind::Array,
        priority: Priority::Low,
        task_count,
        cpus,
        gpus: 0,
        memory: cpus,
        allowed_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: true,
        image: String::new(),
        image_size: 0,
        estimated_run_time: 0,
        checkpoint_interval: 0,
        checkpoint_time: 0,
        deadline: None,
        submitted_at: 0,
        dependencies: Vec::new(),
        stored_spec: None,
    }
}

/// Guards against flexible jobs that use up reserved capacity. The reservation applies only to
/// flexible jobs, and only on on-demand machines.
#[test]
fn flexible_jobs_leave_reserved_capacity_free() {
    use Flexibility::{Constrained, Flexible};
    // Spot, reserved, flexibility; tasks of 2 processors that fit now, tasks that fit on empty
    // machines, usable processors.
    for (spot, is_reserved, flexibility, fitting, max_tasks, cpus) in [
        (false, false, Flexible, 16, 20, 40.0),
        (false, true, Flexible, 12, 12, 24.0),
        (false, true, Constrained, 16, 20, 40.0),
        (true, true, Flexible, 16, 20, 40.0),
    ] {
        let machines = capacity("a", spot, is_reserved);
        let case = format!("{spot} {is_reserved} {flexibility:?}");
        let job = spec(100, 2);
        assert_eq!(machines.fitting_tasks(&job, flexibility), fitting, "{case}");
        assert_eq!(machines.max_tasks(&job, flexibility), max_tasks, "{case}");
        assert_eq!(machines.usable_cpus(flexibility), cpus, "{case}");
    }
}

/// Guards against rounding errors and overcommitment: claims take fractions of machines, never
/// exceed the capacity, and rounding costs no task.
#[test]
fn claims_use_up_capacity() {
    let job = spec(100, 2);
    let mut machines = [capacity("a", false, false), capacity("b", false, false)];
    let mut unclaimed = 0;
    for _ in 0..32 {
        unclaimed += claim_from(&mut machines, &job, Flexibility::Flexible, 1);
    }
    assert_eq!(unclaimed, 0);
    let rest = claim_from(&mut machines, &job, Flexibility::Flexible, 5);
    assert_eq!(rest, 5);
    let max_tasks = machines[0].max_tasks(&job, Flexibility::Flexible);
    assert_eq!(
        max_tasks, 20,
        "claims must not reduce the capacity of empty machines"
    );
}

/// Guards against zone rules being ignored: zones count together, or only the best zone counts, or
/// each zone counts for at most half of the tasks.
#[test]
fn tasks_in_region_by_zone() {
    let machines = [capacity("a", false, false), capacity("b", false, true)];
    // Single zone, spread over zones, number of tasks; expected tasks that the region can hold.
    for (single_zone, spread_zones, task_count, expected) in [
        (false, false, 100, 28),
        (true, false, 100, 16),
        (false, true, 100, 28),
        (false, true, 27, 26),
        (false, true, 10, 10),
    ] {
        let job = JobSpec {
            single_zone,
            spread_zones,
            ..spec(task_count, 2)
        };
        let fitting = |c: &PlannedCapacity| c.fitting_tasks(&job, Flexibility::Flexible);
        let tasks = tasks_in_region(&machines, &job, "t-0", fitting);
        assert_eq!(tasks, expected, "{single_zone} {spread_zones} {task_count}");
        assert_eq!(tasks_in_region(&machines, &job, "t-1", fitting), 0);
    }
}
