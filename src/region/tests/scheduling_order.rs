//! Tests of the order in which pending jobs are placed, also under sustained overload.

use salttiller_records::units::SECOND;
use serde_json::json;

use super::fixture::Fixture;
use super::test_cluster::TestCluster;

/// Pending jobs are ordered by guarantee, then priority, then the operators' class precedence, then
/// objectives.
#[test]
fn order_of_pending_jobs() {
    let mut fixture = Fixture::new();
    fixture.settings.operator.class_precedence = vec!["first".into(), "second".into()];
    // Team red is guaranteed 4 processors: its first job fits, the others don't.
    for (i, (id, class, priority, tasks)) in [
        ("req-1", "other", "1", 2),
        ("req-2", "second", "1", 2),
        ("req-3", "first", "1", 2),
        ("req-4", "other", "3", 2),
        ("req-5", "other", "1", 1),
    ]
    .into_iter()
    .enumerate()
    {
        fixture.add_job(id, "red", class, priority, tasks, i as u64);
    }
    let mut region = fixture.acquire(7, SECOND);
    let context = fixture.context(SECOND);
    region.place_pending(&context);
    let order: Vec<String> = region
        .report(&context)
        .pending_jobs
        .into_iter()
        .map(|pending| pending.job)
        .collect();
    assert_eq!(order, ["req-1", "req-4", "req-3", "req-2", "req-5"]);
}

/// Guards against small jobs that starve a large gang because they never leave enough machines free
/// at once: capacity is reserved for the gang in time.
#[test]
fn a_large_gang_is_not_starved() {
    let mut cluster = TestCluster::new(4);
    let mut started_at = None;
    for second in 2..240u64 {
        let now = second * SECOND;
        // More small jobs than can be started, of the same priority and team.
        cluster.overload(second, "red");
        if second == 10 {
            cluster.submit("req-1", "g", "red", 4, 4_000_000, now);
        }
        cluster.run_second(now, None);
        if cluster.started_tasks("req-1") == 4 {
            started_at = Some(second);
            break;
        }
    }
    let started_at = started_at.expect("the gang never started");
    assert!(
        started_at < 10 + 120,
        "the gang should start within 120 s, started after {} s",
        started_at - 10
    );
}

/// Guards against starvation under more small jobs than there is capacity for. Later or shorter
/// jobs must not overtake forever the largest job of a class, a class whose objectives are missed,
/// or a team beyond its guarantee. Each of these starts within four minutes.
#[test]
fn no_job_is_starved_under_overload() {
    let missed_objective = crate::settings::Objective {
        kind: "wait".into(),
        class: Some("late".into()),
        threshold: Some(SECOND),
        target: 0.9,
    };
    for (case, class, team, tasks) in [
        ("largest", "x", "red", 24),
        ("class", "late", "red", 1),
        ("team", "x", "blue", 24),
    ] {
        let mut cluster = TestCluster::new(4);
        cluster.fixture.settings.objectives = vec![missed_objective.clone()];
        let mut started_at = None;
        for second in 2..300u64 {
            let now = second * SECOND;
            cluster.overload(second, "red");
            if second == 10 {
                let record = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a",
                    "r":"1","n":tasks,"u":2_000_000,"m":1_000_000,"i":"img","e":4_000_000,"a":now}});
                cluster.fixture.put("st/job/req-1", record);
                cluster
                    .region
                    .on_job("req-1", &cluster.fixture.context(now));
            }
            cluster.run_second(now, None);
            if cluster.started_tasks("req-1") as u64 == tasks {
                started_at = Some(second);
                break;
            }
        }
        let started_at =
            started_at.unwrap_or_else(|| panic!("{case}: req-1 never started all its tasks"));
        assert!(
            started_at <= 10 + 240,
            "{case}: req-1 should start within 240 s, started after {} s",
            started_at - 10
        );
    }
}

/// Guards against low-priority jobs that starve while jobs of higher priority never leave a machine
/// free. A low-priority job starts within four minutes, one task at a time, and the jobs of higher
/// priority still start.
#[test]
fn low_priority_starts_under_sustained_overload() {
    let mut cluster = TestCluster::new(3);
    cluster.submit_with("req-1", "red", ("a", "0"), 4, 2_000_000, 2 * SECOND);
    let mut started_at = None;
    for second in 3..300u64 {
        let now = second * SECOND;
        cluster.overload(second, "blue");
        cluster.run_second(now, None);
        if started_at.is_none() && cluster.starts.contains_key("req-1") {
            started_at = Some(second);
        }
    }
    let started_at = started_at.expect("the low-priority job never started");
    assert!(
        (150..240).contains(&started_at),
        "the low-priority job should start between 150 s and 240 s, started at {started_at} s"
    );
    assert!(
        cluster.starts["req-1"] <= 4,
        "expected at most 4 starts of the low-priority job, got {}",
        cluster.starts["req-1"]
    );
}

/// Guards against a flood of aged one-task jobs of low priority that all go first: only one task of
/// them at a time is started before its regular rank.
#[test]
fn aged_jobs_go_first_one_at_a_time() {
    let mut cluster = TestCluster::new(3);
    for n in 0..200 {
        let id = format!("req-{}", 10_000 + n);
        cluster.submit_with(&id, "guest", ("a", "0"), 1, 2_000_000, 2 * SECOND);
    }
    for second in 3..300u64 {
        let now = second * SECOND;
        cluster.overload(second, "blue");
        cluster.run_second(now, None);
        if second == 60 {
            // The capacity that was free at the beginning is in use by then.
            cluster.starts.clear();
        }
    }
    let started = cluster.starts.keys().filter(|id| id.len() == 9);
    let started = started.count();
    assert!(
        (10..=30).contains(&started),
        "expected 10 to 30 started jobs of the flood, got {started}"
    );
}
