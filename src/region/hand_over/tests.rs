//! Tests of handovers of jobs that are partly done.

use std::collections::BTreeMap;

use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};
use serde_json::json;

use super::*;
use crate::fault_injection::with_disabled;
use crate::region::tests::fixture::{count_starts, heartbeat, Fixture};
use crate::region::{Action, HeartbeatOutcome, TaskState};
use crate::state_store::Transaction;
use crate::worker_protocol::{CommandKind, ExitReason, Heartbeat, ReportedState, ReportedTask};

const TASKS: u32 = 8;
const TOKEN: u64 = 7;
/// A time after the lease of a machine that was last heard at the beginning has expired.
const AFTER_LEASE: Micros = 60 * SECOND;

/// Number of tasks of a job that may run at the same time, as there is one zone.
fn tasks_in_one_zone(spec: &JobSpec) -> usize {
    let tasks = spec.task_count as usize;
    if spec.spread_zones {
        tasks.div_ceil(2)
    } else {
        tasks
    }
}

/// Regions `t-0`, with the machine `m-0`, and `t-1`, with the machines `n-0` and `n-1`, and a job of
/// eight tasks that is bound to `t-0`.
struct Cluster {
    fixture: Fixture,
    former: Region,
}

impl Cluster {
    /// `constraint`: the constraint of the job in its record, or "" if it has none.
    fn new(constraint: &str) -> Self {
        let mut fixture = Fixture::new();
        fixture.put(
            "st/flavor/box",
            json!({"name":"box","cpus":4_000_000,"gpus":0,"mem":9_000_000,"fetch":1,
            "price":1,"spot_price":1,"boot":10_000_000,"zones":["a"]}),
        );
        for (name, region) in [("m-0", "t-0"), ("n-0", "t-1"), ("n-1", "t-1")] {
            let record =
                json!({"region":region,"flavor":"box","zone":"a","spot":false,"opened":true});
            fixture.put(&format!("st/machine/{name}"), record);
        }
        fixture.put(
            "st/quota/red",
            json!({"t-0":[4_000_000, 0], "t-1":[4_000_000, 0]}),
        );
        let mut former = fixture.acquire(TOKEN, SECOND);
        let ready = heartbeat("m-0", 1, TOKEN, &[]);
        former.on_heartbeat(&ready, &fixture.context(2 * SECOND));
        let mut spec = json!({"c":"x","t":"red","k":"a","r":"1","n":TASKS,"u":500_000,"m":1_000_000,
            "i":"img","e":5_000_000,"a":0});
        if !constraint.is_empty() {
            spec[constraint] = json!(true);
        }
        fixture.put(
            "st/job/req-1",
            json!({"st":"o","b":[[0,TASKS,"t-0"]],"j":spec}),
        );
        former.on_job("req-1", &fixture.context(2 * SECOND));
        Cluster { fixture, former }
    }

