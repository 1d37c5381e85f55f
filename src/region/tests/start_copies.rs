//! Tests of the time at which the end of a task is acted upon, while a copy of the task's start may
//! reach its machine once more.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::fixture::{heartbeat, Fixture};
use crate::fault_injection::{with_disabled, Safeguard};
use crate::region::{HeartbeatOutcome, Region};
use crate::worker_protocol::{
    Command, CommandKind, ExitReason, Heartbeat, ReportedState, ReportedTask,
};

const TOKEN: u64 = 7;
/// Time at which the task is started.
const STARTED_AT: Micros = 3 * SECOND;

/// A region with two machines, of which `m-1` runs the only task of a job.
struct Cluster {
    fixture: Fixture,
    region: Region,
    attempt: u64,
    sequence: u64,
}

impl Cluster {
    fn new() -> Self {
        let mut fixture = Fixture::new();
        fixture.add_machine("m-1");
        fixture.add_machine("m-2");
        fixture.set_share("red", 8_000_000);
        let mut region = fixture.acquire(TOKEN, SECOND);
        region.on_heartbeat(
            &heartbeat("m-2", 1, TOKEN, &[]),
            &fixture.context(2 * SECOND),
        );
        region.on_heartbeat(
            &heartbeat("m-1", 1, TOKEN, &[]),
            &fixture.context(2 * SECOND),
        );
        fixture.add_job("req-1", "red", "x", "1", 1, 0);
        region.on_job("req-1", &fixture.context(2 * SECOND));
        let mut cluster = Cluster {
            fixture,
            region,
            attempt: 0,
            sequence: 1,
        };
        let starts = cluster.report("m-1", &[], STARTED_AT);
        assert_eq!(starts.len(), 1, "{starts:?}");
        cluster.attempt = starts[0].attempt;
        cluster
    }

    /// Sends a heartbeat that lists the task in these states. Returns the commands of the answer.
    fn report(&mut self, machine: &str, states: &[ReportedState], now: Micros) -> Vec<Command> {
        self.sequence += 1;
        let tasks = states.iter().map(|state| ReportedTask {
            job: "req-1".into(),
            task: 0,
            attempt: self.attempt,
            state: *state,
        });
        let report = Heartbeat {
            tasks: tasks.collect(),
            ..heartbeat(machine, self.sequence, TOKEN, &[])
        };
        match self
            .region
            .on_heartbeat(&report, &self.fixture.context(now))
        {
            HeartbeatOutcome::Accepted(commands) => commands,
            outcome => panic!("{machine}: {outcome:?}"),
        }
    }

    /// Reports at `now` that the task ended on `m-1`, and then nothing on `m-2`. Returns whether the
    /// task was reaped on the first and whether it was started on either.
    fn report_end(&mut self, reason: ExitReason, now: Micros) -> (bool, bool) {
        let mut commands = self.report("m-1", &[ReportedState::Ended(reason)], now);
        let is_reaped = commands.iter().any(|c| c.kind == CommandKind::Reap);
        commands.extend(self.report("m-2", &[], now));
        let is_started = commands.iter().any(|c| c.kind == CommandKind::Start);
        (is_reaped, is_started)
    }
}

/// Guards against a task that runs on two machines, or again after its cancellation, because its start
/// reached the machine once more after the task was reaped: the worker then no longer knows the
/// attempt. While a copy of the start may arrive, a task that ended is neither reaped nor started
/// elsewhere, whatever became of its job.
#[test]
fn an_ended_task_is_reaped_once_no_copy_of_its_start_can_arrive() {
    for reason in [
        ExitReason::Stopped { saved: false },
        ExitReason::NoCapacity,
        ExitReason::Failed,
    ] {
        let mut cluster = Cluster::new();
        for after in [500 * MILLISECOND, 2 * SECOND, 4 * SECOND] {
            let ended = cluster.report_end(reason, STARTED_AT + after);
            assert_eq!(ended, (false, false), "{reason:?} after {after}");
        }
        let (is_reaped, _) = cluster.report_end(reason, STARTED_AT + 5 * SECOND);
        assert!(is_reaped, "{reason:?}");
        // The next attempt starts once; a refused one is retried after a pause.
        let later = STARTED_AT + 9 * SECOND;
        cluster.region.tick(&cluster.fixture.context(later));
        cluster.report("m-1", &[], later);
        cluster.report("m-2", &[], later);
        assert_eq!(cluster.region.running_tasks("req-1"), 1, "{reason:?}");
        with_disabled(Safeguard::StartCopies, || {
            let mut cluster = Cluster::new();
            let (is_reaped, _) = cluster.report_end(reason, STARTED_AT + SECOND);
            assert!(is_reaped, "{reason:?}");
        });
    }
}

/// The same for a task whose job was cancelled in between.
#[test]
fn a_cancelled_task_is_reaped_once_no_copy_of_its_start_can_arrive() {
    let cancelled = || {
        let mut cluster = Cluster::new();
        let context = cluster.fixture.context(STARTED_AT + 500 * MILLISECOND);
        cluster.region.on_reported_cancelled("req-1", &context);
        let stops = cluster.report("m-1", &[ReportedState::Running], STARTED_AT + SECOND);
        assert!(matches!(
            stops[..],
            [Command {
                kind: CommandKind::Stop { .. },
                ..
            }]
        ));
        cluster
    };
    let stopped = ExitReason::Stopped { saved: false };
    let mut cluster = cancelled();
    assert_eq!(
        cluster.report_end(stopped, STARTED_AT + 2 * SECOND),
        (false, false)
    );
    assert_eq!(
        cluster.report_end(stopped, STARTED_AT + 5 * SECOND),
        (true, false)
    );
    with_disabled(Safeguard::StartCopies, || {
        assert_eq!(
            cancelled().report_end(stopped, STARTED_AT + 2 * SECOND),
            (true, false)
        );
    });
}

/// A result counts at once; only the reap waits.
#[test]
fn a_result_counts_before_its_task_is_reaped() {
    let mut cluster = Cluster::new();
    let done = ExitReason::Done;
    assert_eq!(
        cluster.report_end(done, STARTED_AT + SECOND),
        (false, false)
    );
    assert_eq!(cluster.region.running_tasks("req-1"), 0);
    cluster
        .fixture
        .put("st/job/req-1", serde_json::json!({"st": "d"}));
    let context = cluster.fixture.context(STARTED_AT + 2 * SECOND);
    cluster.region.on_job("req-1", &context);
    assert_eq!(
        cluster.report_end(done, STARTED_AT + 2 * SECOND),
        (false, false)
    );
    assert_eq!(
        cluster.report_end(done, STARTED_AT + 5 * SECOND),
        (true, false)
    );
}
