//! Tests of failure attribution.

use super::super::tests::TestCluster;
use super::*;

/// Simulates `span` seconds starting at second `from`. Returns the second that follows.
fn run_for(cluster: &mut TestCluster, from: u64, span: u64) -> u64 {
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

/// Guards against healthy machines that are cordoned because of a failing job, and against
/// healthy jobs that become suspect because of a faulty machine. A job that fails on every
/// machine becomes suspect, is retried a limited number of times, and no machine is cordoned. A
/// machine on which several jobs with results elsewhere fail is cordoned.
#[test]
fn failing_jobs_are_distinguished_from_faulty_machines() {
    // Job kind, number of tasks, millionths of a CPU per task, maximum starts in five minutes.
    for (kind, tasks, cpus, max_starts) in [
        ("a", 40, 1_000_000, 60),
        ("a", 1, 1_000_000, 14),
        ("g", 4, 2_000_000, 60),
    ] {
        let mut cluster = TestCluster::new(6);
        cluster.submit("req-1", kind, "red", tasks, cpus, 2 * SECOND);
        cluster.failing_jobs.insert("req-1".into());
        run_for(&mut cluster, 3, 300);
        let starts = cluster.starts["req-1"];
        assert!(
            starts >= 4,
            "{kind} of {tasks}: expected at least 4 starts, got {starts}"
        );
        assert!(
            starts <= max_starts,
            "{kind} of {tasks}: expected at most {max_starts} starts, got {starts}"
        );
        assert_eq!(cordoned(&cluster), [""; 0], "{kind} of {tasks}");
        assert!(cluster.region.jobs["req-1"].failures.is_suspect());
    }
    // Several jobs, all with results on other machines, fail on one machine.
    let mut cluster = TestCluster::new(6);
    cluster.faulty_machines.insert("m-3".into());
    for i in 0..6 {
        cluster.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, 2 * SECOND);
    }
    run_for(&mut cluster, 3, 120);
    assert_eq!(cordoned(&cluster), ["m-3"]);
    let suspect = cluster
        .region
        .jobs
        .values()
        .any(|j| j.failures.is_suspect());
    assert!(!suspect);
}

/// Guards against a faulty machine that is not cordoned because its failures are attributed to
/// a suspect job that also ran on it.
#[test]
fn faulty_machine_is_cordoned_despite_suspect_job() {
    let mut cluster = TestCluster::new(6);
    cluster.submit("req-1", "a", "red", 30, 1_000_000, 2 * SECOND);
    cluster.failing_jobs.insert("req-1".into());
    let now = run_for(&mut cluster, 3, 40);
    cluster.faulty_machines.insert("m-2".into());
    for i in 2..8 {
        cluster.submit(&format!("req-{i}"), "a", "red", 8, 2_000_000, now * SECOND);
    }
    run_for(&mut cluster, now, 120);
    assert_eq!(cordoned(&cluster), ["m-2"]);
}

/// Guards against a large failing job that keeps occupying machines that other jobs need. A suspect
/// job ranks after all others, requests capacity for one task at most, and runs completely once a
/// retry succeeds. With the safeguard disabled, the job keeps occupying machines.
#[test]
fn suspect_job_does_not_delay_others() {
    let simulate = |disabled: Option<Safeguard>| {
        crate::fault_injection::disable(disabled);
        let mut cluster = TestCluster::new(4);
        cluster.submit("req-1", "a", "red", 400, 2_000_000, 2 * SECOND);
        cluster.failing_jobs.insert("req-1".into());
        let now = run_for(&mut cluster, 3, 60);
        let before = cluster.starts["req-1"];
        for i in 2..10 {
            cluster.submit(&format!("req-{i}"), "a", "red", 4, 2_000_000, now * SECOND);
        }
        let now = run_for(&mut cluster, now, 60);
        let retries = cluster.starts["req-1"] - before;
        crate::fault_injection::disable(None);
        (cluster, now, retries)
    };
    let (_, _, retries) = simulate(Some(Safeguard::SuspectJobs));
    assert!(
        retries > 10,
        "expected more than 10 starts with the safeguard disabled, got {retries}"
    );
    let (mut cluster, now, retries) = simulate(None);
    assert!(
        (1..=4).contains(&retries),
        "expected 1 to 4 starts, got {retries}"
    );
    let pending = cluster.pending_jobs(now * SECOND);
    let suspect = pending.into_iter().find(|job| job.job == "req-1");
    let suspect = suspect.expect("suspect job must be reported as pending");
    assert!(
        suspect.needs_new_attempt && suspect.pending_tasks <= 1,
        "expected a new attempt of one task at most: {suspect:?}"
    );
    // Once its tasks succeed, all tasks of the job are started.
    cluster.failing_jobs.clear();
    run_for(&mut cluster, now, 900);
    assert_eq!(cluster.started_tasks("req-1"), 400);
}

/// Guards against failure reports of unknown jobs, of older attempts, or repeated ones that
/// change the region's state. No machine is cordoned and no job becomes suspect, but each answer
/// contains commands that reap reported tasks, limited to `MAX_COMMANDS`.
#[test]
fn unknown_and_stale_failures_are_ignored() {
    let mut cluster = TestCluster::new(4);
    cluster.submit("req-1", "a", "red", 4, 2_000_000, 2 * SECOND);
    let now = run_for(&mut cluster, 3, 3);
    let failures: Vec<(String, u32, u64)> = (0..3_000)
        .map(|n| match n % 2 {
            0 => (format!("req-{}", 1_000 + n), 0, 1),
            _ => ("req-1".to_owned(), n % 4, 1),
        })
        .collect();
    for repetition in 0..5 {
        let commands = cluster.report_failures("m-0", &failures, (now + repetition) * SECOND);
        assert!(commands > 0 && commands <= crate::worker_protocol::MAX_COMMANDS);
    }
    assert_eq!(cordoned(&cluster), [""; 0]);
    assert!(!cluster.region.jobs["req-1"].failures.is_suspect());
    assert_eq!(cluster.region.jobs.len(), 1);
}
