//! The days of both tables of failures keep the rules, and need the safeguards to do so.

use crate::fault_injection::Safeguard;
use crate::simulation::days::{self, Day};
use crate::simulation::invariants::Rule;
use crate::simulation::runner::{environment_number, play, play_without, seeds};
use crate::simulation::world::World;

/// Seeds of each day, at least.
const SEEDS_EACH: usize = 8;

const TEAM_AT_ITS_LIMIT: &str = "a team at its limit, a new leader, machines that can't be asked";

/// What went wrong on a day of which all work must end without a violation.
fn failure(day: &Day, seed: u64, world: &World) -> Option<String> {
    let unfinished = world.unfinished_jobs();
    let late_starts = world.observations.starts_after_cancel;
    let too_large = world.observations.oversized_transactions > 0;
    let finished = world.violations.is_empty() && unfinished.is_empty();
    if finished && late_starts == 0 && !too_large {
        return None;
    }
    for (key, record) in world.store.records() {
        log::info!("left on record: {key} {} {}", record.version, record.value);
    }
    Some(format!(
        "{}, seed {seed}: {:?}, unfinished {unfinished:?}, {late_starts} starts after a cancel, too large {too_large}",
        day.name, world.violations
    ))
}

/// Every failure occurs on some of the seeds, and whenever it does the rules hold and all work
/// ends. `SALTTILLER_SCENARIO` plays the days whose name contains it, `SALTTILLER_SEED` one seed.
#[test]
fn days_of_failures_keep_the_rules() {
    let only = std::env::var("SALTTILLER_SCENARIO").unwrap_or_default();
    let one_seed = environment_number("SALTTILLER_SEED");
    let each = SEEDS_EACH.max(*seeds().end() as usize / 4);
    let mut failed = Vec::new();
    for day in days::all().filter(|day| day.name.contains(&only)) {
        let mut occurred = false;
        let seeds: Vec<u64> = match one_seed {
            Some(seed) => vec![seed],
            None => seeds().take(each).collect(),
        };
        for seed in seeds {
            let world = play(&day.plan(seed));
            occurred |= (day.occurred)(&world.observations);
            failed.extend(failure(day, seed, &world));
        }
        if !occurred && one_seed.is_none() {
            failed.push(format!("{}: didn't occur on any seed", day.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Seeds of "a team at its limit" on which jobs once waited for a gang that lacked its share
/// (21, 39), or do without [`Safeguard::ShareHoldLimit`]. Since regions that their workers don't
/// reach are released, machines that can't be asked are rarely in the way for so long.
const SEEDS_OF_A_GANG_SHORT_OF_ITS_SHARE: [u64; 5] = [21, 39, 358, 371, 382];

/// Days that violate a rule without a safeguard.
const SAFEGUARDS_OF_DAYS: [(&str, Safeguard); 19] = [
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
        Safeguard::Recovery,
    ),
    (
        "ten leaders in two minutes, also inside an outage",
        Safeguard::Recovery,
    ),
    (
        "all controllers are away for longer than a lease",
        Safeguard::Recovery,
    ),
    (
        "controllers hand over and back, all end, and one returns within a second",
        Safeguard::Recovery,
    ),
    ("gangs and arrays lose machines", Safeguard::Recovery),
    ("old reports arrive at a new leader", Safeguard::ReportOrder),
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
        Safeguard::RunNumber,
    ),
];

/// Whether a day goes wrong on some seed without a safeguard.
fn is_noticed(name: &str, safeguard: Safeguard, is_wrong: fn(&World) -> bool) -> bool {
    let day = days::named(name);
    let mut seeds = (1..=60).chain(SEEDS_OF_A_GANG_SHORT_OF_ITS_SHARE);
    seeds.any(|seed| is_wrong(&play_without(safeguard, &day.plan(seed))))
}

/// The safeguards against a compound failure are needed: without them its day goes wrong.
#[test]
fn without_its_safeguard_a_compound_failure_violates_a_rule() {
    let late_start = |world: &World| world.observations.starts_after_cancel > 0;
    let noticed = is_noticed("the gap", Safeguard::StartDeadline, late_start);
    assert!(noticed, "the gap: no start deadline isn't noticed");
    for (name, safeguard) in SAFEGUARDS_OF_DAYS {
        let violation = |world: &World| !world.violations.is_empty();
        let noticed = is_noticed(name, safeguard, violation);
        assert!(noticed, "{name}: {safeguard:?} disabled isn't noticed");
    }
    let quiet = days::named("pipelines on a quiet day");
    for seed in 1..=4 {
        let world = play_without(Safeguard::DependencyCheck, &quiet.plan(seed));
        assert!(world.has_violated(Rule::TooEarly), "seed {seed}");
    }
    assert!((1..=30).any(|seed| {
        let world = play_without(Safeguard::UpstreamCancellation, &quiet.plan(seed));
        world.has_violated(Rule::Orphaned)
    }));
}

/// Days on which a job once waited for 90 s beside free machines, because a gang of its
/// team gathered the team's share from another region.
#[test]
fn no_job_waits_long_for_a_gang_that_lacks_its_share() {
    let day = days::named(TEAM_AT_ITS_LIMIT);
    for seed in SEEDS_OF_A_GANG_SHORT_OF_ITS_SHARE {
        let world = play(&day.plan(seed));
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
