//! Tests of reachability.

use super::*;

const LEASE: Micros = 20;

/// Every transition: the state before, what the heartbeat shows, and the state after.
#[test]
fn transitions() {
    use AnswerEvidence::{NoStartSent, SessionRestarted, StartIgnored, StartsCarriedOut};
    use Reachability::{Reachable, Suspect};
    let unreachable = |since, times| Reachability::Unreachable { since, times };
    let now = 100;
    for (before, evidence, after) in [
        (Reachable, NoStartSent, Reachable),
        (Reachable, StartsCarriedOut, Reachable),
        (Reachable, StartIgnored, Suspect(1)),
        (Reachable, SessionRestarted, unreachable(now, 1)),
        (Suspect(1), NoStartSent, Suspect(1)),
        (Suspect(1), StartsCarriedOut, Reachable),
        (Suspect(1), StartIgnored, unreachable(now, 1)),
        (Suspect(1), SessionRestarted, unreachable(now, 1)),
        // Reachable again only once the session has lasted for longer than a lease.
        (unreachable(80, 1), NoStartSent, unreachable(80, 1)),
        (unreachable(80, 1), StartsCarriedOut, unreachable(80, 1)),
        (unreachable(79, 1), NoStartSent, Reachable),
        (unreachable(79, 1), StartsCarriedOut, Reachable),
        // Found unreachable again: the time starts anew, and the times are counted.
        (unreachable(79, 1), StartIgnored, unreachable(now, 2)),
        (unreachable(79, 3), SessionRestarted, unreachable(now, 4)),
    ] {
        assert_eq!(
            before.after(evidence, now, LEASE),
            after,
            "{before:?}, {evidence:?}"
        );
    }
}

/// A restarted session outweighs starts that were carried out; no start proves nothing.
#[test]
fn evidence() {
    for (restarted, sent, ignored, expected) in [
        (false, false, false, AnswerEvidence::NoStartSent),
        (false, true, false, AnswerEvidence::StartsCarriedOut),
        (false, true, true, AnswerEvidence::StartIgnored),
        (true, false, false, AnswerEvidence::SessionRestarted),
        (true, true, false, AnswerEvidence::SessionRestarted),
        (true, true, true, AnswerEvidence::SessionRestarted),
    ] {
        assert_eq!(AnswerEvidence::new(restarted, sent, ignored), expected);
    }
}
