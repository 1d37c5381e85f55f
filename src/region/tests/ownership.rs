//! Tests of reconciliation by a new owner of a region: conclusions from heartbeats and from their
//! absence.

use salttiller_records::units::SECOND;

use super::fixture::{count_starts, heartbeat, Fixture};
use crate::region::{Action, HeartbeatOutcome};

/// Tasks that a former owner may have started stay unreconciled until every machine has reported.
/// Heartbeats that are late, repeated or under another token change nothing.
#[test]
fn reconciliation_waits_for_every_machine() {
    let mut fixture = Fixture::new();
    fixture.add_machine("m-1");
    fixture.add_machine("m-2");
    fixture.add_job("req-1", "red", "x", "1", 2, 0);
    fixture.set_share("red", 8_000_000);
    let mut region = fixture.acquire(7, SECOND);
    let at = |second: u64| fixture.context(second * SECOND);
    // The first heartbeat carries the old token, so it is no evidence of the machine's tasks.
    assert_eq!(
        region.on_heartbeat(&heartbeat("m-1", 1, 6, &[("req-1", 0, 5)]), &at(2)),
        HeartbeatOutcome::Accepted(vec![])
    );
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 2, 7, &[]), &at(3))),
        0
    );
    assert!(!region.is_reconciled());
    assert_eq!(
        region.on_heartbeat(&heartbeat("m-1", 2, 7, &[]), &at(4)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        region.on_heartbeat(&heartbeat("m-1", 3, 8, &[]), &at(4)),
        HeartbeatOutcome::Superseded
    );
    assert_eq!(
        region.on_heartbeat(&heartbeat("m-9", 1, 7, &[]), &at(4)),
        HeartbeatOutcome::UnknownMachine
    );
    // The other machine runs task 1, started by the former owner: that task stays, and task 0
    // starts.
    region.on_heartbeat(&heartbeat("m-2", 1, 7, &[("req-1", 1, 5)]), &at(5));
    assert!(region.is_reconciled());
    assert_eq!(region.running_tasks("req-1"), 2);
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 4, 7, &[]), &at(6))),
        1
    );
    // Task 0 is missing from the next heartbeat: the start command was not executed and is sent
    // again.
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 5, 7, &[]), &at(9))),
        1
    );
}

/// A machine that is silent while others send heartbeats is released. When all machines are
/// silent, the fault is the controller's, and only the end of their leases proves the machines
/// empty.
#[test]
fn a_silent_machine_is_released_unless_all_are_silent() {
    for (reporting, released) in [(&["m-1", "m-2"][..], true), (&[][..], false)] {
        let mut fixture = Fixture::new();
        for m in ["m-1", "m-2", "m-3"] {
            fixture.add_machine(m);
        }
        let mut region = fixture.acquire(7, SECOND);
        for second in (2..17).step_by(2) {
            let context = fixture.context(second * SECOND);
            for m in reporting {
                region.on_heartbeat(&heartbeat(m, second, 7, &[]), &context);
            }
            region.tick(&context);
        }
        region.tick(&fixture.context(17 * SECOND));
        let is_m3_released = region
            .take_actions()
            .into_iter()
            .any(|action| matches!(action, Action::Release(names) if names == ["m-3"]));
        assert_eq!(
            is_m3_released, released,
            "release of m-3, with {reporting:?} reporting"
        );
        assert!(!region.is_reconciled());
        if released {
            region.on_released(&["m-3".into()], &fixture.context(17 * SECOND));
        }
        assert_eq!(region.is_reconciled(), released);
        region.tick(&fixture.context(19 * SECOND));
        assert!(
            region.is_reconciled(),
            "all machines are empty once their leases have ended"
        );
    }
}

/// Any number of replayed heartbeats under a former owner's token neither reconciles a region nor
/// delays the time from which a machine counts as empty.
#[test]
fn replayed_heartbeats_are_no_evidence() {
    let mut fixture = Fixture::new();
    fixture.add_machine("m-1");
    fixture.add_job("req-1", "red", "x", "1", 1, 0);
    fixture.set_share("red", 8_000_000);
    let mut region = fixture.acquire(7, SECOND);
    let mut answered = 0;
    for second in 2..30u64 {
        let context = fixture.context(second * SECOND);
        let outcome = region.on_heartbeat(&heartbeat("m-1", second, 6, &[]), &context);
        if !region.is_reconciled() {
            answered += u32::from(matches!(outcome, HeartbeatOutcome::Accepted(_)));
        }
        region.tick(&context);
        assert!(
            !region.is_reconciled() || second > 17,
            "reconciled at {second} s, before the lease ended"
        );
    }
    assert_eq!(answered, 4);
    assert!(
        region.is_reconciled(),
        "the lease has ended since the last answer"
    );
    // Heartbeats of the incarnation whose lease has expired are stale.
    let late = heartbeat("m-1", 99, 7, &[("req-1", 0, 5)]);
    let context = fixture.context(31 * SECOND);
    region.on_heartbeat(&heartbeat("m-1", 40, 7, &[]), &context);
    region.on_machine_empty("m-1", &context);
    assert_eq!(
        region.on_heartbeat(&late, &context),
        HeartbeatOutcome::Stale
    );
}
