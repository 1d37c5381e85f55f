//! Tests of the reachability state machine.

use super::*;

const LEASE: Micros = 20;

/// Every transition, given by the state before, the evidence of the heartbeat, and the expected
/// state after. Guards against assigning tasks to machines that answers do not reach.
#[test]
fn heartbeat_evidence_changes_reachability() {
    use AnswerEvidence::{NewIncarnation, NoStartSent, StartIgnored, StartsCarriedOut};
    use Reachability::{Reachable, Suspect};
    let unreachable = |since, times| Reachability::Unreachable { since, times };
    let now = 100;
    for (before, evidence, after) in [
        (Reachable, NoStartSent, Reachable),
        (Reachable, StartsCarriedOut, Reachable),
        (Reachable, StartIgnored, Suspect(1)),
        (Reachable, NewIncarnation, unreachable(now, 1)),
        (Suspect(1), NoStartSent, Suspect(1)),
        (Suspect(1), StartsCarriedOut, Reachable),
        (Suspect(1), StartIgnored, unreachable(now, 1)),
        (Suspect(1), NewIncarnation, unreachable(now, 1)),
        // A machine is reachable again only after its incarnation has lasted for longer than
        // a lease.
        (unreachable(80, 1), NoStartSent, unreachable(80, 1)),
        (unreachable(80, 1), StartsCarriedOut, unreachable(80, 1)),
        (unreachable(79, 1), NoStartSent, Reachable),
        (unreachable(79, 1), StartsCarriedOut, Reachable),
        // Finding a machine unreachable again restarts the time and increments the count.
        (unreachable(79, 1), StartIgnored, unreachable(now, 2)),
        (unreachable(79, 3), NewIncarnation, unreachable(now, 4)),
    ] {
        assert_eq!(
            before.after(evidence, now, LEASE),
            after,
            "{before:?}, {evidence:?}"
        );
    }
}

/// A new incarnation takes precedence over the outcome of starts. Without a start there is no
/// evidence.
#[test]
fn new_incarnation_outweighs_starts() {
    for (restarted, sent, ignored, expected) in [
        (false, false, false, AnswerEvidence::NoStartSent),
        (false, true, false, AnswerEvidence::StartsCarriedOut),
        (false, true, true, AnswerEvidence::StartIgnored),
        (true, false, false, AnswerEvidence::NewIncarnation),
        (true, true, false, AnswerEvidence::NewIncarnation),
        (true, true, true, AnswerEvidence::NewIncarnation),
    ] {
        assert_eq!(AnswerEvidence::new(restarted, sent, ignored), expected);
    }
}
