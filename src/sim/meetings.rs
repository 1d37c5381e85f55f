//! Troubles that meet: one table of days, each made so that one meeting happens, with
//! what must be seen of it. A day that can't bring its meeting about proves nothing, so
//! each says how it knows that it did.

use super::*;

/// What a day must have brought about.
type Happened = fn(&Seen) -> bool;

struct Meeting {
    name: &'static str,
    /// Troubles by their time in seconds.
    faults: fn(&mut fastrand::Rng) -> Vec<(f64, Fault)>,
    happened: Happened,
}

const S: Micros = SECOND;

/// The state service refuses the leader alone; others confirm cancellations; then it is
/// out for all, for longer than `cancel_s`.
fn gap(rng: &mut fastrand::Rng, hang: Micros) -> Vec<(f64, Fault)> {
    let at = 30.0 + rng.f64() * 20.0;
    let before = 0.5 + rng.f64() * 9.5;
    vec![
        (at, Fault::RefuseLeader(14 * S)),
        (at + before * 0.3, Fault::CancelRunning(8, hang)),
        (at + before, Fault::StoreDown(60 * S)),
    ]
}

fn meetings() -> Vec<Meeting> {
    vec![
        Meeting {
            name: "the gap",
            faults: |r| gap(r, 0),
            happened: |s| s.cancels_refused > 0 && s.cancelled_running > 0 && s.answered_blind > 0,
        },
        Meeting {
            name: "the gap, and the machines hang",
            faults: |r| {
                let hang = r.u64(3..40) * S;
                gap(r, hang)
            },
            happened: |s| s.cancels_refused > 0 && s.cancelled_running > 0,
        },
        Meeting {
            name: "a cancellation meets the end",
            faults: |_| vec![(5.0, Fault::CancelAtEnd(150 * S))],
            happened: |s| s.at_end.0 > 0 && s.at_end.1 > 0,
        },
        Meeting {
            name: "cancellations at the end while the state service is slow",
            faults: |r| {
                vec![
                    (5.0, Fault::CancelAtEnd(150 * S)),
                    (20.0 + r.f64() * 60.0, Fault::SlowStore(40 * S)),
                ]
            },
            happened: |s| s.at_end.0 + s.at_end.1 > 0,
        },
        Meeting {
            name: "machines reach no controller while the leader changes",
            faults: |r| {
                let at = 30.0 + r.f64() * 60.0;
                vec![
                    (at, Fault::Mute(r.u64(5..60) * S)),
                    (at + 2.0, Fault::LeaderBlinks),
                    (at + 4.0, Fault::CancelRunning(4, 0)),
                ]
            },
            happened: |s| s.leaders > 1 && s.lapsed > 0,
        },
        Meeting {
            name: "all controllers are away for longer than a lease",
            faults: |r| {
                vec![
                    (20.0 + r.f64() * 60.0, Fault::AllAway(r.u64(17..40) * S)),
                    (100.0, Fault::AllAway(r.u64(1..3) * S)),
                ]
            },
            happened: |s| s.lapsed > 0 && s.takings >= 6,
        },
        Meeting {
            name: "the leader is cut off with its workers, jobs are cancelled elsewhere",
            faults: |r| {
                let at = 25.0 + r.f64() * 60.0;
                let i = r.usize(0..3);
                vec![
                    (at, Fault::Alone(i, 60 * S, r.bool())),
                    (at + 1.0, Fault::CancelRunning(8, 0)),
                    (at + 12.0, Fault::CancelRunning(8, 10 * S)),
                ]
            },
            happened: |s| s.cancelled_running > 0,
        },
        Meeting {
            name: "transactions are carried out late, after newer ones",
            faults: |r| {
                vec![
                    (10.0, Fault::LateWrites(120 * S)),
                    (30.0 + r.f64() * 60.0, Fault::LeaderBlinks),
                    (40.0 + r.f64() * 60.0, Fault::Crash(r.usize(0..3))),
                    (50.0, Fault::CancelRunning(4, 0)),
                ]
            },
            happened: |s| s.late_writes > 10,
        },
        Meeting {
            name: "ten leaders in two minutes, also inside an outage",
            faults: |r| {
                let mut f: Vec<(f64, Fault)> = (0..10)
                    .map(|i| (15.0 + i as f64 * 11.0 + r.f64() * 3.0, Fault::LeaderBlinks))
                    .collect();
                f.push((40.0 + r.f64() * 40.0, Fault::StoreDown(25 * S)));
                f.push((60.0, Fault::CancelRunning(4, 0)));
                f
            },
            happened: |s| s.leaders >= 8,
        },
        Meeting {
            name: "the leader ends while machines are cut off or deaf",
            faults: |r| {
                let at = 30.0 + r.f64() * 60.0;
                let long = r.u64(5..40) * S;
                vec![
                    (at, Fault::MachineHangs(long)),
                    (at, Fault::MachineDeaf(long)),
                    (at, Fault::MachineDeaf(long)),
                    (at + 1.0, Fault::LeaderBlinks),
                    (at + 3.0, Fault::CancelRunning(2, 0)),
                ]
            },
            happened: |s| s.leaders > 1 && s.takings > 3,
        },
        Meeting {
            name: "the state service is slow, refuses the leader, and is out",
            faults: |r| {
                let at = 25.0 + r.f64() * 40.0;
                vec![
                    (at, Fault::SlowStore(20 * S)),
                    (at + 15.0, Fault::RefuseLeader(14 * S)),
                    (at + 15.2, Fault::CancelRunning(8, 0)),
                    (at + 16.0, Fault::StoreDown(50 * S)),
                ]
            },
            happened: |s| s.cancelled_running > 0 && s.answered_blind > 0,
        },
        Meeting {
            name: "old reports arrive at a new leader",
            faults: |r| {
                vec![
                    (10.0, Fault::Copies(120 * S)),
                    (40.0 + r.f64() * 40.0, Fault::LeaderBlinks),
                    (
                        60.0 + r.f64() * 40.0,
                        Fault::CutWorkers(r.usize(0..3), 25 * S),
                    ),
                    (90.0, Fault::MachineBlinks),
                    (95.0, Fault::Crash(r.usize(0..3))),
                ]
            },
            happened: |s| s.takings > 3,
        },
    ]
}

