//! Whether the region's answers reach a machine, concluded from the machine's heartbeats.
//!
//! Heartbeats that arrive are no evidence of that: the way back may be cut alone, and such a
//! machine would attract tasks again and again and start none of them.

use std::rc::Rc;

use salttiller_records::model::JobId;
use salttiller_records::units::{add_drift, Micros};

use super::machine::CordonReason;
use super::{HeartbeatOutcome, Region, SchedulingContext, TaskState};

/// How many heartbeats with an outdated token are answered before one with the current token
/// must come in.
const MAX_UNCONFIRMED_ANSWERS: u32 = 4;
/// Starts in a row that were not carried out before a machine counts as unreachable.
const MAX_IGNORED_STARTS: u32 = 2;
/// How often a machine is found unreachable before it is cordoned and released.
const MAX_TIMES_UNREACHABLE: u32 = 4;

/// Whether the region's answers reach a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// They do, as far as is known.
    Reachable,
    /// So many starts in a row were not carried out.
    Suspect(u32),
    /// They do not, as of this time: no task is assigned. If they did again, the worker's
    /// session would last; once it has lasted for longer than a lease, they do.
    Unreachable { since: Micros, times: u32 },
}

/// What a heartbeat shows of the answers before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEvidence {
    /// The worker's session restarted although every heartbeat was answered.
    SessionRestarted,
    /// A start that was sent was not carried out.
    StartIgnored,
    /// All starts that were sent were carried out.
    StartsCarriedOut,
    /// No start was sent.
    NoStartSent,
}

impl AnswerEvidence {
    /// A restarted session outweighs what became of the starts in the last answer.
    pub(super) fn new(session_restarted: bool, starts_sent: bool, start_ignored: bool) -> Self {
        if session_restarted {
            AnswerEvidence::SessionRestarted
        } else if !starts_sent {
            AnswerEvidence::NoStartSent
        } else if start_ignored {
            AnswerEvidence::StartIgnored
        } else {
            AnswerEvidence::StartsCarriedOut
        }
    }
}

impl Reachability {
    /// The state after a heartbeat. `recovery_time`: how long an unreachable machine's session
    /// must last before it is reachable again.
    #[must_use]
    pub(super) fn after(
        self,
        evidence: AnswerEvidence,
        now: Micros,
        recovery_time: Micros,
    ) -> Reachability {
        use AnswerEvidence::{SessionRestarted, StartIgnored, StartsCarriedOut};
        use Reachability::{Reachable, Suspect, Unreachable};
        let unreachable = |times| Unreachable { since: now, times };
        match (self, evidence) {
            (Reachable | Suspect(_), SessionRestarted) => unreachable(1),
            (Reachable, StartIgnored) => Suspect(1),
            (Suspect(ignored), StartIgnored) if ignored + 1 >= MAX_IGNORED_STARTS => unreachable(1),
            (Suspect(ignored), StartIgnored) => Suspect(ignored + 1),
            (Suspect(_), StartsCarriedOut) => Reachable,
            (Unreachable { times, .. }, SessionRestarted | StartIgnored) => unreachable(times + 1),
            (Unreachable { since, .. }, _) if now > since + recovery_time => Reachable,
            (unchanged, _) => unchanged,
        }
    }
}

impl Region {
    /// Answers a heartbeat that does not carry the current token: from a machine that has not
    /// received an answer of this owner yet, or a copy from a former owner's time. It proves
    /// nothing, not even that the machine exists; but it is answered, so that the machine
    /// learns the token. Guards against a machine that never does, because the answers don't
    /// reach it or only copies come in: each answer might renew its lease, so after a few
    /// there are none, and its lease expires for sure.
    pub(super) fn acknowledge_outdated_token(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some(machine) = self.inventory.machine(name) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        if machine.unconfirmed_answers >= MAX_UNCONFIRMED_ANSWERS || machine.cordoned.is_some() {
            return HeartbeatOutcome::Stale;
        }
        self.inventory.record_unconfirmed_answer(name, context.now);
        self.request_activation(name);
        HeartbeatOutcome::Accepted(Vec::new())
    }

    /// Concludes from a heartbeat whether the region's answers reach the machine. Tasks that
    /// were assigned to an unreachable one are pending again.
    pub(super) fn update_reachability(
        &mut self,
        name: &Rc<str>,
        evidence: AnswerEvidence,
        context: &SchedulingContext<'_>,
    ) {
        let Some(machine) = self.inventory.machine(name) else {
            return;
        };
        let recovery_time =
            add_drift(context.settings.worker_lease) + context.settings.heartbeat_interval;
        let was_unreachable = machine.is_unreachable();
        let next = machine
            .reachability
            .after(evidence, context.now, recovery_time);
        if next == machine.reachability {
            return;
        }
        self.inventory.set_reachability(name, next);
        if let Reachability::Unreachable { times, .. } = next {
            self.on_unreachable(name, times, context);
        } else if was_unreachable {
            log::info!("region={} machine={name}: reachable again", self.name);
            self.triggers.machine_changed(name);
        }
    }

    fn on_unreachable(&mut self, name: &Rc<str>, times: u32, context: &SchedulingContext<'_>) {
        log::info!(
            "region={} machine={name}: unreachable, answers do not arrive (time {times})",
            self.name
        );
        if times >= MAX_TIMES_UNREACHABLE {
            self.inventory.cordon(name, CordonReason::Unreachable);
        }
        let assigned: Vec<(JobId, u32)> = self
            .inventory
            .tasks(name)
            .filter(|(_, assignment)| assignment.state == TaskState::Assigned)
            .map(|(task, _)| task.clone())
            .collect();
        for (id, task) in assigned {
            self.return_to_pending(&id, task, "its machine is unreachable", context);
        }
        self.inventory.schedule_check(name, context.now);
    }
}

#[cfg(test)]
mod tests;
