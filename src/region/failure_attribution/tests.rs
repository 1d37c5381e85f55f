//! Tests of failures.

use super::super::tests::TestCluster;
use super::*;

/// Plays `span` seconds from `from` on; returns the time reached.
fn play(shop: &mut TestCluster, from: u64, span: u64) -> u64 {
    for s in from..from + span {
        shop.play_second(s * SECOND, None);
    }
    from + span
}

fn closed(shop: &TestCluster) -> Vec<&str> {
    let machines = shop.region.inventory.machines.iter();
    let closed = machines.filter(|(_, m)| m.cordoned == Some("faulty"));
    closed.map(|(name, _)| &**name).collect()
}

/// What each kind of failing job does to machines and to the number of tries, and what a
/// faulty machine still brings about.
#[test]
fn jobs_at_fault_are_told_from_faulty_machines() {
    // JobKind, tasks, processors of each, most starts in five minutes.
    for (kind, tasks, cpus, most) in [
        ("a", 40, 1_000_000, 60),
        ("a", 1, 1_000_000, 14),
        ("g", 4, 2_000_000, 60),
    ] {
        let mut shop = TestCluster::new(6);
        shop.submit("req-1", kind, "red", tasks, cpus, 2 * SECOND);
        shop.broken.insert("req-1".into());
        play(&mut shop, 3, 300);
        let starts = shop.starts["req-1"];
        assert!(starts >= 4, "{kind} of {tasks}: tried {starts} times");
        assert!(starts <= most, "{kind} of {tasks}: {starts} starts");
        assert_eq!(closed(&shop), [""; 0], "{kind} of {tasks}");
        assert!(shop.region.jobs["req-1"].failures.is_suspect());
    }
    // Several jobs, all with results elsewhere, fail on one machine.
    let mut shop = TestCluster::new(6);
    shop.faulty.insert("m-3".into());
    for i in 0..6 {
        shop.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, 2 * SECOND);
    }
    play(&mut shop, 3, 120);
    assert_eq!(closed(&shop), ["m-3"]);
    let suspect = shop.region.jobs.values().any(|j| j.failures.is_suspect());
    assert!(!suspect);
}

/// A faulty machine is closed also when suspect jobs ran on it.
#[test]
fn a_faulty_machine_is_closed_beside_jobs_at_fault() {
    let mut shop = TestCluster::new(6);
    shop.submit("req-1", "a", "red", 30, 1_000_000, 2 * SECOND);
    shop.broken.insert("req-1".into());
    let now = play(&mut shop, 3, 40);
    shop.faulty.insert("m-2".into());
    for i in 2..8 {
        shop.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, now * SECOND);
    }
    play(&mut shop, now, 120);
    assert_eq!(closed(&shop), ["m-2"]);
}

/// Suspect jobs wait behind all others, ask for nothing, and are served at once when a
/// later try succeeds. With the guard left out they keep taking machines.
#[test]
fn a_suspect_job_takes_nothing_from_others() {
    let served = |disabled: Option<Safeguard>| {
        crate::fault_injection::disable(disabled);
        let mut shop = TestCluster::new(4);
        shop.submit("req-1", "a", "red", 400, 2_000_000, 2 * SECOND);
        shop.broken.insert("req-1".into());
        let now = play(&mut shop, 3, 60);
        let before = shop.starts["req-1"];
        for i in 2..10 {
            shop.submit(&format!("req-{i}"), "a", "red", 4, 2_000_000, now * SECOND);
        }
        let now = play(&mut shop, now, 60);
        let tries = shop.starts["req-1"] - before;
        crate::fault_injection::disable(None);
        (shop, now, tries)
    };
    let (_, _, tries) = served(Some(Safeguard::SuspectJobs));
    assert!(tries > 10, "left out: {tries} tries");
    let (mut shop, now, tries) = served(None);
    assert!((1..=4).contains(&tries), "{tries} tries");
    let view_waits = |shop: &TestCluster, now: u64| shop.pending_jobs(now * SECOND);
    let line = view_waits(&shop, now)
        .into_iter()
        .find(|w| w.job == "req-1");
    let line = line.expect("still known");
    assert!(
        line.needs_new_attempt && line.pending_tasks <= 1,
        "{line:?}"
    );
    // The mistake is mended: all of it is served.
    shop.broken.clear();
    play(&mut shop, now, 900);
    let begun = shop.began.keys().filter(|(j, _)| j == "req-1").count();
    assert_eq!(begun, 400);
}

/// Failures of unknown jobs, of an older attempt, or told again and again change nothing:
/// no machine is closed, no job is suspect, and all are reaped.
#[test]
fn odd_failures_change_nothing() {
    let mut shop = TestCluster::new(4);
    shop.submit("req-1", "a", "red", 4, 2_000_000, 2 * SECOND);
    let now = play(&mut shop, 3, 3);
    let odd: Vec<(String, u32, u64)> = (0..3_000)
        .map(|n| match n % 2 {
            0 => (format!("req-{}", 1_000 + n), 0, 1),
            _ => ("req-1".to_owned(), n % 4, 1),
        })
        .collect();
    for times in 0..5 {
        let commands = shop.report_failures("m-0", &odd, (now + times) * SECOND);
        assert!(commands > 0 && commands <= crate::worker_protocol::MAX_COMMANDS);
    }
    assert_eq!(closed(&shop), [""; 0]);
    assert!(!shop.region.jobs["req-1"].failures.is_suspect());
    assert_eq!(shop.region.jobs.len(), 1);
}