    fn context(&self, now: Micros) -> SchedulingContext<'_> {
        self.fixture.context(now)
    }

    /// Starts all tasks on `m-0` and reports that those in `done` are done.
    fn run_until_done(&mut self, done: &[u32]) {
        let context = self.fixture.context(2 * SECOND);
        self.former.place_pending(&context);
        let outcome = self.report(2, &[], 3 * SECOND);
        let spec = &self.former.jobs["req-1"].spec;
        assert_eq!(count_starts(&outcome), tasks_in_one_zone(spec));
        self.report(3, done, 5 * SECOND);
    }

    /// Attempt number of a task that is on `m-0`.
    fn attempt_of(&mut self, task: u32) -> u64 {
        let id: JobId = "req-1".into();
        self.former
            .assignment_mut(&id, task, "m-0")
            .unwrap()
            .attempt
    }

    /// Sends a heartbeat of `m-0` that lists all tasks started there, those in `done` as done.
    fn report(&mut self, sequence: u64, done: &[u32], now: Micros) -> HeartbeatOutcome {
        let tasks = self.former.inventory.tasks("m-0");
        let started = tasks.filter(|(_, assignment)| assignment.state != TaskState::Assigned);
        let tasks = started.map(|((_, task), assignment)| (*task, assignment.attempt));
        let tasks = tasks.map(|(number, attempt)| ReportedTask {
            job: "req-1".into(),
            task: number,
            attempt,
            state: match done.contains(&number) {
                true => ReportedState::Ended(ExitReason::Done),
                false => ReportedState::Running,
            },
        });
        let listed = Heartbeat {
            tasks: tasks.collect(),
            ..heartbeat("m-0", sequence, TOKEN, &[])
        };
        let context = self.fixture.context(now);
        self.former.on_heartbeat(&listed, &context)
    }

    /// Runs the upkeep of the former region and commits what it requests.
    fn run_upkeep(&mut self, now: Micros) {
        self.former.tick(&self.fixture.context(now));
        self.commit_requested(now);
    }

    /// Commits what the former region requests. Returns the transactions on the job's record.
    fn commit_requested(&mut self, now: Micros) -> Vec<Transaction> {
        let mut of_job = Vec::new();
        for action in self.former.take_actions() {
            let Action::Commit(transaction, _, kind) = action else {
                continue;
            };
            for (key, value) in &transaction.changes {
                let value = value.clone();
                if let Some(value) = value {
                    self.fixture.put(&key.text(), value);
                }
            }
            let context = self.fixture.context(now);
            if matches!(kind, CommitKind::Rebind(_)) {
                self.former.on_job("req-1", &context);
                of_job.push(transaction);
            }
            self.former.conclude_commit(kind, true, &context);
        }
        of_job
    }

    /// Loses the machine `m-0`: its lease expires, so all its tasks are pending. Until then the
    /// results are recorded.
    fn lose_machine(&mut self) {
        self.run_upkeep(6 * SECOND);
        self.run_upkeep(10 * SECOND);
        self.run_upkeep(AFTER_LEASE);
        assert_eq!(self.former.running_tasks("req-1"), 0);
    }

    /// Requests the handover of the whole job to `t-1`. Returns whether it was committed.
    fn hand_over(&mut self, now: Micros) -> bool {
        let context = self.fixture.context(now);
        self.former.hand_over_tasks("req-1", "t-1", TASKS, &context);
        !self.commit_requested(now).is_empty()
    }

    fn task_ranges(&self) -> &[TaskRange] {
        &self.fixture.replica.jobs["req-1"].value.task_ranges
    }

    /// Returns the tasks that a new owner of `t-1` starts on its machines, which run them.
    fn started_by_new_owner(&self, now: Micros) -> Vec<u32> {
        let mut region = Region::new("t-1", TOKEN + 1, 1, &self.context(now));
        let mut started: BTreeMap<&str, Vec<(&str, u32, u64)>> = BTreeMap::new();
        for sequence in 1..=3 {
            for machine in ["n-0", "n-1"] {
                let running = started.entry(machine).or_default();
                let report = heartbeat(machine, sequence, TOKEN + 1, running);
                let context = self.context(now + sequence * SECOND);
                let HeartbeatOutcome::Accepted(commands) = region.on_heartbeat(&report, &context)
                else {
                    panic!("{machine}: not accepted");
                };
                let starts = commands.iter().filter(|c| c.kind == CommandKind::Start);
                running.extend(starts.map(|start| ("req-1", start.task, start.attempt)));
            }
        }
        let mut tasks: Vec<u32> = started
            .values()
            .flatten()
            .map(|started| started.1)
            .collect();
        tasks.sort_unstable();
        tasks
    }
}

