//! The order in which pending jobs are served, under lasting overload too.

use salttiller_records::units::SECOND;
use serde_json::json;

use super::fixture::Fixture;
use super::test_cluster::TestCluster;

/// Guarantee, then priority, then the operators' precedence, then the objectives.
#[test]
fn order_of_pending_jobs() {
    let mut fixture = Fixture::new();
    fixture.settings.operator.class_precedence = vec!["first".into(), "second".into()];
    // Red is guaranteed 4 processors: its first job fits, the others don't.
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
        fixture.job(id, "red", class, priority, tasks, i as u64);
    }
    let mut region = fixture.acquire(7, SECOND);
    let context = fixture.context(SECOND);
    region.place_pending(&context);
    let order: Vec<String> = region
        .report(&context)
        .pending_jobs
        .into_iter()
        .map(|w| w.job)
        .collect();
    assert_eq!(order, ["req-1", "req-4", "req-3", "req-2", "req-5"]);
}

/// Small work that never leaves a whole set of machines by itself does not keep a large
/// gang from its places: they are reserved for it in time.
#[test]
fn a_large_gang_is_not_starved() {
    let mut cluster = TestCluster::new(4);
    let mut began = None;
    for second in 2..240u64 {
        let now = second * SECOND;
        // More small work than can be started, of the same priority and team.
        cluster.overload(second, "red");
        if second == 10 {
            cluster.submit("req-1", "g", "red", 4, 4_000_000, now);
        }
        cluster.play_second(now, None);
        if cluster.began.keys().filter(|(j, _)| j == "req-1").count() == 4 {
            began = Some(second);
            break;
        }
    }
    let began = began.expect("never began");
    assert!(began < 10 + 120, "began after {} s", began - 10);
}

/// Under more small work than there is capacity for, whatever comes later or is shorter
/// doesn't pass a job over for ever: not a class's largest, not a class whose objectives
/// are missed, not a team beyond its guarantee. Each begins within four minutes.
#[test]
fn nothing_is_passed_over_for_ever() {
    let past = crate::settings::Objective {
        kind: "wait".into(),
        class: Some("late".into()),
        threshold: Some(SECOND),
        target: 0.9,
    };
    for (what, class, team, tasks) in [
        ("largest", "x", "red", 24),
        ("class", "late", "red", 1),
        ("team", "x", "blue", 24),
    ] {
        let mut cluster = TestCluster::new(4);
        cluster.fixture.settings.objectives = vec![past.clone()];
        let mut began = None;
        for second in 2..300u64 {
            let now = second * SECOND;
            for i in 0..3 {
                let id = format!("req-{}", second * 10 + i);
                cluster.submit(&id, "a", "red", 1, 2_000_000, now);
            }
            if second == 10 {
                let record = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a",
                    "r":"1","n":tasks,"u":2_000_000,"m":1_000_000,"i":"img","e":4_000_000,"a":now}});
                cluster.fixture.put("st/job/req-1", record);
                cluster
                    .region
                    .on_job("req-1", &cluster.fixture.context(now));
            }
            cluster.play_second(now, None);
            let n = cluster.began.keys().filter(|(j, _)| j == "req-1").count();
            if n as u64 == tasks {
                began = Some(second);
                break;
            }
        }
        let began = began.unwrap_or_else(|| panic!("{what}: never began"));
        assert!(began <= 10 + 240, "{what}: began after {} s", began - 10);
    }
}

/// Work of low priority begins within four minutes, a task at a time, though work of higher
/// priority never leaves a machine free; that work goes on being served.
#[test]
fn low_priority_begins_under_lasting_overload() {
    let mut cluster = TestCluster::new(3);
    cluster.submit_with("req-1", "red", ("a", "0"), 4, 2_000_000, 2 * SECOND);
    let mut began = None;
    for second in 3..300u64 {
        let now = second * SECOND;
        cluster.overload(second, "blue");
        cluster.play_second(now, None);
        if began.is_none() && cluster.starts.contains_key("req-1") {
            began = Some(second);
        }
    }
    let began = began.expect("never began");
    assert!((150..240).contains(&began), "began at {began} s");
    assert!(
        cluster.starts["req-1"] <= 4,
        "{} starts",
        cluster.starts["req-1"]
    );
}

/// A flood of old one-task jobs of low priority doesn't go before other work as a whole.
#[test]
fn a_flood_of_old_jobs_goes_first_one_at_a_time() {
    let mut cluster = TestCluster::new(3);
    for n in 0..200 {
        let id = format!("req-{}", 10_000 + n);
        cluster.submit_with(&id, "guest", ("a", "0"), 1, 2_000_000, 2 * SECOND);
    }
    for second in 3..300u64 {
        let now = second * SECOND;
        cluster.overload(second, "blue");
        cluster.play_second(now, None);
        if second == 60 {
            // What was free at the beginning is in use by then.
            cluster.starts.clear();
        }
    }
    let low = cluster.starts.keys().filter(|id| id.len() == 9);
    let low = low.count();
    assert!((10..=30).contains(&low), "{low} of the flood began");
}
