//! What a new owner of a region concludes from heartbeats and from silence.

use salttiller_records::units::SECOND;

use super::fixture::{count_starts, heartbeat, Fixture};
use crate::region::{Action, HeartbeatOutcome};

/// Tasks that a former owner may have started stay unreconciled until every machine has
/// reported; heartbeats that are late, repeated or under another token change nothing.
#[test]
fn acquisition_waits_for_every_machine() {
    let mut fixture = Fixture::new();
    fixture.machine("m-1");
    fixture.machine("m-2");
    fixture.job("req-1", "red", "x", "1", 2, 0);
    fixture.share("red", 8_000_000);
    let mut region = fixture.acquire(7, SECOND);
    let at = |second: u64| fixture.context(second * SECOND);
    // The first heartbeat carries the old token: nothing is concluded from it.
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
    // The other machine has task 1 of the old owner: it stays, task 0 starts.
    region.on_heartbeat(&heartbeat("m-2", 1, 7, &[("req-1", 1, 5)]), &at(5));
    assert!(region.is_reconciled());
    assert_eq!(region.running_tasks("req-1"), 2);
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 4, 7, &[]), &at(6))),
        1
    );
    // Not in the next heartbeat: the start was not carried out, and is sent again.
    assert_eq!(
        count_starts(&region.on_heartbeat(&heartbeat("m-1", 5, 7, &[]), &at(9))),
        1
    );
}

/// One silent machine among others is released; when all are silent, the fault
/// is ours and only the end of their leases proves them empty.
#[test]
fn silent_machines() {
    for (reporting, released) in [(&["m-1", "m-2"][..], true), (&[][..], false)] {
        let mut fixture = Fixture::new();
        for m in ["m-1", "m-2", "m-3"] {
            fixture.machine(m);
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
        let got = region
            .take_actions()
            .into_iter()
            .any(|e| matches!(e, Action::Release(names) if names == ["m-3"]));
        assert_eq!(got, released, "{reporting:?}");
        assert!(!region.is_reconciled());
        if released {
            region.on_released(&["m-3".into()], &fixture.context(17 * SECOND));
        }
        assert_eq!(region.is_reconciled(), released);
        region.tick(&fixture.context(19 * SECOND));
        assert!(
            region.is_reconciled(),
            "past the lease all are proven empty"
        );
    }
}

/// Replayed heartbeats from a former owner's time, however many, neither reconcile a region
/// nor put off the moment from which a machine counts as empty.
#[test]
fn replayed_heartbeats_prove_nothing() {
    let mut fixture = Fixture::new();
    fixture.machine("m-1");
    fixture.job("req-1", "red", "x", "1", 1, 0);
    fixture.share("red", 8_000_000);
    let mut region = fixture.acquire(7, SECOND);
    let mut answered = 0;
    for second in 2..30u64 {
        let context = fixture.context(second * SECOND);
        let got = region.on_heartbeat(&heartbeat("m-1", second, 6, &[]), &context);
        if !region.is_reconciled() {
            answered += u32::from(matches!(got, HeartbeatOutcome::Accepted(_)));
        }
        region.tick(&context);
        assert!(
            !region.is_reconciled() || second > 17,
            "reconciled after {second} s"
        );
    }
    assert_eq!(answered, 4);
    assert!(
        region.is_reconciled(),
        "its lease is over since the last answer"
    );
    // Nothing of the incarnation that is over counts any more.
    let late = heartbeat("m-1", 99, 7, &[("req-1", 0, 5)]);
    let context = fixture.context(31 * SECOND);
    region.on_heartbeat(&heartbeat("m-1", 40, 7, &[]), &context);
    region.on_machine_empty("m-1", &context);
    assert_eq!(
        region.on_heartbeat(&late, &context),
        HeartbeatOutcome::Stale
    );
}
