//! When a job ends, by results here and elsewhere.

use salttiller_records::units::SECOND;
use serde_json::json;

use super::fixture::{heartbeat, Fixture};
use crate::region::{Action, CommitKind};
use crate::worker_protocol::{ExitReason, ReportedState};

/// The last task's progress and the job's cancellation come in one answer: the
/// replica shows both before the region gets the first event. The end must not be committed
/// on the cancelled record's revision: done would follow cancelled.
#[test]
fn a_cancellation_in_the_same_answer_as_the_last_result() {
    for (cancelled, ends) in [(false, 1), (true, 0)] {
        let mut fixture = Fixture::new();
        fixture.machine("m-1");
        fixture.job("req-1", "red", "x", "1", 2, 0);
        fixture.share("red", 8_000_000);
        let mut region = fixture.acquire(7, SECOND);
        fixture.put("st/progress/req-1/t-1/0", json!("3"));
        if cancelled {
            fixture.put("st/job/req-1", json!({"st": "c"}));
        }
        let context = fixture.context(2 * SECOND);
        region.on_progress("req-1", &context);
        let is_end = |e: &Action| matches!(e, Action::Commit(_, _, CommitKind::JobDone(_)));
        assert_eq!(
            region.take_actions().iter().filter(|e| is_end(e)).count(),
            ends
        );
    }
}

/// One result of a gang ends it, whichever region saw it: its tasks complete
/// together, and the machines of the others may be gone. Of an array each counts.
#[test]
fn one_result_ends_a_gang() {
    for (kind, elsewhere, ends) in [
        ("g", false, true),
        ("g", true, true),
        ("a", false, false),
        ("a", true, false),
    ] {
        let mut fixture = Fixture::new();
        fixture.machine("m-1");
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
            .any(|e| matches!(e, Action::Commit(_, _, CommitKind::JobDone(id)) if &*id == "req-1"));
        assert_eq!(finished, ends, "{kind} {elsewhere}");
    }
}
