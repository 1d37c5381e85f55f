//! Controllers that stand still or lose a part of the network, machines that come up late
//! or never, jobs that fail wherever they run: days as in `compound_failures`, and what the
//! guards against these are worth.

use super::compound_failures::{day, CompoundFailure, S};
use super::*;

/// The days; the runner of the compound failures plays them along with its own.
pub(super) fn days() -> Vec<CompoundFailure> {
    vec![
        CompoundFailure {
            name: "a controller is cut off from its workers alone",
            faults: |r| {
                let at = 40.0 + r.f64() * 40.0;
                vec![(at, Fault::CutWorkers(r.usize(0..3), 60 * S))]
            },
            load: Load::Mixed,
            happened: |s| s.released > 0,
        },
        CompoundFailure {
            name: "cut off from workers alone, and the state service goes out in the release",
            faults: |r| {
                let at = 40.0 + r.f64() * 20.0;
                let i = r.usize(0..3);
                vec![
                    (at, Fault::CutWorkers(i, 60 * S)),
                    (at + 6.0 + r.f64() * 8.0, Fault::StoreDown(r.u64(5..50) * S)),
                    (at + 10.0, Fault::CancelRunning(4, 0)),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.released > 0 && s.answered_blind > 0,
        },
        CompoundFailure {
            name: "one controller after the other is cut off from workers",
            faults: |r| {
                let at = 40.0 + r.f64() * 10.0;
                let i = r.usize(0..3);
                vec![
                    (at, Fault::CutWorkers(i, 30 * S)),
                    (at + 25.0, Fault::CutWorkers((i + 1) % 3, 40 * S)),
                    (at + 30.0, Fault::LeaderBlinks),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.released > 1,
        },
        CompoundFailure {
            name: "partial cuts in pairs",
            faults: |r| {
                let at = 30.0 + r.f64() * 40.0;
                let i = r.usize(0..3);
                let long = r.u64(10..50) * S;
                let cuts = [
                    Fault::CutStore(i, long),
                    Fault::CutWorkers(i, long),
                    Fault::CutMesh(i, long),
                    Fault::CutUsers(i, long),
                ];
                let first = r.usize(0..4);
                let second = (first + r.usize(1..4)) % 4;
                vec![
                    (at, cuts[first]),
                    (at + 1.0, cuts[second]),
                    (at + 4.0, Fault::CancelRunning(6, 0)),
                    (at + 70.0, cuts[r.usize(0..4)]),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.cancelled_running > 0,
        },
        CompoundFailure {
            name: "controllers stand still for one to forty seconds",
            faults: |r| {
                let mut faults = Vec::new();
                for (n, long) in [1, 8, 30, 40].into_iter().enumerate() {
                    let at = 20.0 + 45.0 * n as f64 + r.f64() * 20.0;
                    faults.push((at, Fault::FreezeLeader(long * S)));
                    faults.push((at + r.f64(), Fault::CancelRunning(4, 0)));
                    faults.push((at + 2.0, Fault::Freeze(r.usize(0..3), r.u64(1..20) * S)));
                }
                faults
            },
            load: Load::Mixed,
            happened: |s| s.thawed > 100 && s.leaders > 1 && s.cancelled_running > 0,
        },
        CompoundFailure {
            name: "the leader stands still while the state service refuses another",
            faults: |r| {
                let at = 30.0 + r.f64() * 40.0;
                vec![
                    (at, Fault::FreezeLeader(8 * S)),
                    (at + 9.0, Fault::RefuseLeader(14 * S)),
                    (at + 10.0, Fault::CancelRunning(8, 0)),
                    (at + 11.0, Fault::FreezeLeader(30 * S)),
                    (at + 20.0, Fault::LateWrites(20 * S)),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.thawed > 50 && s.leaders > 1,
        },
        CompoundFailure {
            name: "questions thirty times as often, also in a takeover",
            faults: |r| {
                let at = 30.0 + r.f64() * 40.0;
                vec![
                    (at, Fault::QuestionStorm(60 * S)),
                    (at + 10.0, Fault::Crash(r.usize(0..3))),
                    (at + 20.0, Fault::LeaderBlinks),
                    (at + 25.0, Fault::CancelRunning(4, 0)),
                    (at + 30.0, Fault::StoreDown(3 * S)),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.storm_questions > 500 && s.takings > 3,
        },
        CompoundFailure {
            name: "machines come up late or never, and the leader ends",
            faults: |r| {
                vec![
                    (1.0, Fault::BadBoots(r.u64(40..120) * S)),
                    (20.0 + r.f64() * 60.0, Fault::LeaderBlinks),
                    (60.0 + r.f64() * 40.0, Fault::MachineDies),
                ]
            },
            load: Load::Mixed,
            happened: |s| s.bad_boots > 3 && s.leaders > 1,
        },
        CompoundFailure {
            name: "jobs fail wherever they run, teams at their limits, an owner ends",
            faults: |r| {
                vec![
                    (40.0 + r.f64() * 60.0, Fault::Crash(r.usize(0..3))),
                    (60.0 + r.f64() * 40.0, Fault::LeaderBlinks),
                    (80.0, Fault::MachineDies),
                ]
            },
            load: Load::Failing,
            happened: |s| s.failures > 10 && s.takings > 3,
        },
    ]
}

fn named(name: &str) -> CompoundFailure {
    let found = days().into_iter().find(|d| d.name == name);
    found.expect("a day of that name")
}

/// Tasks go on running on a region whose owner loses its workers: fewer leases run out than
/// without the release. It is released once, not to and fro.
#[test]
fn a_region_that_its_workers_do_not_reach_is_released() {
    let m = named("a controller is cut off from its workers alone");
    let mut lapsed = [0, 0];
    for seed in 1..=20 {
        let p = day(&m, seed);
        for (i, guard) in [None, Some(Safeguard::UnreachedRelease)]
            .into_iter()
            .enumerate()
        {
            let w = play(&p, guard);
            assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
            lapsed[i] += w.seen.lapsed;
            let most = if guard.is_some() { 0 } else { 2 };
            let releases = w.seen.released;
            assert!(releases <= most, "seed {seed}: {releases} releases");
        }
    }
    assert!(
        lapsed[0] * 2 < lapsed[1],
        "leases that ran out with tasks, with and without the release: {lapsed:?}"
    );
}

/// Nothing is released on a quiet day, nor when controllers end, nor in an outage.
#[test]
pub(super) fn nothing_is_released_without_need() {
    for faults in [
        vec![],
        vec![(40 * S, Fault::Crash(1)), (60 * S, Fault::LeaderBlinks)],
        vec![(40 * S, Fault::StoreDown(20 * S))],
        vec![(40 * S, Fault::CutMesh(1, 30 * S))],
        vec![(40 * S, Fault::Freeze(1, 3 * S))],
    ] {
        for seed in 1..=4 {
            let p = Plan {
                seed,
                faults: faults.clone(),
                jobs: 24,
                end: 200 * S,
                load: Load::Mixed,
            };
            let w = play(&p, None);
            assert!(
                w.broken.is_empty(),
                "{faults:?}, seed {seed}: {:?}",
                w.broken
            );
            assert_eq!(w.seen.released, 0, "{faults:?}, seed {seed}");
        }
    }
}

/// While machines come up late or never, what is rented beyond the work is bounded, and all
/// work still ends.
#[test]
fn machines_that_come_up_badly_are_rented_by_probes() {
    let mut rented = [0, 0];
    for seed in 1..=12 {
        let p = Plan {
            seed,
            faults: vec![(S, Fault::BadBoots(150 * S))],
            jobs: 24,
            end: 240 * S,
            load: Load::Mixed,
        };
        for (i, guard) in [None, Some(Safeguard::BootTrouble)].into_iter().enumerate() {
            let w = play(&p, guard);
            assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
            assert!(w.seen.bad_boots > 0, "seed {seed}: none came up badly");
            assert!(w.left_open().is_empty(), "seed {seed}: {:?}", w.left_open());
            rented[i] += w.next_machine;
        }
    }
    assert!(
        rented[0] * 10 < rented[1] * 9,
        "rented with and without: {rented:?}"
    );
}

/// A flood of one-task jobs of a team without guarantee and limit: all are served, and each
/// costs three changes of records: accepted, bound, done. A few are moved to another region
/// once, which is a fourth.
#[test]
pub(super) fn a_one_task_job_costs_three_changes() {
    let p = Plan {
        seed: 3,
        faults: Vec::new(),
        jobs: 0,
        end: 60 * S,
        load: Load::Mixed,
    };
    fastrand::seed(p.seed);
    let mut world = World::new(&p);
    let jobs: Vec<String> = (0..240).map(|i| format!("req-{:06}", 500 + i)).collect();
    for (i, id) in jobs.iter().enumerate() {
        let spec = json!({"nameId": id, "crop": "x", "crew": "guest", "furrow": "batch", "rank": "low",
            "sheaves": 1, "cores": 0.25, "cards": 0.0, "memoryGb": 0.5, "seed": "img", "sizeGb": 0.5,
            "plots": null, "field": null, "samePlace": false, "spread": false, "fallow": true,
            "growthS": 6, "stookS": 0.0, "bindS": 0.0, "harvestS": null});
        let at = 5 * S + i as Micros * S / 8;
        world.at(at, Event::User(id.clone(), Action::Submit));
        world
            .jobs
            .insert(id.clone(), Job::new(spec, 6 * S, Vec::new()));
    }
    world.run(200 * S);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.left_open().is_empty(), "{:?}", world.left_open());
    let keys = || world.store.log.iter().map(|(_, key, _)| key.as_str());
    let mut moved = 0;
    for id in &jobs {
        let own = keys().filter(|k| k.contains(id.as_str())).count();
        assert!((3..=4).contains(&own), "{id}: {own} changes");
        moved += own - 3;
    }
    assert!(moved * 10 < jobs.len(), "{moved} of {} moved", jobs.len());
    assert_eq!(keys().filter(|k| k.contains("quota")).count(), 0);
}
