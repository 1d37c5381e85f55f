//! Detection of machines that the region's answers do not reach.
//!
//! Received heartbeats do not prove that answers arrive, because only the path back to the
//! machine may be broken. Such a machine would be assigned tasks repeatedly and start none of
//! them. Evidence comes from new incarnations of the worker and from starts that were not carried
//! out.

use std::rc::Rc;

use salttiller_records::model::JobId;
use salttiller_records::units::{add_drift, Micros};

use super::machine::CordonReason;
use super::{HeartbeatOutcome, Region, SchedulingContext, TaskState};

/// Maximum number of heartbeats with an outdated token that are answered before a heartbeat with
/// the current token arrives.
const MAX_UNCONFIRMED_ANSWERS: u32 = 4;
/// Number of consecutive ignored starts from which a machine counts as unreachable.
const MAX_IGNORED_STARTS: u32 = 2;
/// Number of times a machine is found unreachable before it is cordoned and released.
const MAX_TIMES_UNREACHABLE: u32 = 4;

/// Whether the region's answers reach a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// No evidence suggests that answers are lost.
    Reachable,
    /// This number of consecutive starts was not carried out.
    Suspect(u32),
    /// Answers have not reached the machine as of `since`, and no task is assigned to it. The
    /// worker begins a new incarnation when its lease expires, so an incarnation that lasts for
    /// longer than a lease shows that answers arrive again.
    Unreachable { since: Micros, times: u32 },
}

/// Evidence that a heartbeat gives about earlier answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEvidence {
    /// The worker began a new incarnation although every heartbeat was answered.
    NewIncarnation,
    /// At least one of the starts sent was not carried out.
    StartIgnored,
    /// All starts sent were carried out.
    StartsCarriedOut,
    /// No start was sent.
    NoStartSent,
}

impl AnswerEvidence {
    /// Derives the evidence. A new incarnation takes precedence over the outcome of the starts in
    /// the last answer.
    pub(super) fn new(is_new_incarnation: bool, starts_sent: bool, start_ignored: bool) -> Self {
        if is_new_incarnation {
            AnswerEvidence::NewIncarnation
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
    /// Returns the state after a heartbeat. `recovery_time` is the time for which an unreachable
    /// machine's incarnation must last before the machine counts as reachable again.
    #[must_use]
    pub(super) fn after(
        self,
        evidence: AnswerEvidence,
        now: Micros,
        recovery_time: Micros,
    ) -> Reachability {
        use AnswerEvidence::{NewIncarnation, StartIgnored, StartsCarriedOut};
        use Reachability::{Reachable, Suspect, Unreachable};
        let unreachable = |times| Unreachable { since: now, times };
        match (self, evidence) {
            (Reachable | Suspect(_), NewIncarnation) => unreachable(1),
            (Reachable, StartIgnored) => Suspect(1),
            (Suspect(ignored), StartIgnored) if ignored + 1 >= MAX_IGNORED_STARTS => unreachable(1),
            (Suspect(ignored), StartIgnored) => Suspect(ignored + 1),
            (Suspect(_), StartsCarriedOut) => Reachable,
            (Unreachable { times, .. }, NewIncarnation | StartIgnored) => unreachable(times + 1),
            (Unreachable { since, .. }, _) if now > since + recovery_time => Reachable,
            (unchanged, _) => unchanged,
        }
    }
}

impl Region {
    /// Answers a heartbeat with an outdated token, so that the machine learns the current one.
    /// The machine has not received an answer of this owner yet, or the heartbeat is a duplicate
    /// from the time of a former owner. Such a heartbeat proves nothing, not even that the
    /// machine exists.
    ///
    /// Guards against renewing the lease of a machine forever when it never learns the token,
    /// because answers do not reach it or only duplicates arrive. After
    /// `MAX_UNCONFIRMED_ANSWERS` no more answers are sent, so the lease is certain to expire.
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

    /// Updates a machine's reachability from the evidence of a heartbeat. If the machine becomes
    /// unreachable, its undispatched tasks return to pending.
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
