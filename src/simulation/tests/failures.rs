//! Tests of the days with compound and partial failures: the invariants hold with all safeguards,
//! and a disabled safeguard causes a violation.

use crate::fault_injection::Safeguard;
use crate::simulation::days::{self, Day};
use crate::simulation::invariants::Invariant;
use crate::simulation::runner::{environment_number, run_day, run_day_without, seeds};
use crate::simulation::world::World;

/// Minimum number of seeds of each day.
const MIN_SEEDS_PER_DAY: usize = 8;

const TEAM_AT_ITS_LIMIT: &str = "a team at its limit, a new leader, machines that can't be asked";

/// Describes the failure of a day, if any: a violation of an invariant, an unfinished job, a start
/// after a confirmed cancellation, or an oversized transaction.
fn describe_failure(day: &Day, seed: u64, world: &World) -> Option<String> {
    let unfinished = world.unfinished_jobs();
    let late_starts = world.observations.starts_after_cancel;
    let oversized = world.observations.oversized_transactions > 0;
    let finished = world.violations.is_empty() && unfinished.is_empty();
    if finished && late_starts == 0 && !oversized {
        return None;
    }
    for (key, record) in world.store.records() {
        log::info!(
            "remaining record: {key} {} {}",
            record.version,
            record.value
        );
    }
    Some(format!(
        "{}, seed {seed}: violations {:?}, unfinished jobs {unfinished:?}, \
         {late_starts} starts after a cancellation, oversized transactions: {oversized}",
        day.name, world.violations
    ))
}