/// Guards against a job that must stay in one zone and, once a part of it is done, can never leave a
/// region that lost its machines. What is left moves, whatever was done, and the next owner starts
/// exactly that, also if it begins anew after the move.
#[test]
fn a_partly_done_job_leaves_its_region() {
    for constraint in ["o", "p", ""] {
        for done in [
            &[][..],
            &[3],
            &[0, 1, 2, 3],
            &[0, 2, 4, 6],
            &[0, 1, 2, 3, 4, 5, 6],
        ] {
            let mut cluster = Cluster::new(constraint);
            let in_one_zone = tasks_in_one_zone(&cluster.former.jobs["req-1"].spec);
            if done.iter().any(|task| *task as usize >= in_one_zone) {
                continue;
            }
            cluster.run_until_done(done);
            cluster.lose_machine();
            assert!(cluster.hand_over(AFTER_LEASE), "{constraint:?} {done:?}");
            let whole = [TaskRange::new(0, TASKS, "t-1")];
            assert_eq!(cluster.task_ranges(), whole, "{constraint:?} {done:?}");
            assert!(!cluster.former.jobs.contains_key("req-1"));
            let mut left: Vec<u32> = (0..TASKS).filter(|task| !done.contains(task)).collect();
            left.truncate(in_one_zone);
            assert_eq!(
                cluster.started_by_new_owner(AFTER_LEASE),
                left,
                "{constraint:?} {done:?}"
            );
        }
    }
}

/// Guards against results that are lost in a move. They are in memory only until they are on record,
/// and a region forgets a job of which it keeps no task.
#[test]
fn results_are_on_record_before_the_job_leaves() {
    let attempt = |disabled: bool| {
        let mut cluster = Cluster::new("o");
        cluster.run_until_done(&[0, 1, 2, 3]);
        // The state service answers nothing from the ends of the tasks on.
        let actions = cluster.former.take_actions();
        let is_progress =
            |action: &&Action| matches!(action, Action::Commit(_, _, CommitKind::Progress(..)));
        for action in actions.iter().filter(is_progress) {
            if let Action::Commit(_, _, kind) = action {
                let context = cluster.fixture.context(6 * SECOND);
                cluster
                    .former
                    .conclude_commit(kind.clone(), false, &context);
            }
        }
        cluster.former.take_actions();
        let job = cluster.former.jobs.get_mut("req-1").unwrap();
        job.commit_in_flight = false;
        cluster
            .former
            .check_due_machines(&cluster.fixture.context(AFTER_LEASE));
        cluster.former.take_actions();
        let job = cluster.former.jobs.get_mut("req-1").unwrap();
        job.commit_in_flight = false;
        assert_eq!(job.tasks.unrecorded_done().len(), 4);
        let has_moved = match disabled {
            true => with_disabled(Safeguard::RecordedResults, || {
                cluster.hand_over(AFTER_LEASE)
            }),
            false => cluster.hand_over(AFTER_LEASE),
        };
        (cluster, has_moved)
    };
    let (mut cluster, has_moved) = attempt(false);
    assert!(!has_moved);
    // The progress is due at once, and the next request is granted.
    cluster.run_upkeep(AFTER_LEASE + 2 * SECOND);
    assert!(cluster.hand_over(AFTER_LEASE + 3 * SECOND));
    let later = AFTER_LEASE + 4 * SECOND;
    assert_eq!(cluster.started_by_new_owner(later), [4, 5, 6, 7]);
    // Without the safeguard the results are gone, and the done tasks start again.
    let (cluster, has_moved) = attempt(true);
    assert!(has_moved);
    let all: Vec<u32> = (0..TASKS).collect();
    assert_eq!(cluster.started_by_new_owner(AFTER_LEASE), all);
}

/// Guards against a job in one zone of which a part leaves while a former owner may have started the
/// rest: the parts could then run in different zones.
#[test]
fn an_indivisible_job_is_not_divided() {
    let attempt = || {
        let mut cluster = Cluster::new("o");
        cluster.run_until_done(&[]);
        let attempt = cluster.attempt_of(0);
        // A new owner hears from one of two machines, where a task runs and then ends.
        let record = json!({"region":"t-0","flavor":"box","zone":"a","spot":false,"opened":true});
        cluster.fixture.put("st/machine/m-1", record);
        cluster.former = cluster.fixture.acquire(TOKEN + 1, 7 * SECOND);
        for (sequence, running) in [(4, &[("req-1", 0, attempt)][..]), (5, &[])] {
            let report = heartbeat("m-0", sequence, TOKEN + 1, running);
            let context = cluster.fixture.context(8 * SECOND);
            cluster.former.on_heartbeat(&report, &context);
        }
        let job = &cluster.former.jobs["req-1"];
        assert_eq!(job.tasks.pending().len(), 1);
        assert_eq!(job.tasks.unreconciled().len(), TASKS - 1);
        cluster.hand_over(8 * SECOND)
    };
    assert!(!attempt());
    assert!(with_disabled(Safeguard::WholeJobMoves, attempt));
}

