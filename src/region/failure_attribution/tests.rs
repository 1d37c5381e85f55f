//! Tests of failure attribution.

use super::super::tests::TestCluster;
use super::*;

/// Plays `span` seconds from `from` on; returns the time reached.
fn play(cluster: &mut TestCluster, from: u64, span: u64) -> u64 {
    for s in from..from + span {
        cluster.run_second(s * SECOND, None);
    }
    from + span
}

fn cordoned(cluster: &TestCluster) -> Vec<&str> {
    let machines = cluster.region.inventory.machines();
    let faulty = machines.filter(|(_, machine)| machine.cordoned == Some(CordonReason::Faulty));
    faulty.map(|(name, _)| &**name).collect()
}

/// What each kind of failing job does to machines and to the number of attempts, and what a
/// faulty machine still causes.
#[test]
fn jobs_at_fault_are_told_from_faulty_machines() {
    // JobKind, tasks, processors of each, most starts in five minutes.
    for (kind, tasks, cpus, most) in [
        ("a", 40, 1_000_000, 60),
        ("a", 1, 1_000_000, 14),
        ("g", 4, 2_000_000, 60),
    ] {
        let mut cluster = TestCluster::new(6);
        cluster.submit("req-1", kind, "red", tasks, cpus, 2 * SECOND);
        cluster.broken.insert("req-1".into());
        play(&mut cluster, 3, 300);
        let starts = cluster.starts["req-1"];
        assert!(starts >= 4, "{kind} of {tasks}: tried {starts} times");
        assert!(starts <= most, "{kind} of {tasks}: {starts} starts");
        assert_eq!(cordoned(&cluster), [""; 0], "{kind} of {tasks}");
        assert!(cluster.region.jobs["req-1"].failures.is_suspect());
    }
    // Several jobs, all with results elsewhere, fail on one machine.
    let mut cluster = TestCluster::new(6);
    cluster.faulty.insert("m-3".into());
    for i in 0..6 {
        cluster.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, 2 * SECOND);
    }
    play(&mut cluster, 3, 120);
    assert_eq!(cordoned(&cluster), ["m-3"]);
    let suspect = cluster
        .region
        .jobs
        .values()
        .any(|j| j.failures.is_suspect());
    assert!(!suspect);
}

/// A faulty machine is cordoned also when suspect jobs ran on it.
#[test]
fn a_faulty_machine_is_cordoned_beside_jobs_at_fault() {
    let mut cluster = TestCluster::new(6);
    cluster.submit("req-1", "a", "red", 30, 1_000_000, 2 * SECOND);
    cluster.broken.insert("req-1".into());
    let now = play(&mut cluster, 3, 40);
    cluster.faulty.insert("m-2".into());
    for i in 2..8 {
        cluster.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, now * SECOND);
    }
    play(&mut cluster, now, 120);
    assert_eq!(cordoned(&cluster), ["m-2"]);
}

/// Suspect jobs wait behind all others, ask for nothing, and are served at once when a
/// later try succeeds. With the safeguard disabled they keep taking machines.
#[test]
fn a_suspect_job_takes_nothing_from_others() {
    let served = |disabled: Option<Safeguard>| {
        crate::fault_injection::disable(disabled);
        let mut cluster = TestCluster::new(4);
        cluster.submit("req-1", "a", "red", 400, 2_000_000, 2 * SECOND);
        cluster.broken.insert("req-1".into());
        let now = play(&mut cluster, 3, 60);
        let before = cluster.starts["req-1"];
        for i in 2..10 {
            cluster.submit(&format!("req-{i}"), "a", "red", 4, 2_000_000, now * SECOND);
        }
        let now = play(&mut cluster, now, 60);
        let tries = cluster.starts["req-1"] - before;
        crate::fault_injection::disable(None);
        (cluster, now, tries)
    };
    let (_, _, tries) = served(Some(Safeguard::SuspectJobs));
    assert!(tries > 10, "left out: {tries} tries");
    let (mut cluster, now, tries) = served(None);
    assert!((1..=4).contains(&tries), "{tries} tries");
    let pending = cluster.pending_jobs(now * SECOND);
    let line = pending.into_iter().find(|line| line.job == "req-1");
    let line = line.expect("still known");
    assert!(
        line.needs_new_attempt && line.pending_tasks <= 1,
        "{line:?}"
    );
    // The mistake is mended: all of it is served.
    cluster.broken.clear();
    play(&mut cluster, now, 900);
    let begun = cluster
        .first_starts
        .keys()
        .filter(|(j, _)| j == "req-1")
        .count();
    assert_eq!(begun, 400);
}

/// Failures of unknown jobs, of an older attempt, or reported again and again change nothing:
/// no machine is cordoned, no job is suspect, and all are reaped.
#[test]
fn odd_failures_change_nothing() {
    let mut cluster = TestCluster::new(4);
    cluster.submit("req-1", "a", "red", 4, 2_000_000, 2 * SECOND);
    let now = play(&mut cluster, 3, 3);
    let odd: Vec<(String, u32, u64)> = (0..3_000)
        .map(|n| match n % 2 {
            0 => (format!("req-{}", 1_000 + n), 0, 1),
            _ => ("req-1".to_owned(), n % 4, 1),
        })
        .collect();
    for times in 0..5 {
        let commands = cluster.report_failures("m-0", &odd, (now + times) * SECOND);
        assert!(commands > 0 && commands <= crate::worker_protocol::MAX_COMMANDS);
    }
    assert_eq!(cordoned(&cluster), [""; 0]);
    assert!(!cluster.region.jobs["req-1"].failures.is_suspect());
    assert_eq!(cluster.region.jobs.len(), 1);
}