/// Guards against combinations of faults that violate an invariant or leave jobs unfinished. Every
/// day of the tables runs on several seeds, and its faults must have their intended effect on at
/// least one of them. `SALTTILLER_SCENARIO` selects the days whose names contain its value,
/// `SALTTILLER_SEED` selects one seed.
#[test]
fn days_of_failures_keep_the_rules() {
    let name_filter = std::env::var("SALTTILLER_SCENARIO").unwrap_or_default();
    let selected_seed = environment_number("SALTTILLER_SEED");
    let seeds_per_day = MIN_SEEDS_PER_DAY.max(*seeds().end() as usize / 4);
    let mut failures = Vec::new();
    for day in days::all().filter(|day| day.name.contains(&name_filter)) {
        let mut occurred = false;
        let seeds: Vec<u64> = match selected_seed {
            Some(seed) => vec![seed],
            None => seeds().take(seeds_per_day).collect(),
        };
        for seed in seeds {
            let world = run_day(&day.plan(seed));
            occurred |= (day.occurred)(&world.observations);
            failures.extend(describe_failure(day, seed, &world));
        }
        if !occurred && selected_seed.is_none() {
            failures.push(format!(
                "{}: the intended effect occurred on no seed",
                day.name
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "expected no failures, got {failures:#?}"
    );
}

/// Seeds of [`TEAM_AT_ITS_LIMIT`] on which jobs waited for a gang that lacked its quota share. The
/// wait occurred with an earlier version on seeds 21 and 39, and with [`Safeguard::ShareHoldLimit`]
/// disabled on the others. Such seeds are rare because an owner that its workers cannot reach
/// releases its region, so unreachable machines seldom block quota for that long.
const SEEDS_WITH_GANG_SHORT_OF_QUOTA: [u64; 5] = [21, 39, 358, 371, 382];

/// Days that violate an invariant while the safeguard is disabled.
const SAFEGUARDS_OF_DAYS: [(&str, Safeguard); 21] = [
    ("the gap", Safeguard::AuthorityDeadline),
    (
        "the gap, and the machines hang",
        Safeguard::AuthorityDeadline,
    ),
    (
        "the leader is cut off with its workers, jobs are cancelled elsewhere",
        Safeguard::AuthorityDeadline,
    ),
    (
        "a zone with workers and a controller is cut off for longer than a lease",
        Safeguard::AuthorityDeadline,
    ),
    (
        "the leader ends while machines are cut off or deaf",
        Safeguard::Reconciliation,
    ),
    (
        "ten leaders in two minutes, also inside an outage",
        Safeguard::Reconciliation,
    ),
    (
        "all controllers are away for longer than a lease",
        Safeguard::Reconciliation,
    ),
    (
        "controllers hand over and back, all end, and one returns within a second",
        Safeguard::Reconciliation,
    ),
    ("gangs and arrays lose machines", Safeguard::Reconciliation),
    (
        "old reports arrive at a new leader",
        Safeguard::HeartbeatOrder,
    ),
    (
        "answers are held up for seconds while jobs are cancelled",
        Safeguard::LeaseWait,
    ),
    (
        "machines reach no controller while the leader changes",
        Safeguard::LeaseWait,
    ),
    (TEAM_AT_ITS_LIMIT, Safeguard::InheritedShares),
    (TEAM_AT_ITS_LIMIT, Safeguard::ShareHoldLimit),
    (
        "more work than room, urgent and not",
        Safeguard::InheritedShares,
    ),
    (
        "transactions are carried out late, after newer ones",
        Safeguard::RevisionConditions,
    ),
    (
        "a cancellation meets the end",
        Safeguard::RevisionConditions,
    ),
    (
        "jobs of two or three tasks end far apart across new leaders",
        Safeguard::CompleteResults,
    ),
    (
        "jobs of two or three tasks end far apart across new leaders",
        Safeguard::Incarnation,
    ),
    (
        "answers arrive twice while jobs fail and are cancelled",
        Safeguard::StartCopies,
    ),
    (
        "answers arrive twice while tasks are preempted",
        Safeguard::StartCopies,
    ),
];

/// Whether a day fails on at least one seed while the safeguard is disabled.
fn fails_without(name: &str, safeguard: Safeguard, has_failed: fn(&World) -> bool) -> bool {
    let day = days::named(name);
    let mut seeds = (1..=60).chain(SEEDS_WITH_GANG_SHORT_OF_QUOTA);
    seeds.any(|seed| has_failed(&run_day_without(safeguard, &day.plan(seed))))
}

/// Guards against a safeguard that has no effect or that no test covers. Each safeguard is disabled
/// on the day that needs it, and the violation must be detected on at least one seed.
#[test]
fn disabled_compound_failure_safeguards_are_detected() {
    let has_late_start = |world: &World| world.observations.starts_after_cancel > 0;
    let detected = fails_without("the gap", Safeguard::StartDeadline, has_late_start);
    assert!(
        detected,
        "the gap: expected a late start with StartDeadline disabled"
    );
    for (name, safeguard) in SAFEGUARDS_OF_DAYS {
        let has_violation = |world: &World| !world.violations.is_empty();
        let detected = fails_without(name, safeguard, has_violation);
        assert!(
            detected,
            "{name}: expected a violation with {safeguard:?} disabled"
        );
    }
    let fault_free = days::named("pipelines on a quiet day");
    for seed in 1..=4 {
        let world = run_day_without(Safeguard::DependencyCheck, &fault_free.plan(seed));
        assert!(
            world.has_violated(Invariant::TooEarly),
            "seed {seed}: expected a task to start before its dependencies were done"
        );
    }
    let orphaned = (1..=30).any(|seed| {
        let world = run_day_without(Safeguard::UpstreamCancellation, &fault_free.plan(seed));
        world.has_violated(Invariant::Orphaned)
    });
    assert!(
        orphaned,
        "expected a dependent that is not cancelled with its dependency"
    );
}

/// Guards against starvation by a gang that waits for its quota share: a job waited for 90 s
/// although machines were free, because a gang of the same team was collecting the team's share
/// from another region.
#[test]
fn gang_short_of_quota_does_not_starve_other_jobs() {
    let day = days::named(TEAM_AT_ITS_LIMIT);
    for seed in SEEDS_WITH_GANG_SHORT_OF_QUOTA {
        let world = run_day(&day.plan(seed));
        let violations = &world.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}: expected no violations, got {violations:?}"
        );
    }
}
