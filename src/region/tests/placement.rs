//! Tests of the choice of machines for tasks.

use std::collections::BTreeMap;

use salttiller_records::model::JobId;
use salttiller_records::units::{MILLISECOND, SECOND};
use serde_json::json;

use super::fixture::{count_starts, heartbeat, Fixture};
use super::test_cluster::TestCluster;
use crate::region::machine_index::IndexEntry;
use crate::region::{Action, HeartbeatOutcome};
use crate::worker_protocol::{CommandKind, ExitReason, ReportedState, ReportedTask};

/// Adds a machine of a type that only large jobs depend on.
fn add_large_machine(fixture: &mut Fixture, name: &str) {
    let machine_type = json!({"name":"big","cpus":16_000_000,"gpus":0,"mem":64_000_000,"fetch":1,
        "price":9,"spot_price":9,"boot":10_000_000,"zones":["a"]});
    fixture.put("st/flavor/big", machine_type);
    let machine = json!({"region":"t-0","flavor":"big","zone":"a","spot":false,"opened":true});
    fixture.put(&format!("st/machine/{name}"), machine);
}

/// Adds a job of one task that fits on no smaller machine.
fn add_large_job(fixture: &mut Fixture, id: &str) {
    let record = json!({"st":"o","b":[[0,1,"t-0"]],"j":{"c":"l","t":"red","k":"a","r":"1","n":1,
        "u":10_000_000,"m":20_000_000,"i":"img","e":5_000_000,"a":1}});
    fixture.put(&format!("st/job/{id}"), record);
}

/// Guards against small jobs that keep a machine of a large type running. Once no large job has run
/// on the machine for a while, it gets no more small jobs until a large job is pending again.
#[test]
fn small_jobs_do_not_keep_a_large_machine() {
    let mut fixture = Fixture::new();
    add_large_machine(&mut fixture, "m-1");
    fixture.set_share("red", 60_000_000);
    let mut region = fixture.acquire(7, SECOND);
    region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &fixture.context(2 * SECOND));
    add_large_job(&mut fixture, "req-1");
    region.on_job("req-1", &fixture.context(2 * SECOND));
    fixture.add_job("req-2", "red", "s", "1", 1, 0);
    region.on_job("req-2", &fixture.context(2 * SECOND));
    let mut attempts = BTreeMap::new();
    let mut started = Vec::new();
    for second in 3..90 {
        let context = fixture.context(second * SECOND);
        let tasks: Vec<(&str, u32, u64)> = attempts
            .iter()
            .filter(|((id, _), _): &(&(JobId, u32), &u64)| second < 20 || &**id != "req-1")
            .map(|((id, n), a)| (&**id, *n, *a))
            .collect();
        let mut report = heartbeat("m-1", second, 7, &tasks);
        if second == 20 {
            let attempt = attempts[&(JobId::from("req-1"), 0)];
            report.tasks.push(ReportedTask {
                job: "req-1".into(),
                task: 0,
                attempt,
                state: ReportedState::Ended(ExitReason::Done),
            });
        }
        if let HeartbeatOutcome::Accepted(commands) = region.on_heartbeat(&report, &context) {
            for command in commands {
                if command.kind == CommandKind::Start {
                    started.push(command.job.to_string());
                    attempts.insert((command.job, command.task), command.attempt);
                }
            }
        }
        region.tick(&context);
        for action in region.take_actions() {
            if let Action::Commit(_, _, kind) = action {
                region.conclude_commit(kind, true, &context);
            }
        }
        if second == 70 {
            fixture.add_job("req-3", "red", "s", "1", 1, 0);
            region.on_job("req-3", &fixture.context(second * SECOND));
        }
        if second == 80 {
            assert_eq!(
                started,
                ["req-1", "req-2"],
                "req-3 is small, so it should not start on the large machine"
            );
            add_large_job(&mut fixture, "req-4");
            region.on_job("req-4", &fixture.context(second * SECOND));
        }
    }
    assert!(
        started.contains(&"req-4".to_owned()),
        "the large job req-4 should start, started: {started:?}"
    );
}

/// A task assigned to a machine whose heartbeat is yet to come is started by another machine whose
/// heartbeat comes earlier, if that machine holds no more tasks or the delay was long. The task
/// starts only once.
#[test]
fn undispatched_tasks_are_reassigned() {
    for (busy, at, reassigned) in [
        (false, 3200, true),
        // The other machine holds more tasks: reassigned only after an eighth of a heartbeat
        // interval.
        (true, 3200, false),
        (true, 3500, true),
        // The heartbeat of the assigned machine is due.
        (false, 5300, false),
    ] {
        let mut fixture = Fixture::new();
        fixture.add_machine("m-1");
        fixture.add_machine("m-2");
        fixture.set_share("red", 8_000_000);
        if busy {
            fixture.add_job("req-1", "red", "x", "1", 1, 0);
        }
        let mut region = fixture.acquire(7, SECOND);
        let running = [("req-1", 0, 7 << 24)];
        let running = if busy { &running[..] } else { &[] };
        region.on_heartbeat(
            &heartbeat("m-2", 1, 7, running),
            &fixture.context(2 * SECOND),
        );
        region.on_heartbeat(&heartbeat("m-1", 1, 7, &[]), &fixture.context(2 * SECOND));
        fixture.add_job("req-2", "red", "x", "1", 1, 0);
        region.on_job("req-2", &fixture.context(3 * SECOND));
        region.place_pending(&fixture.context(3 * SECOND));
        let other_outcome = region.on_heartbeat(
            &heartbeat("m-2", 2, 7, running),
            &fixture.context(at * MILLISECOND),
        );
        let assigned_outcome = region.on_heartbeat(
            &heartbeat("m-1", 2, 7, &[]),
            &fixture.context(at * MILLISECOND + 1),
        );
        assert_eq!(
            (
                count_starts(&other_outcome),
                count_starts(&assigned_outcome)
            ),
            (reassigned.into(), (!reassigned).into()),
            "starts on the other and the assigned machine, with busy={busy} at {at} ms"
        );
        assert!(region.undispatched.is_empty());
    }
}

/// A machine that executes no commands gets no more tasks after two attempts. The tasks assigned to
/// it run on another machine, and the machine is used again once its incarnation has lasted
/// for longer than a lease.
#[test]
fn an_unreachable_machine_gets_no_tasks() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("req-1", "a", "red", 4, 2_000_000, SECOND);
    for second in 2..8 {
        cluster.run_second(second * SECOND, Some("m-0"));
    }
    assert_eq!(
        cluster.region.inventory.machine("m-0").unwrap().index_entry,
        IndexEntry::Unlisted
    );
    assert!(cluster
        .region
        .inventory
        .machine("m-0")
        .unwrap()
        .tasks
        .is_empty());
    for second in 8..16 {
        cluster.run_second(second * SECOND, Some("m-0"));
    }
    assert_eq!(
        cluster.first_starts.len(),
        4,
        "all tasks should run on the other machine"
    );
    for second in 16..40 {
        cluster.run_second(second * SECOND, None);
    }
    assert!(matches!(
        cluster.region.inventory.machine("m-0").unwrap().index_entry,
        IndexEntry::Available { .. }
    ));
}
