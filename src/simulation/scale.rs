//! Thousands of machines: rented in the first minutes, worked on, and taken over.

use super::*;

/// What a day with so many machines came to.
struct CommitOutcome {
    world: World,
    /// Most machines up at a time.
    most: usize,
}

fn play_with(machines: usize) -> CommitOutcome {
    let mut rng = fastrand::Rng::with_seed(7);
    let p = Plan {
        seed: 7,
        faults: vec![
            (60 * SECOND, Fault::LeaderBlinks),
            (80 * SECOND, Fault::Crash(1)),
            (81 * SECOND, Fault::Crash(2)),
            (100 * SECOND, Fault::Crash(0)),
            (100 * SECOND, Fault::Crash(1)),
            (100 * SECOND, Fault::Crash(2)),
        ],
        jobs: 0,
        end: 130 * SECOND,
        load: Load::Mixed,
    };
    fastrand::seed(p.seed);
    let mut world = World::new(&p);
    world.capacity = machines;
    for s in &mut world.settings {
        s.max_sockets = 3_500;
        s.cloud_request_rate = 10.0;
        for team in &mut s.teams {
            team.limit = None;
        }
    }
    // Enough work for all machines in the first minute, and steady work after it.
    for i in 0..40u32 {
        let id = format!("req-{:06}", 100 + i);
        let tasks = machines / 10;
        let run = rng.u64(20..40);
        let spec = json!({"nameId": id, "crop": "x", "crew": "red", "furrow": "batch", "rank": "standard",
            "sheaves": tasks, "cores": 3.5, "cards": 0.0, "memoryGb": 1.0, "seed": "img", "sizeGb": 1.0,
            "plots": ["box"], "field": null, "samePlace": false, "spread": false, "fallow": true,
            "growthS": 240, "stookS": 0.0, "bindS": 0.0, "harvestS": null});
        let at = if i < 12 { 1 } else { 20 + u64::from(i) * 2 };
        world.at(at * SECOND, Event::User(id.clone(), Action::Submit));
        world
            .jobs
            .insert(id, Job::new(spec, run * SECOND, Vec::new()));
    }
    let mut most = 0;
    let mut until = 5 * SECOND;
    while until <= 600 * SECOND && world.broken.is_empty() {
        world.run(until);
        world.check_cancelled();
        world.check_known();
        most = most.max(world.workers.len());
        let over = until > p.end && world.left_open().is_empty();
        if over && world.workers.is_empty() {
            break;
        }
        until += 5 * SECOND;
    }
    CommitOutcome { world, most }
}

/// Machines by the thousand: the leader ends, then two controllers, then all; the rules
/// hold, all work ends, and every machine is on record, used and returned.
#[test]
fn four_thousand_machines_are_rented_used_and_returned() {
    let CommitOutcome { world, most } = play_with(4_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(most >= 4_000, "{most} machines at the most");
    assert!(world.left_open().is_empty(), "{:?}", world.left_open());
    assert!(world.seen.takings >= 9, "{:?}", world.seen);
    assert_eq!(world.seen.too_large, 0);
    assert!(world.workers.is_empty(), "{} left", world.workers.len());
}