fn day(m: &Meeting, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x3ee7);
    let faults = (m.faults)(&mut rng);
    Plan {
        seed,
        faults: faults
            .into_iter()
            .map(|(at, f)| ((at * S as f64) as Micros, f))
            .collect(),
        jobs: 24,
        end: 240 * S,
    }
}

/// Every meeting happens on some of the seeds, and whenever it does the rules hold and
/// all work ends.
#[test]
fn meetings_keep_the_rules() {
    let only = std::env::var("SALTTILLER_MEETING").ok();
    let mut failed = Vec::new();
    for m in meetings() {
        if only.as_ref().is_some_and(|o| !m.name.contains(o.as_str())) {
            continue;
        }
        let mut happened = 0;
        for seed in seeds().take(SEEDS_A_MEETING.max(*seeds().end() as usize / 4)) {
            let p = day(&m, seed);
            let w = play(&p, Plant::Nothing);
            happened += u32::from((m.happened)(&w.seen));
            let open: Vec<&String> = w.left_open();
            let late = w.seen.starts_after_cancel;
            if !w.broken.is_empty() || !open.is_empty() || late > 0 {
                failed.push(format!(
                    "{}, seed {seed}: {:?}, left open {open:?}, {late} starts after a cancel",
                    m.name, w.broken
                ));
            }
        }
        if happened == 0 {
            failed.push(format!("{}: didn't happen on any seed", m.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

const SEEDS_A_MEETING: usize = 8;

/// The pieces that guard against a meeting are needed: without them its day goes wrong.
#[test]
fn without_its_guard_a_meeting_goes_wrong() {
    let planted = |name: &str, plant: Plant, wrong: fn(&World) -> bool| {
        let all = meetings();
        let m = all.iter().find(|m| m.name == name).unwrap();
        let caught = (1..=60).any(|seed| wrong(&play(&day(m, seed), plant)));
        assert!(caught, "{name}: {plant:?} isn't noticed");
    };
    let broke = |w: &World| !w.broken.is_empty();
    planted("the gap", Plant::Eager, |w| w.seen.starts_after_cancel > 0);
    planted("the gap", Plant::Undying, broke);
    planted("the gap, and the machines hang", Plant::Undying, broke);
    planted(
        "the leader is cut off with its workers, jobs are cancelled elsewhere",
        Plant::Undying,
        broke,
    );
    planted(
        "the leader ends while machines are cut off or deaf",
        Plant::Hasty,
        broke,
    );
    planted(
        "ten leaders in two minutes, also inside an outage",
        Plant::Hasty,
        broke,
    );
    planted(
        "old reports arrive at a new leader",
        Plant::Credulous,
        broke,
    );
}