/// Guards against a job in one zone that leaves a machine on which one of its tasks still is, although
/// the task's result is known: the others could then start in another zone beside it.
#[test]
fn a_done_task_on_a_machine_keeps_its_job() {
    let attempt = || {
        let mut cluster = Cluster::new("o");
        cluster.run_until_done(&[]);
        let context = cluster.fixture.context(6 * SECOND);
        let id: JobId = "req-1".into();
        for task in 0..TASKS - 1 {
            cluster
                .former
                .transition(&id, task, TaskState::Pending, None, context.now);
        }
        let job = cluster.former.jobs.get_mut(&id).unwrap();
        job.tasks.add_result(TASKS - 1);
        job.tasks
            .mark_results_recorded(&RangeSet::from_range(0, TASKS));
        assert_eq!(cluster.former.running_tasks("req-1"), 1);
        cluster.hand_over(6 * SECOND)
    };
    assert!(!attempt());
    assert!(with_disabled(Safeguard::EmptyMachinesLeft, attempt));
}

/// Guards against a new owner that hands over tasks which the former owner may have started: until
/// all machines are reconciled, the rest of a partly done job stays.
#[test]
fn an_unreconciled_job_stays() {
    let attempt = |constraint: &str| {
        let mut cluster = Cluster::new(constraint);
        cluster.run_until_done(&[0, 1, 2, 3]);
        cluster.run_upkeep(6 * SECOND);
        cluster.run_upkeep(10 * SECOND);
        // The owner begins anew: the machine has not been heard under the new token.
        cluster.former = cluster.fixture.acquire(TOKEN + 1, 11 * SECOND);
        (cluster.hand_over(12 * SECOND), cluster)
    };
    for constraint in ["o", ""] {
        let (has_moved, mut cluster) = attempt(constraint);
        assert!(!has_moved, "{constraint:?}");
        // Once the machine's lease has expired, the rest moves.
        cluster.run_upkeep(AFTER_LEASE);
        assert!(cluster.hand_over(AFTER_LEASE), "{constraint:?}");
        let started = cluster.started_by_new_owner(AFTER_LEASE);
        assert_eq!(started, [4, 5, 6, 7], "{constraint:?}");
    }
}

/// Guards against a request that ends a handover in flight, and against one about a job that is over.
#[test]
fn refusals_change_nothing() {
    let mut cluster = Cluster::new("o");
    cluster.run_until_done(&[0]);
    cluster.lose_machine();
    let request = |cluster: &mut Cluster, job: &str, to: &str, count: u32| {
        let context = cluster.fixture.context(AFTER_LEASE);
        cluster.former.try_hand_over(job, to, count, &context)
    };
    assert_eq!(
        request(&mut cluster, "req-9", "t-1", TASKS),
        Err(HandOverRefusal::UnknownJob)
    );
    assert_eq!(
        request(&mut cluster, "req-1", "t-0", TASKS),
        Err(HandOverRefusal::SameRegion)
    );
    assert_eq!(
        request(&mut cluster, "req-1", "t-1", 0),
        Err(HandOverRefusal::NothingPending)
    );
    assert_eq!(request(&mut cluster, "req-1", "t-1", TASKS), Ok(()));
    assert_eq!(
        request(&mut cluster, "req-1", "t-1", TASKS),
        Err(HandOverRefusal::CommitInFlight)
    );
}
