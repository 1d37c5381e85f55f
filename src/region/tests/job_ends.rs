//! Tests of the end of jobs, by results in this region and in others.

use salttiller_records::units::SECOND;
use serde_json::json;

use super::fixture::{heartbeat, Fixture};
use crate::region::{Action, CommitKind};
use crate::worker_protocol::{ExitReason, ReportedState};

/// Guards against a cancelled job that is then committed as done. The last task's progress and the
/// job's cancellation arrive in one answer of the state service, so the replica holds both before
/// the region handles the first event. The end must not be committed on the revision of the
/// cancelled record.
#[test]
fn a_cancelled_job_is_not_committed_as_done() {
    for (cancelled, ends) in [(false, 1), (true, 0)] {
        let mut fixture = Fixture::new();
        fixture.add_machine("m-1");
        fixture.add_job("req-1", "red", "x", "1", 2, 0);
        fixture.set_share("red", 8_000_000);
        let mut region = fixture.acquire(7, SECOND);
        fixture.put("st/progress/req-1/t-1/0", json!("3"));
        if cancelled {
            fixture.put("st/job/req-1", json!({"st": "c"}));
        }
        let context = fixture.context(2 * SECOND);
        region.on_progress("req-1", &context);
        let is_end =
            |action: &Action| matches!(action, Action::Commit(_, _, CommitKind::JobDone(_)));
        assert_eq!(
            region
                .take_actions()
                .iter()
                .filter(|action| is_end(action))
                .count(),
            ends,
            "commits of the end, with cancelled={cancelled}"
        );
    }
}

/// One result ends a gang, whichever region received it: the tasks of a gang complete together, and
/// the machines of the other tasks may be gone. An array ends only with the results of all tasks.
#[test]
fn one_result_ends_a_gang() {
    for (kind, elsewhere, ends) in [
        ("g", false, true),
        ("g", true, true),
        ("a", false, false),
        ("a", true, false),
    ] {
        let mut fixture = Fixture::new();
        fixture.add_machine("m-1");
        let record = json!({"st":"o","b":[[0,2,""],[2,3,"t-0"]],"g":[9,null],"j":{"c":"x","t":"red","k":kind,
            "r":"1","n":3,"u":2_000_000,"m":1_000_000,"i":"img","e":5_000_000,"a":1}});
        fixture.put("st/job/req-1", record);
        let mut region = fixture.acquire(7, SECOND);
        if elsewhere {
            fixture.put("st/progress/req-1/t-1/0", json!("1"));
            region.on_progress("req-1", &fixture.context(2 * SECOND));
        } else {
            let mut report = heartbeat("m-1", 1, 7, &[("req-1", 2, 9)]);
            report.tasks[0].state = ReportedState::Ended(ExitReason::Done);
            region.on_heartbeat(&report, &fixture.context(2 * SECOND));
        }
        let finished = region
            .take_actions()
            .into_iter()
            .any(|action| {
                matches!(action, Action::Commit(_, _, CommitKind::JobDone(id)) if &*id == "req-1")
            });
        assert_eq!(
            finished, ends,
            "end of a job of kind {kind} after a result, elsewhere={elsewhere}"
        );
    }
}
